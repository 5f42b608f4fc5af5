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

/// Interval of demand reports from nodes to the share holder.
constexpr milliseconds demand_report_interval{500};
/// Interval of demand reports between the share holders of failure domains.
constexpr milliseconds domain_exchange_interval{1000};
/// Validity of a grant, and age from which a demand report is ignored.
constexpr milliseconds share_lease{2000};

/// Token bucket with a capacity of a tenth of a second at its rate, at least one call.
/// Not thread safe.
class token_bucket
{
public:
    token_bucket(call_rate rate, time_point now);

    /// Takes a token; returns false if the bucket is empty.
    bool try_take(time_point now);

    /// Returns whether try_take() would succeed.
    bool has_token(time_point now);

    /// Changes the rate. Keeps the tokens in the bucket, up to the new capacity.
    void set_rate(call_rate rate, time_point now);

    call_rate rate() const noexcept { return call_rate{rate_}; }

private:
    void refill(time_point now);
    double capacity() const noexcept;

    double rate_;
    double tokens_;
    time_point last_refill_;
};

/// Measures a call rate over about one second. Not thread safe.
class demand_meter
{
public:
    void add(time_point now);
    call_rate rate(time_point now) const;

private:
    static constexpr std::size_t interval_count = 10;
    static constexpr milliseconds interval_length{100};
    std::array<std::uint32_t, interval_count> counts_{};
    std::array<std::int64_t, interval_count> interval_numbers_{};
};

/// Divisors of a limit for a node without a valid grant.
struct limit_divisors
{
    std::uint32_t domains = 1; ///< Failure domains, from the sheet's setting `domains`.
    std::uint32_t nodes = 1;   ///< Live nodes of the own failure domain.
};

/// Enforces a node's share of the limits of the sheet, by row. Thread safe.
class limit_table
{
public:
    limit_table();
    ~limit_table();
    limit_table(const limit_table&) = delete;
    limit_table& operator=(const limit_table&) = delete;

    /// Counts a call against a row and returns whether it is within the node's share.
    bool admit(std::uint32_t row, call_rate limit, limit_divisors divisors,
               time_point now);

    /// Applies a grant of the share holder. Ignores rows without recent calls.
    void apply_grant(const share_grant_message& message, time_point now);

    /// Returns the demand to report to the share holders, for rows that had calls in the
    /// last 5 s.
    std::vector<demand_report_message> demand_reports(const domain_name& own_domain,
                                                      time_point now);

    /// Removes all rows; for use when a new sheet comes into force.
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

/// Demand of one node, or the total of the nodes that report to a collector.
struct share_demand
{
    double rate = 0; ///< Calls per second.
    std::uint32_t nodes = 1;
};

/// Divides a share, in calls per second, and returns the parts in the order of `demands`.
/// If the total demand is below the share, each part is its demand plus an even part of
/// the remainder. Otherwise it is proportional to demand, apart from 2% of the share that
/// is divided evenly. Even parts are weighted by the number of nodes.
std::vector<double> divide_share(const std::vector<share_demand>& demands, double share);

/// Aggregates the demand for one row of some nodes of a large failure domain, and divides
/// the share holder's grant among them. Not thread safe.
class share_collector
{
public:
    /// Records the demand of a node.
    void on_node_demand(const node_id& node, call_rate rate, time_point now);

    /// Returns the total demand to report to the share holder, or nothing without recent
    /// reports.
    std::optional<demand_report_message>
    total_demand(std::uint32_t row, const domain_name& own_domain, time_point now) const;

    /// Divides a grant of the share holder. The parts inherit its lease.
    std::vector<node_grant> divide_grant(const share_grant_message& grant,
                                         time_point now) const;

    /// Returns true if no node reported demand within a lease.
    bool is_idle(time_point now) const;

private:
    struct report
    {
        double rate = 0;
        time_point received_at;
    };
    std::map<node_id, report> reports_;
};

/// Divides one failure domain's share of one row among its nodes or collectors, and
/// borrows share that other domains do not use. Runs on the node selected by
/// choose_by_rendezvous. Not thread safe.
class share_holder
{
public:
    share_holder(std::uint32_t row, domain_name own_domain, call_rate limit,
                 std::uint32_t domains);

    /// Applies a changed limit or number of failure domains.
    void configure(call_rate limit, std::uint32_t domains);

    /// Records the demand of a node of the own domain, or the total of a collector.
    void on_node_demand(const node_id& node, call_rate rate, time_point now,
                        share_hop hop = share_hop::node_to_holder,
                        std::uint32_t nodes = 1);

    /// Records the total demand of another domain, from its share holder.
    void on_domain_demand(const domain_name& domain, call_rate rate, time_point now);

    /// Returns the total demand of the own domain, to be sent to the share holders of the
    /// other domains every domain_exchange_interval, and records it as announced. A
    /// domain borrows only for demand that it announced before the latest reports of the
    /// others arrived, so a partitioned domain cannot increase its loan.
    demand_report_message announce_demand(time_point now);

    /// Returns the call rate that the own domain may currently use.
    call_rate domain_share(time_point now) const;

    /// Returns a grant for each node or collector with a recent report. While the domain
    /// borrows, the grants expire when the oldest report used for the loan is a lease
    /// old.
    std::vector<node_grant> grants(time_point now) const;

    /// Returns true if no node or collector reported demand within two leases, so that
    /// the holder can be removed.
    bool is_idle(time_point now) const;

private:
    struct report
    {
        double rate = 0;
        time_point at;
        std::uint32_t nodes = 1;
    };
    using reporter = std::pair<node_id, share_hop>;
    struct share_loan
    {
        double rate = 0;
        time_point oldest_report_at;
    };

    double own_demand_rate(time_point now) const;
    share_loan current_loan(time_point now) const;
    double announced_rate_at(time_point when) const;

    std::uint32_t row_;
    domain_name own_domain_;
    double limit_;
    std::uint32_t domains_;
    std::map<reporter, report> own_reports_;
    std::map<domain_name, report> other_reports_;
    std::deque<report> announcements_; // demand sent to other domains, oldest first
};

} // namespace fescueridge
