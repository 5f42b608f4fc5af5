#include "fescueridge/overload/limit_policy.hpp"

#include <algorithm>
#include <limits>

#include "fescueridge/base/overloaded.hpp"

namespace fescueridge
{

namespace
{

// Window means of a server under normal load stay below twice the long-term minimum even
// for exponential service times and 32 samples; see the test with full slots.
constexpr double tolerance = 2.0;

// Below this ratio to the minimum the service time counts as unaffected by load.
constexpr double steady = 1.5;

// When cuts do not shorten the service time, the slowness has another cause, and a lower
// limit only loses throughput. Then the limit stays at a fifth of the slots.
constexpr double unhelpful_divisor = 5;
constexpr double helpful_ratio = 0.75;

constexpr milliseconds window_length{100};
constexpr milliseconds longest_window{1000};
constexpr std::uint32_t window_samples = 32;

// Length and number of the baseline buckets. The minimum over five minutes lets a server
// that slowed for good be used in full again after that time.
constexpr milliseconds bucket_length{30'000};
constexpr std::size_t bucket_count = 10;

} // namespace

adaptive_limit::adaptive_limit(slot_count slots)
    : slots_(std::max(slots.get(), 1U)), limit_(slots_)
{
}

std::uint32_t adaptive_limit::value() const noexcept
{
    return std::max(1U, static_cast<std::uint32_t>(limit_));
}

void adaptive_limit::on_sample(microseconds service_time, std::uint32_t running,
                               time_point now)
{
    if (!started_)
    {
        window_start_ = now;
        started_ = true;
    }
    sum_ += static_cast<double>(service_time.count());
    ++samples_;
    peak_running_ = std::max(peak_running_, running);

    // A slow server with a low limit finishes few calls; waiting for a full window would
    // delay the reaction by many service times.
    const auto age = now - window_start_;
    const std::uint32_t enough = std::clamp(value(), 8U, window_samples);
    if ((age >= window_length && samples_ >= enough) || age >= longest_window)
    {
        close_window(now);
    }
}

void adaptive_limit::close_window(time_point now)
{
    const double mean = std::max(1.0, sum_ / samples_);
    const bool in_use = peak_running_ * 10 >= value() * 8;
    record_baseline(mean, now);
    const double ratio = mean / baseline();
    if (ratio > tolerance)
    {
        // One slow window may be chance or a batch of large calls.
        ++slow_windows_;
        if (slow_windows_ >= 2)
        {
            lower(mean, ratio);
        }
    }
    else
    {
        slow_windows_ = 0;
        mean_at_cut_ = 0;
        if (in_use)
        {
            // One per window would need 15 s back to 150 slots, so the limit grows by
            // half while the service time is close to its minimum.
            const double step = ratio <= steady ? std::max(1.0, limit_ / 2) : 1.0;
            limit_ = std::min<double>(slots_, limit_ + step);
        }
    }
    window_start_ = now;
    sum_ = 0;
    samples_ = 0;
    peak_running_ = 0;
}

void adaptive_limit::lower(double mean, double ratio)
{
    const double floor = std::max(1.0, slots_ / unhelpful_divisor);
    // Only a window right after a cut tells what the cut did.
    const bool helped = mean < helpful_ratio * mean_at_cut_;
    const bool may_cut = limit_ > floor || helped;
    if (may_cut)
    {
        const double cut = limit_ * std::max(0.5, tolerance / ratio);
        limit_ = std::max(helped ? 1.0 : floor, cut);
    }
    else
    {
        limit_ = std::min(floor, limit_ + 1);
    }
    mean_at_cut_ = may_cut ? mean : 0;
}

void adaptive_limit::record_baseline(double mean, time_point now)
{
    if (buckets_.empty() || now - buckets_.back().start >= bucket_length)
    {
        buckets_.push_back({now, 0, 0});
    }
    // A slow period must not raise the only bucket there is, so the first bucket takes
    // in slow windows with the weight of steady ones only.
    auto& bucket = buckets_.back();
    const bool slow =
        bucket.windows > 0 && mean > tolerance * bucket.sum / bucket.windows;
    if (!slow)
    {
        bucket.sum += mean;
        ++bucket.windows;
    }
    if (buckets_.size() > bucket_count)
    {
        buckets_.pop_front();
    }
}

double adaptive_limit::baseline() const noexcept
{
    // The mean of a bucket, not the lowest window, stands for its period: the lowest of
    // hundreds of random windows is about half the mean and would shrink the limit of a
    // healthy server.
    double lowest = std::numeric_limits<double>::max();
    for (const auto& bucket : buckets_)
    {
        lowest = std::min(lowest, bucket.sum / bucket.windows);
    }
    return lowest;
}

std::uint32_t concurrency_of(const limit_policy& policy) noexcept
{
    return std::visit(
        overloaded{[](const adaptive_limit& limit) { return limit.value(); },
                   [](const fixed_limit& limit) { return std::max(1U, limit.value()); },
                   [](const unlimited&)
                   {
                       return std::numeric_limits<std::uint32_t>::max();
                   }},
        policy);
}

void record_sample(limit_policy& policy, microseconds service_time, std::uint32_t running,
                   time_point now)
{
    if (auto* limit = std::get_if<adaptive_limit>(&policy))
    {
        limit->on_sample(service_time, running, now);
    }
}

} // namespace fescueridge
