#pragma once

#include <cstdint>
#include <memory>

#include "fescueridge/base/clock.hpp"

namespace fescueridge
{

/// Time over which a duration_metric collects before it starts anew.
constexpr milliseconds metric_window{10'000};

/// Distribution of the durations of one window, in milliseconds. The percentiles are
/// estimates by the P-square algorithm (Jain and Chlamtac 1985). All values are 0 when
/// there are no samples.
struct duration_summary
{
    std::uint64_t count = 0;
    double mean = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
    double max = 0;
};

/// Collects durations in windows of metric_window without keeping the samples. Safe for
/// use from several threads.
class duration_metric
{
public:
    duration_metric();
    ~duration_metric();
    duration_metric(const duration_metric&) = delete;
    duration_metric& operator=(const duration_metric&) = delete;

    /// Adds a sample.
    void add(std::chrono::microseconds duration, time_point now);

    /// Returns the window before the present one, or the present one when there were no
    /// samples in that before. Samples older than two windows do not count.
    duration_summary summary(time_point now) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fescueridge
