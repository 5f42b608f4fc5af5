#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>

#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/messages.hpp"
#include "fescueridge/node/peer_table.hpp"
#include "fescueridge/node/sheet_holder.hpp"
#include "fescueridge/overload/limits.hpp"

namespace fescueridge
{

/// Enforces the limits of the sheet together with the other nodes: reports demand to the
/// share holder of each row, and is the share holder of the rows that rendezvous hashing
/// gives to this node. Thread safe.
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

    /// Takes a share from the share holder.
    void on_grant(const share_grant_message& grant);

    /// Forgets rows and shares: a new sheet is in force.
    void clear();

private:
    node_id holder_of(std::uint32_t row, const domain_name& domain) const;
    share_holder* holder_for(std::uint32_t row);
    void record_report(const node_id& from, const demand_report_message& report);

    const node_id self_;
    const domain_name domain_;
    const peer_table& peers_;
    const sheet_holder& sheets_;
    const sender send_;
    limit_table table_;
    std::mutex mutex_;
    std::map<std::uint32_t, share_holder> held_; // rows this node is the share holder of
};

} // namespace fescueridge
