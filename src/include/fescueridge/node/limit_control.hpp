#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/messages.hpp"
#include "fescueridge/node/peer_table.hpp"
#include "fescueridge/node/sheet_holder.hpp"
#include "fescueridge/overload/share_exchange.hpp"

namespace fescueridge
{

/// Enforces the limits of the sheet together with the other nodes: connects the decisions
/// of share_exchange with the members, the sheet in force and the links. Thread safe.
class limit_control
{
public:
    /// Sends a message to a node; lost messages are made up for by the next ones.
    using sender = std::function<void(const node_id&, link_message)>;

    limit_control(node_id self, domain_name domain, const peer_table& peers,
                  const sheet_holder& sheets, sender send);

    /// Counts a call against the row that decides it; false when it is over the limit.
    bool admit(const rule& decided);

    /// Reports demand; to be called every demand_report_interval.
    void report_demand();

    /// Exchanges demand with the share holders of other failure domains; to be called
    /// every domain_exchange_interval.
    void exchange_domains();

    /// Takes a demand report of a node of the own domain, or of another share holder.
    void on_demand(const node_id& from, const demand_report_message& report);

    /// Takes a share from the share holder or a collector.
    void on_grant(const node_id& from, const share_grant_message& grant);

    /// Forgets rows and shares: a new sheet is in force.
    void clear();

private:
    share_lookups make_view() const;
    std::optional<row_limit> find_row(std::uint32_t row) const;
    void send_all(const std::vector<outgoing_share_message>& messages);

    const domain_name domain_;
    const peer_table& peers_;
    const sheet_holder& sheets_;
    const sender send_;
    share_exchange shares_;
};

} // namespace fescueridge
