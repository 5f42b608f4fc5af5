#include "fescueridge/routing/detail/server_record.hpp"

#include <algorithm>
#include <cmath>

namespace fescueridge::detail
{

namespace
{

constexpr milliseconds pool_window{10'000};

constexpr double straggler_weight = 0.02;

constexpr double first_weight = 0.1;

// A latency sample counts for a tenth, or more after a time without samples: a recovered
// straggler is found by a few probes.
constexpr double sample_weight = 0.1;
constexpr double sample_time_s = 1.0;

// Running calls older than three times the estimate count as samples of their age next
// to the estimate, which counts as eight. Younger ones are normal for any server.
constexpr double overdue_factor = 3;
constexpr double estimate_samples = 8;

constexpr double refusal_weight = 0.05;
constexpr double least_success = 0.05;

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
    const std::int64_t epoch = now.time_since_epoch() / pool_window;
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
    const bool serves =
        member.state == server_state::cold || member.state == server_state::ready;
    return present && serves && member.link_up && !(out_until && now < *out_until);
}

double server_record::weight(time_point now) const
{
    double value = straggler ? straggler_weight : 1.0;
    if (warm_start && member.warm_up.count() > 0)
    {
        const double done = seconds(now - *warm_start) / seconds(member.warm_up);
        value *= std::clamp(done, 0.0, 1.0) * (1 - first_weight) + first_weight;
    }
    return value;
}

double server_record::cost(time_point now) const
{
    const double success = std::max(least_success, 1 - refusals);
    return estimate_us / (weight(now) * success);
}

double server_record::score(time_point now) const
{
    return static_cast<double>(running.size() + 1) * cost(now);
}

double server_record::domain_score(time_point now) const
{
    const double slots = std::max(1U, member.slots.get());
    return (1 + static_cast<double>(running.size()) / slots) * cost(now);
}

void server_record::add_sample(double us, time_point now)
{
    if (!latency_us)
    {
        latency_us = us;
    }
    else
    {
        const double gap = seconds(now - last_sample);
        const double weight = std::max(sample_weight, 1 - std::exp(-gap / sample_time_s));
        *latency_us += weight * (us - *latency_us);
    }
    last_sample = now;
}

void server_record::add_result(bool refused)
{
    refusals += refusal_weight * ((refused ? 1.0 : 0.0) - refusals);
}

void server_record::update_estimate(double unknown_us, time_point now)
{
    const double base = latency_us.value_or(unknown_us);
    double sum = base * estimate_samples;
    double count = estimate_samples;
    for (const auto& [call, start] : running)
    {
        const double age = microseconds_between(start, now);
        if (age <= overdue_factor * base)
        {
            break;
        }
        sum += age;
        count += 1;
    }
    estimate_us = std::max(1.0, sum / count);
}

} // namespace fescueridge::detail
