#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <variant>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"

namespace fescueridge
{

/// Length of a measured service or answer time; milliseconds convert without a cast.
using microseconds = std::chrono::microseconds;

/// Limit on concurrent calls that follows the service time (gradient): it falls when the
/// window mean passes `tolerance` times the long-term minimum in two windows in a row,
/// and rises while the limit is in use and the service time is steady. Between 1 and the
/// announced slots; below a fifth of the slots only while each cut shortens the service
/// time. Not thread safe.
class adaptive_limit
{
public:
    explicit adaptive_limit(slot_count slots);

    /// Returns the calls that may run at the same time.
    std::uint32_t value() const noexcept;

    /// Records a service time that ended at `now`, with the highest number of calls that
    /// ran since the sample before it.
    void on_sample(microseconds service_time, std::uint32_t running, time_point now);

private:
    void close_window(time_point now);
    void lower(double mean, double ratio);
    void record_baseline(double mean, time_point now);
    double baseline() const noexcept;

    std::uint32_t slots_;
    double limit_;
    time_point window_start_{};
    bool started_ = false;
    double sum_ = 0;
    std::uint32_t samples_ = 0;
    std::uint32_t peak_running_ = 0;
    std::uint32_t slow_windows_ = 0;
    double mean_at_cut_ = 0;

    struct baseline_bucket
    {
        time_point start;
        double sum = 0;
        std::uint32_t windows = 0;
    };
    std::deque<baseline_bucket> buckets_;
};

/// A limit that never changes; baseline for benchmarks and servers without announced
/// slots.
class fixed_limit
{
public:
    explicit fixed_limit(std::uint32_t value) : value_(value) {}
    std::uint32_t value() const noexcept { return value_; }

private:
    std::uint32_t value_;
};

/// No limit on concurrent calls; baseline for benchmarks.
class unlimited
{
};

/// The ways to limit the calls that run on a backend server at the same time.
using limit_policy = std::variant<adaptive_limit, fixed_limit, unlimited>;

/// Returns the calls that may run at the same time under a policy, at least 1.
std::uint32_t concurrency_of(const limit_policy& policy) noexcept;

/// Passes a finished call to a policy; fixed policies ignore it.
void record_sample(limit_policy& policy, microseconds service_time, std::uint32_t running,
                   time_point now);

} // namespace fescueridge
