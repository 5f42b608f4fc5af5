#include "fescueridge/overload/limit_policy.hpp"

#include <algorithm>
#include <limits>

#include "fescueridge/base/overloaded.hpp"

namespace fescueridge
{

namespace
{

// Ratio of window mean to long-term minimum above which a window is slow. Under normal
// load it stays below 2 even with exponential service times and 32 samples; see the test
// limit_stays_when_slots_are_fully_used.
constexpr double slow_ratio = 2.0;

// Up to this ratio to the minimum the service time counts as unaffected by load.
constexpr double steady_ratio = 1.5;

// If a cut does not shorten the service time, the slowdown has another cause and a lower
// limit only costs throughput. The limit then stays at a fifth of the slots. A cut is
// effective if it lowers the window mean below 0.75 of the mean before it.
constexpr double min_limit_divisor = 5;
constexpr double effective_cut_ratio = 0.75;

constexpr milliseconds window_length{100};
constexpr milliseconds max_window_length{1000};
constexpr std::uint32_t max_required_samples = 32;

// The baseline is the minimum over five minutes, so a permanently slower server is used
// in full again after that time.
constexpr milliseconds baseline_bucket_length{30'000};
constexpr std::size_t baseline_bucket_count = 10;

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
    if (!window_started_)
    {
        window_start_ = now;
        window_started_ = true;
    }
    service_time_sum_us_ += static_cast<double>(service_time.count());
    ++sample_count_;
    peak_running_ = std::max(peak_running_, running);

    // A slow server with a low limit finishes few calls. Waiting for the full number of
    // samples would delay the reaction by many service times.
    const auto age = now - window_start_;
    const std::uint32_t required = std::clamp(value(), 8U, max_required_samples);
    if ((age >= window_length && sample_count_ >= required) || age >= max_window_length)
    {
        close_window(now);
    }
}

void adaptive_limit::close_window(time_point now)
{
    const double mean_us = std::max(1.0, service_time_sum_us_ / sample_count_);
    const bool limit_in_use = peak_running_ * 10 >= value() * 8;
    record_baseline(mean_us, now);
    const double ratio = mean_us / baseline_us();
    if (ratio > slow_ratio)
    {
        // A single slow window may be random variation or a batch of large calls.
        ++slow_windows_;
        if (slow_windows_ >= 2)
        {
            decrease_limit(mean_us, ratio);
        }
    }
    else
    {
        slow_windows_ = 0;
        mean_at_cut_us_ = 0;
        if (limit_in_use)
        {
            // Growth by one per window would take 15 s to reach 150 slots, so the limit
            // grows by half while the service time is close to its minimum.
            const double increase =
                ratio <= steady_ratio ? std::max(1.0, limit_ / 2) : 1.0;
            limit_ = std::min<double>(slots_, limit_ + increase);
        }
    }
    window_start_ = now;
    service_time_sum_us_ = 0;
    sample_count_ = 0;
    peak_running_ = 0;
}

void adaptive_limit::decrease_limit(double mean_us, double ratio)
{
    const double min_limit = std::max(1.0, slots_ / min_limit_divisor);
    // Only the window right after a cut shows its effect.
    const bool cut_was_effective = mean_us < effective_cut_ratio * mean_at_cut_us_;
    const bool may_cut = limit_ > min_limit || cut_was_effective;
    if (may_cut)
    {
        const double reduced = limit_ * std::max(0.5, slow_ratio / ratio);
        limit_ = std::max(cut_was_effective ? 1.0 : min_limit, reduced);
    }
    else
    {
        limit_ = std::min(min_limit, limit_ + 1);
    }
    mean_at_cut_us_ = may_cut ? mean_us : 0;
}

void adaptive_limit::record_baseline(double mean_us, time_point now)
{
    if (baseline_buckets_.empty() ||
        now - baseline_buckets_.back().start >= baseline_bucket_length)
    {
        baseline_buckets_.push_back({now, 0, 0});
    }
    // Windows that are slow relative to the bucket's mean are left out, so that a slow
    // period does not raise the baseline while there is only one bucket.
    auto& bucket = baseline_buckets_.back();
    const bool slow =
        bucket.window_count > 0 &&
        mean_us > slow_ratio * bucket.window_means_sum_us / bucket.window_count;
    if (!slow)
    {
        bucket.window_means_sum_us += mean_us;
        ++bucket.window_count;
    }
    if (baseline_buckets_.size() > baseline_bucket_count)
    {
        baseline_buckets_.pop_front();
    }
}

double adaptive_limit::baseline_us() const noexcept
{
    // Uses the lowest bucket mean instead of the lowest window mean. The lowest of
    // hundreds of random windows is about half the mean and would reduce the limit of a
    // healthy server.
    double lowest_us = std::numeric_limits<double>::max();
    for (const auto& bucket : baseline_buckets_)
    {
        lowest_us = std::min(lowest_us, bucket.window_means_sum_us / bucket.window_count);
    }
    return lowest_us;
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
