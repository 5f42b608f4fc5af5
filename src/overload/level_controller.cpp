#include <algorithm>
#include <cmath>
#include <numeric>

#include "fescueridge/overload/pressure.hpp"

namespace fescueridge
{

namespace
{

// Time constants of the smoothed rates, in seconds.
constexpr double served_time = 0.5;
constexpr double signal_time = 0.15;
constexpr double demand_time = 1.0;
constexpr double demand_jump_time = 0.1;

// A class that is cut off sends only probes, so its known demand fades slowly instead
// of following them.
constexpr double hidden_demand_half_life = 2.0;

// Shares of the admitted calls that the queue drops, and of the started calls that found
// a free slot. More drops waste work of the services above; more free slots lose goodput.
// Over these shares the target moves by the gains. They balance at about 0.97 of 25 slots
// in the closed-loop tests.
constexpr double most_excess = 0.04;
constexpr double fall_gain = 0.25;
constexpr double most_at_once = 0.1;
constexpr double rise_gain = 0.3;

// An open level stays open while slots are free this often: the drops are then a burst.
constexpr double closing_at_once = 0.25;

// Growth of the target in one interval: while slots are in use, while some are free, and
// while hardly any call has to wait, as after a surge or a slow time.
constexpr double slow_growth = 1.02;
constexpr double fast_growth = 1.15;
constexpr double mostly_free = 0.6;
constexpr double idle_growth = 1.4;
constexpr double idle = 0.9;

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

bool level_controller::admit(const root_class& of, std::uint16_t fraction)
{
    const std::uint32_t place = rank_of(of, fraction);
    const bool under = place < position_;
    auto& counts = under ? under_ : over_;
    ++counts[place / fraction_count];
    admitted_ += under ? 1 : 0;
    return under;
}

double level_controller::share_admitted(std::uint32_t index) const
{
    const double above = static_cast<double>(position_) - index * double{fraction_count};
    return std::clamp(above / fraction_count, 0.0, 1.0);
}

void level_controller::update_demand(double seconds)
{
    const double weight = weight_of(seconds, demand_time);
    const double quick = weight_of(seconds, demand_jump_time);
    const double margin = 3 / seconds;
    const double fade = std::exp2(-seconds / hidden_demand_half_life);
    for (std::uint32_t i = 0; i < class_count; ++i)
    {
        const double seen = (under_[i] + over_[i]) / seconds;
        const double share = share_admitted(i);
        // Callers hold back most calls over the level, so those under it are scaled up.
        // Below a small share the scaled count is mostly chance.
        if (share >= 0.05)
        {
            const double now = std::max(seen, under_[i] / seconds / share);
            // Random windows move the estimate slowly, a surge or its end at once.
            const bool jump =
                now > 2 * demand_[i] + margin || 2 * now + margin < demand_[i];
            demand_[i] += (jump ? quick : weight) * (now - demand_[i]);
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

void level_controller::update_signals(const queue_window& window, double seconds)
{
    served_ += weight_of(seconds, served_time) * (window.finished / seconds - served_);
    const double weight = weight_of(seconds, signal_time);
    if (admitted_ > 0)
    {
        const double excess = std::min(1.0, sum(window.dropped) / admitted_);
        excess_ += weight * (excess - excess_);
    }
    const bool blocked = window.started == 0 && window.waiting > 0;
    const double at_once = window.started > 0
                               ? window.started_at_once / double(window.started)
                               : (blocked ? 0.0 : 1.0);
    at_once_ += weight * (at_once - at_once_);
}

double level_controller::capacity(const queue_window& window) const
{
    if (window.mean_service.count() == 0)
    {
        return served_;
    }
    // At the start of a surge the finished calls lag behind by a service time, so the
    // capacity by the service time counts too.
    const double service = std::chrono::duration<double>(window.mean_service).count();
    return std::max(served_, window.limit / service);
}

void level_controller::update_target(const queue_window& window)
{
    if (!target_)
    {
        if (excess_ > most_excess && at_once_ < closing_at_once)
        {
            target_ = std::min(capacity(window), total_demand()) * (1 + most_excess);
        }
        return;
    }
    if (at_once_ > mostly_free)
    {
        target_ = *target_ * (at_once_ > idle ? idle_growth : fast_growth);
    }
    else if (at_once_ < most_at_once && excess_ < most_excess / 2)
    {
        target_ = *target_ * slow_growth;
    }
    else
    {
        const double rise = rise_gain * std::max(0.0, at_once_ - most_at_once);
        const double fall = fall_gain * std::max(0.0, excess_ - most_excess);
        const double next = *target_ * (1 + rise - fall);
        // Not below what is served: the drops then come from the queue alone, and a lower
        // level would leave slots empty.
        target_ = rise > fall ? next : std::min(*target_, std::max(next, served_));
    }
    target_ = std::max(*target_, 1.0);
    if (*target_ > total_demand() * fast_growth)
    {
        target_.reset();
    }
}

std::uint32_t level_controller::position_for(double rate) const
{
    for (std::uint32_t i = 0; i < class_count; ++i)
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
    update_signals(window, seconds);
    update_target(window);

    const bool top_suffers =
        window.dropped[0] > 0 || window.top_wait > 2 * window.wait_target;
    top_pressure_ = top_suffers ? top_pressure_ + 1 : 0;
    const bool top_was_cut = position_ < top_position;
    position_ = target_ ? position_for(*target_) : open_position;
    // Priority 0 is refused last: only when its own calls overload the server.
    if (position_ < top_position && !top_was_cut && top_pressure_ < top_patience)
    {
        position_ = top_position;
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
