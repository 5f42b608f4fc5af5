#include "fescueridge/routing/detail/server_record.hpp"

#include <algorithm>
#include <cmath>

namespace fescueridge::detail
{

namespace
{

constexpr milliseconds peak_window{10'000};

constexpr double straggler_weight = 0.02;

constexpr double initial_weight = 0.1;

// A latency sample has a weight of 0.1, and more after a time without samples, so that a
// few probes suffice to detect a recovered straggler.
constexpr double sample_weight = 0.1;
constexpr double sample_time_constant_s = 1.0;

// A running call older than three times the mean latency counts as a sample of its age.
// The mean itself counts as eight samples. Younger calls are normal and are ignored.
constexpr double overdue_factor = 3;
constexpr double mean_sample_count = 8;

constexpr double result_weight = 0.05;
constexpr double min_success_share = 0.05;

double seconds(milliseconds value)
{
    return std::chrono::duration<double>(value).count();
}

double microseconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double, std::micro>(to - from).count();
}

} // namespace

void recent_peak::rotate(time_point now)
{
    const std::int64_t epoch = now.time_since_epoch() / peak_window;
    if (epoch != epoch_)
    {
        previous_ = epoch == epoch_ + 1 ? current_ : 0;
        current_ = 0;
        epoch_ = epoch;
    }
}

void recent_peak::add(std::uint32_t value, time_point now)
{
    rotate(now);
    current_ = std::max(current_, value);
}

std::uint32_t recent_peak::value(std::uint32_t current, time_point now) const
{
    recent_peak copy = *this;
    copy.rotate(now);
    return std::max({copy.current_, copy.previous_, current});
}

bool server_record::usable(time_point now) const
{
    const bool accepts_calls =
        info.state == server_state::cold || info.state == server_state::ready;
    return listed && accepts_calls && info.link_up &&
           !(excluded_until && now < *excluded_until);
}

double server_record::weight(time_point now) const
{
    double value = straggler ? straggler_weight : 1.0;
    if (warm_up_start && info.warm_up.count() > 0)
    {
        const double progress = seconds(now - *warm_up_start) / seconds(info.warm_up);
        value *= std::clamp(progress, 0.0, 1.0) * (1 - initial_weight) + initial_weight;
    }
    return value;
}

double server_record::cost(time_point now) const
{
    const double success = std::max(min_success_share, 1 - refusal_share);
    return estimated_latency_us / (weight(now) * success);
}

double server_record::score(time_point now) const
{
    return static_cast<double>(running_calls.size() + 1) * cost(now);
}

double server_record::domain_score(time_point now) const
{
    const double slots = std::max(1U, info.slots.get());
    return (1 + static_cast<double>(running_calls.size()) / slots) * cost(now);
}

void server_record::add_sample(double us, time_point now)
{
    if (!latency_us)
    {
        latency_us = us;
    }
    else
    {
        const double gap_s = seconds(now - last_sample);
        const double weight =
            std::max(sample_weight, 1 - std::exp(-gap_s / sample_time_constant_s));
        *latency_us += weight * (us - *latency_us);
    }
    last_sample = now;
}

void server_record::add_result(bool refused)
{
    refusal_share += result_weight * ((refused ? 1.0 : 0.0) - refusal_share);
}

void server_record::update_estimate(double fallback_latency_us, time_point now)
{
    const double mean_us = latency_us.value_or(fallback_latency_us);
    double sum_us = mean_us * mean_sample_count;
    double count = mean_sample_count;
    for (const auto& [call, start] : running_calls)
    {
        const double age_us = microseconds_between(start, now);
        if (age_us <= overdue_factor * mean_us)
        {
            break;
        }
        sum_us += age_us;
        count += 1;
    }
    estimated_latency_us = std::max(1.0, sum_us / count);
}

} // namespace fescueridge::detail
