#include <algorithm>
#include <cmath>
#include <numeric>

#include "fescueridge/overload/pressure.hpp"

namespace fescueridge
{

namespace
{

// Time constants of exponential smoothing.
constexpr double served_time_constant_s = 0.5;
constexpr double queue_share_time_constant_s = 0.15;
constexpr double demand_time_constant_s = 1.0;
constexpr double demand_jump_time_constant_s = 0.1;

// Only probes of a refused class arrive, so its estimated demand decays slowly instead of
// following the arrivals.
constexpr double refused_demand_half_life_s = 2.0;

// Thresholds for the share of admitted calls that the queue drops, and for the share of
// started calls that started on arrival. More drops waste the work of upstream services;
// more free slots lose goodput. Beyond the thresholds the target changes in proportion to
// the gains. In the closed-loop tests they balance at about 0.97 of 25 slots.
constexpr double max_drop_share = 0.04;
constexpr double fall_gain = 0.25;
constexpr double max_immediate_share = 0.1;
constexpr double rise_gain = 0.3;

// At or above this share of immediate starts, drops are attributed to a burst and do not
// restrict an unrestricted level.
constexpr double unrestricted_immediate_share = 0.25;

// Growth factors of the target per update: slow while all slots are in use, fast while
// most calls start on arrival, and fastest while hardly any call waits, as after a surge
// or a slow period.
constexpr double slow_growth = 1.02;
constexpr double fast_growth = 1.15;
constexpr double fast_growth_immediate_share = 0.6;
constexpr double idle_growth = 1.4;
constexpr double idle_immediate_share = 0.9;

// Consecutive windows with drops or high delay of priority 0 before the level refuses
// calls of priority 0. A single late call must not reduce the share of answered
// priority 0 calls.
constexpr std::uint32_t top_priority_grace_windows = 4;

double smoothing_weight(double seconds, double time_constant_s)
{
    return 1 - std::exp(-seconds / time_constant_s);
}

template <class Counts>
double sum(const Counts& counts)
{
    return std::accumulate(counts.begin(), counts.end(), 0.0);
}

} // namespace

level_controller::level_controller(service_name service) : service_(std::move(service)) {}

bool level_controller::admit(const root_class& call_class, std::uint16_t fraction)
{
    const std::uint32_t rank = rank_of(call_class, fraction);
    const bool admitted = rank < position_;
    auto& counts = admitted ? arrivals_below_ : arrivals_above_;
    ++counts[rank / fraction_count];
    admitted_count_ += admitted ? 1 : 0;
    return admitted;
}

double level_controller::admitted_share(std::uint32_t index) const
{
    const double admitted_ranks =
        static_cast<double>(position_) - index * double{fraction_count};
    return std::clamp(admitted_ranks / fraction_count, 0.0, 1.0);
}

void level_controller::update_demand(double seconds)
{
    const double weight = smoothing_weight(seconds, demand_time_constant_s);
    const double jump_weight = smoothing_weight(seconds, demand_jump_time_constant_s);
    const double margin = 3 / seconds;
    const double decay = std::exp2(-seconds / refused_demand_half_life_s);
    for (std::uint32_t i = 0; i < class_count; ++i)
    {
        const double arrival_rate = (arrivals_below_[i] + arrivals_above_[i]) / seconds;
        const double share = admitted_share(i);
        // Callers refuse most calls over the level themselves, so the demand is scaled up
        // from the arrivals below it. With a small share the result is mostly noise.
        if (share >= 0.05)
        {
            const double rate =
                std::max(arrival_rate, arrivals_below_[i] / seconds / share);
            // Random variation is smoothed; a surge or its end is followed quickly.
            const bool jump = rate > 2 * class_demand_[i] + margin ||
                              2 * rate + margin < class_demand_[i];
            class_demand_[i] += (jump ? jump_weight : weight) * (rate - class_demand_[i]);
        }
        else
        {
            class_demand_[i] = std::max(class_demand_[i] * decay, arrival_rate);
        }
    }
}

double level_controller::total_demand() const
{
    return sum(class_demand_);
}

void level_controller::update_queue_measurements(const queue_window& window,
                                                 double seconds)
{
    served_rate_ += smoothing_weight(seconds, served_time_constant_s) *
                    (window.finished / seconds - served_rate_);
    const double weight = smoothing_weight(seconds, queue_share_time_constant_s);
    if (admitted_count_ > 0)
    {
        const double drop_share = std::min(1.0, sum(window.dropped) / admitted_count_);
        drop_share_ += weight * (drop_share - drop_share_);
    }
    const bool blocked = window.started == 0 && window.waiting > 0;
    const double immediate_share =
        window.started > 0 ? window.started_immediately / double(window.started)
                           : (blocked ? 0.0 : 1.0);
    immediate_share_ += weight * (immediate_share - immediate_share_);
}

double level_controller::capacity(const queue_window& window) const
{
    if (window.mean_service_time.count() == 0)
    {
        return served_rate_;
    }
    // At the start of a surge the rate of finished calls lags by one service time, so the
    // capacity derived from the service time is used as a lower bound.
    const double service_s =
        std::chrono::duration<double>(window.mean_service_time).count();
    return std::max(served_rate_, window.limit / service_s);
}

void level_controller::update_target_rate(const queue_window& window)
{
    if (!target_rate_)
    {
        if (drop_share_ > max_drop_share &&
            immediate_share_ < unrestricted_immediate_share)
        {
            target_rate_ =
                std::min(capacity(window), total_demand()) * (1 + max_drop_share);
        }
        return;
    }
    if (immediate_share_ > fast_growth_immediate_share)
    {
        target_rate_ =
            *target_rate_ *
            (immediate_share_ > idle_immediate_share ? idle_growth : fast_growth);
    }
    else if (immediate_share_ < max_immediate_share && drop_share_ < max_drop_share / 2)
    {
        target_rate_ = *target_rate_ * slow_growth;
    }
    else
    {
        const double rise =
            rise_gain * std::max(0.0, immediate_share_ - max_immediate_share);
        const double fall = fall_gain * std::max(0.0, drop_share_ - max_drop_share);
        const double next = *target_rate_ * (1 + rise - fall);
        // Not below the served rate: at that rate all drops come from the queue, and a
        // lower level would leave slots empty.
        target_rate_ =
            rise > fall ? next : std::min(*target_rate_, std::max(next, served_rate_));
    }
    target_rate_ = std::max(*target_rate_, 1.0);
    if (*target_rate_ > total_demand() * fast_growth)
    {
        target_rate_.reset();
    }
}

std::uint32_t level_controller::position_for(double rate) const
{
    for (std::uint32_t i = 0; i < class_count; ++i)
    {
        if (rate < class_demand_[i])
        {
            const double fraction = rate / class_demand_[i] * fraction_count;
            return i * fraction_count + static_cast<std::uint32_t>(fraction);
        }
        rate -= class_demand_[i];
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
    update_queue_measurements(window, seconds);
    update_target_rate(window);

    const bool top_priority_degraded =
        window.dropped[0] > 0 || window.top_priority_mean_wait > 2 * window.wait_target;
    degraded_top_priority_windows_ =
        top_priority_degraded ? degraded_top_priority_windows_ + 1 : 0;
    const bool top_priority_was_cut = position_ < top_priority_position;
    position_ = target_rate_ ? position_for(*target_rate_) : open_position;
    // Priority 0 is refused only when its own calls overload the server.
    if (position_ < top_priority_position && !top_priority_was_cut &&
        degraded_top_priority_windows_ < top_priority_grace_windows)
    {
        position_ = top_priority_position;
    }
    arrivals_below_.fill(0);
    arrivals_above_.fill(0);
    admitted_count_ = 0;
}

admission_level level_controller::level() const
{
    return level_at(service_, position_);
}

} // namespace fescueridge
