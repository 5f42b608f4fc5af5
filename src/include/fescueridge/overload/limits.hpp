#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/messages.hpp"

namespace fescueridge
{

constexpr milliseconds demand_report_interval{500};    ///< Node to share holder.
constexpr milliseconds domain_exchange_interval{1000}; ///< Between share holders.
constexpr milliseconds share_lease{2000};

/// Token bucket that holds a tenth of a second of its rate, at least one call. Not
/// thread safe.
class token_bucket
{
public:
    token_bucket(call_rate rate, time_point now);

    /// Takes a token; false when there is none.
    bool try_take(time_point now);

    /// Changes the rate; tokens in the bucket stay, up to the new size.
    void set_rate(call_rate rate, time_point now);

    call_rate rate() const noexcept { return call_rate{rate_}; }

private:
    void refill(time_point now);
    double size() const noexcept;

    double rate_;
    double tokens_;
    time_point refilled_;
};

/// Measures a rate of calls over about a second. Not thread safe.
class demand_meter
{
public:
    void add(time_point now);
    call_rate rate(time_point now) const;

private:
    static constexpr std::size_t slots = 10;
    static constexpr milliseconds slot_length{100};
    std::array<std::uint32_t, slots> counts_{};
    std::array<std::int64_t, slots> epochs_{};
};

/// Number of those among whom a limit is divided.
struct limit_scope
{
    std::uint32_t domains = 1; ///< D of the sheet's setting `domains`.
    std::uint32_t nodes = 1;   ///< N live nodes of the own domain.
};

/// The part of a node in the limits of the sheet: admits calls against its share of each
/// row. Thread safe.
class limit_table
{
public:
    limit_table();
    ~limit_table();
    limit_table(const limit_table&) = delete;
    limit_table& operator=(const limit_table&) = delete;

    /// Counts a call against a row and returns whether it is within the node's share.
    bool admit(std::uint32_t row, call_rate limit, limit_scope scope, time_point now);

    /// Takes over a grant of the share holder.
    void grant(const share_grant_message& message, time_point now);

    /// Returns the demand to report to the share holders: rows seen in the last seconds.
    std::vector<demand_report_message> demand(const domain_name& own, time_point now);

    /// Forgets all rows, when a new sheet comes into force.
    void clear();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Grant for one node.
struct node_grant
{
    node_id node;
    share_grant_message message;
};

/// Demand of a node, or of the nodes that report to a collector.
struct share_demand
{
    double rate = 0; ///< Calls per second.
    std::uint32_t nodes = 1;
};

/// Divides a share of calls per second and returns the parts in the order of `demands`.
/// Each gets its demand and an even part of the rest, or a part in proportion to demand
/// when the demand is over the share. Even means even among nodes.
std::vector<double> divide_share(const std::vector<share_demand>& demands, double share);

/// Sums the demand of some nodes of a large domain for one row, and divides the grant
/// that the share holder answers with. Not thread safe.
class share_collector
{
public:
    /// Records the demand of a node.
    void on_node_demand(const node_id& node, call_rate rate, time_point now);

    /// Returns the report for the share holder, or nothing without recent reports.
    std::optional<demand_report_message> sum(std::uint32_t row, const domain_name& own,
                                             time_point now) const;

    /// Divides a grant of the share holder. The parts have the lease of that grant.
    std::vector<node_grant> divide(const share_grant_message& grant,
                                   time_point now) const;

    /// Returns true when no node reported demand lately.
    bool idle(time_point now) const;

private:
    struct report
    {
        double rate = 0;
        time_point at;
    };
    std::map<node_id, report> nodes_;
};

/// Divides one domain's share of one row among its nodes or their collectors, and lends
/// unused share to other domains. Held by the node that choose_by_rendezvous picks. Not
/// thread safe.
class share_holder
{
public:
    share_holder(std::uint32_t row, domain_name own, call_rate limit,
                 std::uint32_t domains);

    /// Takes over a changed limit or number of domains.
    void configure(call_rate limit, std::uint32_t domains);

    /// Records the demand of a node of the own domain, or of the nodes of a collector.
    void on_node_demand(const node_id& node, call_rate rate, time_point now,
                        share_hop hop = share_hop::node_to_holder,
                        std::uint32_t nodes = 1);

    /// Records the total demand of another domain, from its share holder.
    void on_domain_demand(const domain_name& domain, call_rate rate, time_point now);

    /// Returns the demand of the own domain, to send to the holders of other domains each
    /// domain_exchange_interval, and remembers it: the domain borrows only for demand
    /// that the others were told before their latest reports came in. A domain that is
    /// cut off therefore cannot borrow more.
    demand_report_message own_demand(time_point now);

    /// Returns the rate that the own domain may use now.
    call_rate domain_share(time_point now) const;

    /// Returns a grant for each node or collector with a recent report. While the domain
    /// borrows, the lease ends when the reports that the loan rests on are a lease old.
    std::vector<node_grant> grants(time_point now) const;

    /// Returns true when nobody reported demand lately, and the holder can be dropped.
    bool idle(time_point now) const;

private:
    struct report
    {
        double rate = 0;
        time_point at;
        std::uint32_t nodes = 1;
    };
    using reporter = std::pair<node_id, share_hop>;
    struct borrowing
    {
        double rate = 0;
        time_point oldest_report;
    };

    double own_rate(time_point now) const;
    borrowing loan(time_point now) const;
    double announced_by(time_point when) const;

    std::uint32_t row_;
    domain_name own_;
    double limit_;
    std::uint32_t domains_;
    std::map<reporter, report> nodes_;
    std::map<domain_name, report> others_;
    std::deque<report> announced_; // own demand as sent, oldest first
};

} // namespace fescueridge
