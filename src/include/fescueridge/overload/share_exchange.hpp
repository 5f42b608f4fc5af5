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

/// Minimum number of live nodes in a failure domain for the use of collectors. In smaller
/// domains a share holder sends at most 128 grants per second for a row.
constexpr std::size_t collector_threshold = 64;

/// Limit of a row in the sheet in force.
struct row_limit
{
    call_rate limit;
    std::uint32_t domains = 1;
};

/// Functions that look up data of the membership and the sheet.
struct share_lookups
{
    /// Live nodes of a failure domain, including the own node.
    std::function<std::vector<node_id>(const domain_name&)> live_nodes;
    /// All known failure domains.
    std::function<std::vector<domain_name>()> domains;
    /// Limit of a row in the sheet in force, or nothing if the row has none.
    std::function<std::optional<row_limit>(std::uint32_t row)> limit_of_row;
};

/// Message to another node.
struct outgoing_share_message
{
    node_id to;
    std::variant<demand_report_message, share_grant_message> message;
};

/// A node's part in the protocol that divides the limits of the sheet among nodes. A node
/// reports the demand of its own calls, and may also be collector or share holder of a
/// row. Functions return the messages to send to other nodes; messages to the node itself
/// are handled internally. Thread safe.
class share_exchange
{
public:
    share_exchange(node_id self, domain_name domain, share_lookups lookups);

    /// Counts a call against a row and returns whether it is within the node's share.
    bool admit(std::uint32_t row, call_rate limit, limit_divisors divisors,
               time_point now);

    /// Returns the node's demand reports, the totals of its collectors and the grants of
    /// its share holders; to be called every demand_report_interval.
    std::vector<outgoing_share_message> report_demand(time_point now);

    /// Returns demand reports to the share holders of other failure domains; to be called
    /// every domain_exchange_interval.
    std::vector<outgoing_share_message> exchange_domain_demand(time_point now);

    /// Handles a report of a node, a collector, or the share holder of another domain.
    void on_demand(const node_id& from, const demand_report_message& report,
                   time_point now);

    /// Handles a grant for the node's own calls, or for the nodes that report to this
    /// collector.
    std::vector<outgoing_share_message>
    on_grant(const node_id& from, const share_grant_message& grant, time_point now);

    /// Removes all rows and shares; for use when a new sheet comes into force.
    void clear();

private:
    /// Node to which the demand for a row is reported.
    struct destination
    {
        node_id node;
        share_hop hop = share_hop::node_to_holder;
    };
    struct last_report
    {
        destination to;
        double rate = 0;
        time_point sent_at;
    };

    node_id share_holder_of(std::uint32_t row, const domain_name& domain) const;
    destination destination_of(std::uint32_t row, const std::vector<node_id>& live) const;
    bool needs_report(const demand_report_message& report, const destination& to,
                      time_point now);
    share_holder* find_or_create_holder(std::uint32_t row);
    void report_own_demand(std::vector<outgoing_share_message>& out, time_point now);
    void report_collected_demand(std::vector<outgoing_share_message>& out,
                                 time_point now);
    std::vector<node_grant> make_grants(time_point now);
    void deliver(std::vector<outgoing_share_message>& out, const node_id& to,
                 const demand_report_message& report, time_point now);
    void deliver(std::vector<outgoing_share_message>& out, const node_id& to,
                 const share_grant_message& grant, time_point now);
    bool is_current_grant(const node_id& from, const share_grant_message& grant);

    const node_id self_;
    const domain_name domain_;
    const share_lookups lookups_;
    limit_table table_;
    std::mutex mutex_;                                    // guards the members below
    std::map<std::uint32_t, share_holder> holders_;       // by row
    std::map<std::uint32_t, share_collector> collectors_; // by row
    std::map<std::uint32_t, last_report> last_reports_; // own demand as last sent, by row
};

} // namespace fescueridge
