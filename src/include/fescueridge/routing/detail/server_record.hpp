#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/routing/balancer.hpp"

namespace fescueridge::detail
{

/// Latency assumed while no server of a service has a sample.
constexpr double default_latency_us = 10'000;

/// Maximum of a value over the current and the previous window.
class recent_peak
{
public:
    void add(std::uint32_t value, time_point now);

    /// Returns the recent peak or `current`, whichever is higher.
    std::uint32_t value(std::uint32_t current, time_point now) const;

private:
    void rotate(time_point now);

    std::int64_t epoch_ = 0;
    std::uint32_t current_ = 0;
    std::uint32_t previous_ = 0;
};

/// A balancer's record of one backend server. Guarded by the lock of the balancer.
struct server_record
{
    server_info info;
    std::map<std::uint64_t, time_point>
        running_calls;                ///< Call id to start time, oldest first.
    std::optional<double> latency_us; ///< Moving average of the samples.
    time_point last_sample;
    double estimated_latency_us =
        default_latency_us; ///< Mean latency, including overdue calls.
    double refusal_share =
        0; ///< Share of refusals and failures in recent results, 0 to 1.
    std::uint32_t consecutive_cancelled =
        0; ///< Slow calls cancelled since the last answer.
    bool straggler = false;
    bool listed = true;
    std::optional<time_point> excluded_until;
    std::optional<time_point> warm_up_start;
    time_point last_call_start;
    std::uint64_t choices_at_last_start = 0;
    recent_peak in_flight_peak;

    /// Returns whether calls may be sent to the server.
    bool usable(time_point now) const;

    /// Returns the selection weight, up to 1; reduced by slow start and for stragglers.
    double weight(time_point now) const;

    /// Returns the estimated latency divided by the weight and the share of successes.
    /// Refusals and fast failures count as work to be repeated; otherwise a server that
    /// refuses every call immediately would have the lowest cost.
    double cost(time_point now) const;

    /// Returns the score for choosing between two servers; lower is better.
    double score(time_point now) const;

    /// Returns the score for choosing between failure domains. Calls in flight are
    /// divided by the slots. With plain counts, three calls in flight would make a server
    /// of the own domain worse than an idle server of another domain.
    double domain_score(time_point now) const;

    void add_sample(double us, time_point now);

    /// Updates the share of refusals. `refused` is true for refusals and failures.
    void add_result(bool refused);

    /// Updates the estimated latency; `fallback_latency_us` is used for a server without
    /// samples.
    void update_estimate(double fallback_latency_us, time_point now);
};

} // namespace fescueridge::detail
