#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/routing/balancer.hpp"

namespace fescueridge::detail
{

/// Latency that is assumed while no server of a service was measured.
constexpr double default_latency_us = 10'000;

/// Recent peak of a number: the highest of the current window and the one before.
class recent_peak
{
public:
    /// Records a value.
    void add(std::uint32_t value, time_point now);

    /// Returns the peak, at least `current`.
    std::uint32_t value(std::uint32_t current, time_point now) const;

private:
    void rotate(time_point now);

    std::int64_t epoch_ = 0;
    std::uint32_t current_ = 0;
    std::uint32_t previous_ = 0;
};

/// What a balancer knows of one backend server. Used under the balancer's lock.
struct server_record
{
    server_member member;
    std::map<std::uint64_t, time_point> running; ///< In order of their start.
    std::optional<double> latency_us;
    time_point last_sample;
    double estimate_us = default_latency_us; ///< With overdue running calls.
    double refusals = 0;                     ///< Share of recent results, 0 to 1.
    std::uint32_t overtaken = 0; ///< Slow calls cancelled since the last answer.
    bool straggler = false;
    bool present = true;
    std::optional<time_point> out_until;
    std::optional<time_point> warm_start;
    time_point last_start;
    std::uint64_t choices_at_start = 0;
    recent_peak peak;

    /// Returns whether the server may get calls.
    bool usable(time_point now) const;

    /// Returns the weight for slow start and stragglers, up to 1.
    double weight(time_point now) const;

    /// Returns the expected time of a call, with the weight and the refusals. Refusals
    /// and quick failures count as work that has to be done again, or a server that
    /// refuses everything at once would look like the fastest.
    double cost(time_point now) const;

    /// Returns the score for the choice between two servers; lower is better.
    double score(time_point now) const;

    /// Returns the score for the choice between domains. Calls in flight count by the
    /// slots: with plain counts, three calls in flight would make an own server worse
    /// than an idle one in another domain.
    double domain_score(time_point now) const;

    /// Records a measured latency.
    void add_sample(double us, time_point now);

    /// Records a result: refused or failed, or answered.
    void add_result(bool refused);

    /// Updates the estimate; `unknown_us` stands for a server without samples.
    void update_estimate(double unknown_us, time_point now);
};

} // namespace fescueridge::detail
