#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <variant>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/messages.hpp"
#include "fescueridge/overload/limits.hpp"

namespace fescueridge
{

/// Live nodes of a domain from which on nodes report to collectors: below it one share
/// holder sends at most 128 grants a second for a row.
constexpr std::size_t collector_threshold = 64;

/// A row with a limit, as the sheet in force has it.
struct limited_row
{
    call_rate limit;
    std::uint32_t domains = 1;
};

/// What a node knows of its surroundings.
struct share_view
{
    /// Live nodes of a failure domain, the own node included.
    std::function<std::vector<node_id>(const domain_name&)> live_nodes;
    /// All known failure domains.
    std::function<std::vector<domain_name>()> domains;
    /// The row of the sheet in force, or nothing when it has no limit there.
    std::function<std::optional<limited_row>(std::uint32_t row)> row;
};

/// A message for another node.
struct share_send
{
    node_id to;
    std::variant<demand_report_message, share_grant_message> message;
};

/// Decides what a node sends to enforce the limits of the sheet together with the others:
/// as a node that has calls, as a collector and as the share holder. Functions return the
/// messages for other nodes; those to itself are delivered inside. Thread safe.
class share_exchange
{
public:
    share_exchange(node_id self, domain_name domain, share_view view);

    /// Counts a call against a row and returns whether it is within the node's share.
    bool admit(std::uint32_t row, call_rate limit, limit_scope scope, time_point now);

    /// Reports demand and sums of demand, and grants shares; to be called every
    /// demand_report_interval.
    std::vector<share_send> report(time_point now);

    /// Exchanges demand with the share holders of other failure domains; to be called
    /// every domain_exchange_interval.
    std::vector<share_send> exchange_domains(time_point now);

    /// Takes a report of a node, a collector, or the share holder of another domain.
    void on_demand(const node_id& from, const demand_report_message& report,
                   time_point now);

    /// Takes a share for the own calls, or for the nodes that report to this collector.
    std::vector<share_send> on_grant(const node_id& from,
                                     const share_grant_message& grant, time_point now);

    /// Forgets rows and shares: a new sheet is in force.
    void clear();

private:
    /// Where a node reports its demand for a row.
    struct destination
    {
        node_id node;
        share_hop hop = share_hop::node_to_holder;
    };
    struct last_report
    {
        destination to;
        double rate = 0;
        time_point at;
    };

    node_id holder_of(std::uint32_t row, const domain_name& domain) const;
    destination destination_of(std::uint32_t row, const std::vector<node_id>& live) const;
    bool needs_report(const demand_report_message& report, const destination& to,
                      time_point now);
    share_holder* holder_for(std::uint32_t row);
    void report_own(std::vector<share_send>& out, time_point now);
    void report_sums(std::vector<share_send>& out, time_point now);
    std::vector<node_grant> collect_grants(time_point now);
    void deliver(std::vector<share_send>& out, const node_id& to,
                 const demand_report_message& report, time_point now);
    void deliver(std::vector<share_send>& out, const node_id& to,
                 const share_grant_message& grant, time_point now);
    bool is_current(const node_id& from, const share_grant_message& grant);

    const node_id self_;
    const domain_name domain_;
    const share_view view_;
    limit_table table_;
    std::mutex mutex_;                                  // guards what follows
    std::map<std::uint32_t, share_holder> held_;        // rows it is the share holder of
    std::map<std::uint32_t, share_collector> collects_; // rows it is a collector of
    std::map<std::uint32_t, last_report> reported_;     // own demand as last sent
};

} // namespace fescueridge
