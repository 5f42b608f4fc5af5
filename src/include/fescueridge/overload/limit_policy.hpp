#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <variant>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"

namespace fescueridge
{

/// Resolution of measured service and response times; milliseconds convert implicitly.
using microseconds = std::chrono::microseconds;

/// Gradient concurrency limit driven by the service time. The limit decreases when the
/// window mean exceeds `slow_ratio` times the long-term minimum in two consecutive
/// windows. It increases while it is in use and the service time is steady. It stays
/// between 1 and the announced slots, and goes below a fifth of the slots only while each
/// decrease shortens the service time. Not thread safe.
class adaptive_limit
{
public:
    explicit adaptive_limit(slot_count slots);

    /// Returns the maximum number of concurrent calls.
    std::uint32_t value() const noexcept;

    /// Records the service time of a call that ended at `now`, with the peak number of
    /// concurrent calls since the previous sample.
    void on_sample(microseconds service_time, std::uint32_t running, time_point now);

private:
    void close_window(time_point now);
    void decrease_limit(double mean_us, double ratio);
    void record_baseline(double mean_us, time_point now);
    double baseline_us() const noexcept;

    std::uint32_t slots_;
    double limit_;
    time_point window_start_{};
    bool window_started_ = false;
    double service_time_sum_us_ = 0;
    std::uint32_t sample_count_ = 0;
    std::uint32_t peak_running_ = 0;
    std::uint32_t slow_windows_ = 0;
    double mean_at_cut_us_ = 0;

    struct baseline_bucket
    {
        time_point start;
        double window_means_sum_us = 0;
        std::uint32_t window_count = 0;
    };
    std::deque<baseline_bucket> baseline_buckets_;
};

/// Constant concurrency limit, for benchmarks and for servers that announce no slots.
class fixed_limit
{
public:
    explicit fixed_limit(std::uint32_t value) : value_(value) {}
    std::uint32_t value() const noexcept { return value_; }

private:
    std::uint32_t value_;
};

/// No concurrency limit, for benchmarks.
class unlimited
{
};

/// Concurrency limit of a backend server.
using limit_policy = std::variant<adaptive_limit, fixed_limit, unlimited>;

/// Returns the maximum number of concurrent calls under a policy, at least 1.
std::uint32_t concurrency_of(const limit_policy& policy) noexcept;

/// Passes the sample of a finished call to an adaptive policy; other policies ignore it.
void record_sample(limit_policy& policy, microseconds service_time, std::uint32_t running,
                   time_point now);

} // namespace fescueridge
