#include <algorithm>
#include <cmath>
#include <numeric>

#include "fescueridge/overload/pressure.hpp"

namespace fescueridge
{

namespace
{

// Time constants of the smoothed rates, in seconds.
constexpr double served_time = 0.2;
constexpr double demand_time = 0.3;

// A priority that is cut off sends only probes, so its known demand fades slowly instead
// of following them.
constexpr double hidden_demand_half_life = 2.0;

// The share of admitted calls that the queue may drop. Fewer than the lower bound leave
// slots empty between arrivals; more waste work of the services above.
constexpr double least_excess = 0.01;
constexpr double most_excess = 0.04;

// Growth of the target in one interval: while slots are in use, and while some are free.
constexpr double slow_growth = 1.02;
constexpr double fast_growth = 1.15;

// Consecutive bad windows of priority 0 before it is cut. A single late call must not
// cost the share of priority 0 that has to be answered.
constexpr std::uint32_t top_patience = 4;

double weight_of(double seconds, double time_constant)
{
    return 1 - std::exp(-seconds / time_constant);
}

template <class Counts>
double sum(const Counts& counts)
{
    return std::accumulate(counts.begin(), counts.end(), 0.0);
}

} // namespace

level_controller::level_controller(service_name service) : service_(std::move(service)) {}

bool level_controller::admit(priority rank, std::uint16_t fraction)
{
    const std::uint32_t place = rank_of(rank, fraction);
    const bool under = place < position_;
    auto& counts = under ? under_ : over_;
    ++counts[place / fraction_count];
    admitted_ += under ? 1 : 0;
    return under;
}

double level_controller::share_admitted(std::uint32_t rank) const
{
    const double above = static_cast<double>(position_) - rank * double{fraction_count};
    return std::clamp(above / fraction_count, 0.0, 1.0);
}

void level_controller::update_demand(double seconds)
{
    const double weight = weight_of(seconds, demand_time);
    const double fade = std::exp2(-seconds / hidden_demand_half_life);
    for (std::uint32_t i = 0; i < priority_count; ++i)
    {
        const double seen = (under_[i] + over_[i]) / seconds;
        const double share = share_admitted(i);
        // Callers hold back most calls over the level, so those under it are scaled up.
        // Below a small share the scaled count is mostly chance.
        if (share >= 0.05)
        {
            const double now = std::max(seen, under_[i] / seconds / share);
            demand_[i] += weight * (now - demand_[i]);
        }
        else
        {
            demand_[i] = std::max(demand_[i] * fade, seen);
        }
    }
}

double level_controller::total_demand() const
{
    return sum(demand_);
}

void level_controller::update_target(const queue_window& window, double seconds)
{
    served_ += weight_of(seconds, served_time) * (window.finished / seconds - served_);
    const double dropped = sum(window.dropped);
    const double excess = dropped / std::max(1U, admitted_);
    const bool waits = window.mean_wait > window.wait_target;
    const bool slots_free = window.waiting == 0 && window.peak_running < window.limit;

    if (!target_)
    {
        if (excess <= most_excess && !waits)
        {
            return;
        }
        // At the start of a surge the finished calls lag behind by a service time, so the
        // capacity by the service time counts too.
        double capacity = served_;
        if (window.mean_service.count() > 0)
        {
            const double service =
                std::chrono::duration<double>(window.mean_service).count();
            capacity = std::max(capacity, window.limit / service);
        }
        target_ = std::min(capacity, total_demand()) * (1 + most_excess);
        return;
    }
    if (excess > most_excess)
    {
        // Never below what is served: the drops then come from the queue alone, and a
        // lower level would leave slots empty.
        const double lower = *target_ * (1 - std::min(0.5, excess / 2));
        target_ = std::min(*target_, std::max(lower, served_ * (1 + least_excess)));
    }
    else if (slots_free)
    {
        target_ = *target_ * fast_growth;
    }
    else if (excess < least_excess && !waits)
    {
        target_ = *target_ * slow_growth;
    }
    target_ = std::max(*target_, 1.0);
    if (*target_ > total_demand() * fast_growth)
    {
        target_.reset();
    }
}

std::uint32_t level_controller::position_for(double rate) const
{
    for (std::uint32_t i = 0; i < priority_count; ++i)
    {
        if (rate < demand_[i])
        {
            const double fraction = rate / demand_[i] * fraction_count;
            return i * fraction_count + static_cast<std::uint32_t>(fraction);
        }
        rate -= demand_[i];
    }
    return open_position;
}

void level_controller::update(const queue_window& window, time_point now)
{
    if (!last_update_ || now <= *last_update_)
    {
        last_update_ = now;
        return;
    }
    const double seconds = std::chrono::duration<double>(now - *last_update_).count();
    last_update_ = now;
    update_demand(seconds);
    update_target(window, seconds);

    const bool top_suffers =
        window.dropped[0] > 0 || window.top_wait > 2 * window.wait_target;
    top_pressure_ = top_suffers ? top_pressure_ + 1 : 0;
    const bool top_was_cut = position_ < fraction_count;
    position_ = target_ ? position_for(*target_) : open_position;
    // Priority 0 is refused last: only when its own calls overload the server.
    if (position_ < fraction_count && !top_was_cut && top_pressure_ < top_patience)
    {
        position_ = fraction_count;
    }
    under_.fill(0);
    over_.fill(0);
    admitted_ = 0;
}

admission_level level_controller::level() const
{
    return level_at(service_, position_);
}

} // namespace fescueridge
