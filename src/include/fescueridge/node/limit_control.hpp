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

/// Enforces the rate limits of the sheet in cooperation with the other nodes. Supplies
/// share_exchange with the members and the sheet in force, and sends its messages. Thread
/// safe.
class limit_control
{
public:
    /// Sends a message to a node. Delivery is not guaranteed; each later message replaces
    /// a lost one.
    using sender = std::function<void(const node_id&, link_message)>;

    limit_control(node_id self, domain_name domain, const peer_table& peers,
                  const sheet_holder& sheets, sender send);

    /// Counts a call against the limit of the rule that matches it. Returns false if the
    /// call exceeds the limit.
    bool admit(const rule& matched_rule);

    /// Sends the demand report of this node. Must be called every demand_report_interval.
    void report_demand();

    /// Exchanges demand with the share holders of other failure domains. Must be called
    /// every domain_exchange_interval.
    void exchange_domain_demand();

    /// Handles a demand report from a node of the own failure domain, or from another
    /// share holder.
    void on_demand_report(const node_id& from, const demand_report_message& report);

    /// Handles a share granted by the share holder or a collector.
    void on_share_grant(const node_id& from, const share_grant_message& grant);

    /// Discards all rows and shares. Must be called when a new sheet is in force.
    void clear();

private:
    share_lookups make_share_view() const;
    std::optional<row_limit> find_row(std::uint32_t row) const;
    void send_messages(const std::vector<outgoing_share_message>& messages);

    const domain_name domain_;
    const peer_table& peers_;
    const sheet_holder& sheets_;
    const sender send_;
    share_exchange shares_;
};

} // namespace fescueridge
