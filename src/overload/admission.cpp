#include "fescueridge/overload/admission.hpp"

#include <algorithm>
#include <utility>

namespace fescueridge
{

namespace
{

constexpr std::uint32_t exclusive_queue = class_count;
constexpr std::uint32_t first_lower_priority_queue = 2; // priority 0 has two root classes

// Bounds of the queueing delay. A standing queue only adds delay, so its bound is low. A
// burst can still be served, so its bound is higher.
constexpr microseconds min_wait_target = milliseconds{5};
constexpr microseconds goodput_burst_bound = milliseconds{100};
constexpr microseconds recovery_burst_bound = milliseconds{20};

// Time for which the delay must exceed its target before the queue counts as standing
// (interval of CoDel).
constexpr milliseconds standing_interval{100};

// While the queue is standing, one in this many dispatches starts the oldest waiting
// call.
constexpr std::uint32_t dispatches_per_oldest_call = 100;

// During a hold no other calls start, so that an exclusive call can run alone. The pause
// after a hold is at least this multiple of its length. Holds use at most a twentieth of
// the time, so suspected requests cost other calls at most 5% of their goodput.
constexpr int hold_pause_factor = 19;
// Minimum time for which a hold waits for running calls to end.
constexpr microseconds min_hold_limit = milliseconds{200};

constexpr std::size_t service_sample_count = 32;
constexpr double mean_service_time_weight = 1.0 / 32;

microseconds elapsed(time_point start, time_point now)
{
    return std::max(microseconds{0}, microseconds{now - start});
}

double to_us(microseconds value)
{
    return static_cast<double>(value.count());
}

} // namespace

admission_queue::admission_queue(limit_policy policy, admission_settings settings)
    : policy_(std::move(policy)), settings_(settings)
{
    service_times_.reserve(service_sample_count);
}

std::size_t admission_queue::waiting() const noexcept
{
    return waiting_index_.size();
}

std::size_t admission_queue::max_waiting() const
{
    if (settings_.max_waiting > 0)
    {
        return settings_.max_waiting;
    }
    return std::max<std::size_t>(64, std::size_t{8} * limit());
}

microseconds admission_queue::wait_target() const
{
    // With few waiting calls, random gaps between arrivals leave slots empty: with 25
    // slots and a service time of 40 ms, a target of 5 ms queues 3 calls and costs 7% of
    // the goodput. Half the service time, or room for four calls, adds little delay.
    const auto four_call_wait =
        4 * median_service_time_ / static_cast<std::int64_t>(limit());
    return std::clamp(std::max(median_service_time_ / 2, four_call_wait), min_wait_target,
                      goodput_burst_bound);
}

microseconds admission_queue::burst_wait_bound() const
{
    const auto bound = settings_.weigh == overload_goal::goodput ? goodput_burst_bound
                                                                 : recovery_burst_bound;
    // A slot becomes free every median / limit on average. A shorter bound would drop
    // even a call that waits for the next free slot.
    const auto two_slot_wait =
        2 * median_service_time_ / static_cast<std::int64_t>(limit());
    return std::max({bound, wait_target(), two_slot_wait});
}

bool admission_queue::meets_deadline(const waiting_call& call, time_point now) const
{
    // An idle server admits a call regardless of the median: after a slow period, only a
    // new sample can lower it.
    const auto required = running_.empty() ? microseconds{0} : median_service_time_;
    return microseconds{call.deadline - now} > required;
}

bool admission_queue::normal_calls_blocked() const noexcept
{
    return exclusive_running_ || hold_start_.has_value();
}

bool admission_queue::may_start(const waiting_call& call) const
{
    if (call.exclusive)
    {
        return running_.empty() && waiting_index_.empty();
    }
    if (normal_calls_blocked() || running_.size() >= limit())
    {
        return false;
    }
    // Waiting normal calls take precedence; waiting exclusive calls do not.
    return waiting_index_.size() == class_queues_[exclusive_queue].size();
}

void admission_queue::start(const waiting_call& call, time_point now)
{
    running_.emplace(call.id, call.exclusive);
    if (call.exclusive)
    {
        exclusive_running_ = true;
        hold_start_ = hold_start_.value_or(now);
    }
    const auto running = static_cast<std::uint32_t>(running_.size());
    peak_since_sample_ = std::max(peak_since_sample_, running);
    window_.peak_running = std::max(window_.peak_running, running);
    ++window_.started;
    const double wait_us = to_us(elapsed(call.arrival, now));
    wait_sum_us_ += wait_us;
    if (call.call_priority.get() == 0)
    {
        top_priority_wait_sum_us_ += wait_us;
        ++top_priority_started_;
    }
}

void admission_queue::insert(const waiting_call& call)
{
    const std::uint32_t queue_index =
        call.exclusive ? exclusive_queue : class_index({call.call_priority, call.resend});
    const std::uint64_t sequence = next_sequence_++;
    class_queues_[queue_index].emplace(sequence, call);
    waiting_index_.emplace(call.id, call_location{queue_index, sequence});
    deadlines_.emplace(call.deadline, call.id);
}

void admission_queue::erase(const call_location& location)
{
    const auto found = class_queues_[location.queue_index].find(location.sequence);
    deadlines_.erase({found->second.deadline, found->second.id});
    waiting_index_.erase(found->second.id);
    class_queues_[location.queue_index].erase(found);
}

void admission_queue::drop(const call_location& location, refusal_reason reason,
                           queue_changes& changes)
{
    const auto& call = class_queues_[location.queue_index].at(location.sequence);
    ++window_.dropped[std::min(call.call_priority.get(), lowest_priority)];
    changes.dropped.push_back({call.id, reason});
    erase(location);
}

std::optional<admission_queue::call_location> admission_queue::oldest_call() const
{
    // Prefers the lowest class among calls with the same arrival, because the regular
    // order starts the higher classes first.
    std::optional<call_location> oldest;
    time_point arrival;
    for (std::uint32_t i = exclusive_queue; i-- > 0;)
    {
        if (!class_queues_[i].empty())
        {
            const auto& [sequence, call] = *class_queues_[i].begin();
            if (!oldest || call.arrival < arrival)
            {
                oldest = call_location{i, sequence};
                arrival = call.arrival;
            }
        }
    }
    return oldest;
}

std::optional<admission_queue::call_location>
admission_queue::newest_of_lowest_class() const
{
    for (std::uint32_t i = exclusive_queue + 1; i-- > 0;)
    {
        if (!class_queues_[i].empty())
        {
            return call_location{i, class_queues_[i].rbegin()->first};
        }
    }
    return std::nullopt;
}

std::optional<admission_queue::call_location> admission_queue::next_call()
{
    const bool reserve_share = settings_.weigh == overload_goal::goodput && standing_;
    if (reserve_share && ++dispatch_count_ % dispatches_per_oldest_call == 0)
    {
        return oldest_call();
    }
    for (std::uint32_t i = 0; i < exclusive_queue; ++i)
    {
        if (!class_queues_[i].empty())
        {
            return call_location{i, class_queues_[i].begin()->first};
        }
    }
    return std::nullopt;
}

void admission_queue::drop_older_than(microseconds bound, std::uint32_t first_queue,
                                      std::size_t min_waiting, time_point now,
                                      queue_changes& changes)
{
    for (std::uint32_t i = exclusive_queue; i-- > first_queue;)
    {
        auto& queue = class_queues_[i];
        while (!queue.empty() && waiting_index_.size() > min_waiting &&
               elapsed(queue.begin()->second.arrival, now) > bound)
        {
            drop({i, queue.begin()->first}, refusal_reason::overload, changes);
        }
    }
}

void admission_queue::update_standing(time_point now)
{
    const auto oldest = oldest_call();
    if (!oldest)
    {
        standing_ = false;
        above_target_since_.reset();
        return;
    }
    const auto wait =
        elapsed(class_queues_[oldest->queue_index].at(oldest->sequence).arrival, now);
    if (wait <= wait_target())
    {
        // The standing state ends only with an empty queue. Drops keep the delay of a
        // standing queue below the target, so ending the state here would make the bound
        // oscillate between the target and the burst bound.
        above_target_since_.reset();
        return;
    }
    above_target_since_ = above_target_since_.value_or(now);
    if (now - *above_target_since_ >= standing_interval)
    {
        standing_ = true;
    }
}

void admission_queue::drop_overdue(time_point now, queue_changes& changes)
{
    while (!deadlines_.empty())
    {
        const auto location = waiting_index_.at(deadlines_.begin()->second);
        if (meets_deadline(class_queues_[location.queue_index].at(location.sequence),
                           now))
        {
            break;
        }
        drop(location, refusal_reason::deadline, changes);
    }
    drop_older_than(burst_wait_bound(), first_lower_priority_queue, 0, now, changes);
    // The lower bound of `weigh` = recovery does not apply to priority 0: at 10 times the
    // load it dropped over 1% of these calls.
    drop_older_than(std::max(burst_wait_bound(), goodput_burst_bound), 0, 0, now,
                    changes);
    // A delay caused by an exclusive call is not a sign of overload.
    if (normal_calls_blocked())
    {
        return;
    }
    update_standing(now);
    if (standing_)
    {
        // Priority 0 is exempt. It waits for the next free slot only, unless it overloads
        // the server alone; then the burst bound applies.
        drop_older_than(wait_target(), first_lower_priority_queue, 1, now, changes);
    }
}

bool admission_queue::start_exclusive_call(time_point now, queue_changes& changes)
{
    if (exclusive_running_)
    {
        return true;
    }
    auto& queue = class_queues_[exclusive_queue];
    const bool no_other_calls = running_.empty() && waiting_index_.size() == queue.size();
    if (hold_start_)
    {
        const auto hold_time = elapsed(*hold_start_, now);
        const bool timed_out =
            hold_time > std::max(min_hold_limit, 4 * median_service_time_);
        if (queue.empty() || (timed_out && !running_.empty()))
        {
            next_hold_start_ = now + hold_pause_factor * (now - *hold_start_);
            hold_start_.reset();
            return false;
        }
    }
    else if (queue.empty() || (now < next_hold_start_ && !no_other_calls))
    {
        return false;
    }
    hold_start_ = hold_start_.value_or(now);
    if (running_.empty())
    {
        const call_location location{exclusive_queue, queue.begin()->first};
        const waiting_call call = queue.begin()->second;
        erase(location);
        start(call, now);
        changes.started.push_back(call.id);
    }
    return true;
}

void admission_queue::start_waiting_calls(time_point now, queue_changes& changes)
{
    if (start_exclusive_call(now, changes))
    {
        return;
    }
    while (running_.size() < limit())
    {
        const auto next = next_call();
        if (!next)
        {
            return;
        }
        const waiting_call call = class_queues_[next->queue_index].at(next->sequence);
        erase(*next);
        start(call, now);
        changes.started.push_back(call.id);
    }
}

queue_changes admission_queue::drop_and_start(time_point now)
{
    queue_changes changes;
    drop_overdue(now, changes);
    start_waiting_calls(now, changes);
    return changes;
}

offer_outcome admission_queue::offer(const waiting_call& call, time_point now)
{
    offer_outcome outcome{queued{}, drop_and_start(now)};
    if (!meets_deadline(call, now))
    {
        outcome.decision = refused{refusal_reason::deadline};
        return outcome;
    }
    if (may_start(call))
    {
        start(call, now);
        ++window_.started_immediately;
        outcome.decision = admitted_now{};
        return outcome;
    }
    insert(call);
    if (waiting_index_.size() > max_waiting())
    {
        drop(*newest_of_lowest_class(), refusal_reason::overload, outcome.changes);
        if (outcome.changes.dropped.back().id == call.id)
        {
            outcome.changes.dropped.pop_back();
            outcome.decision = refused{refusal_reason::overload};
        }
    }
    return outcome;
}

void admission_queue::record_service_time(microseconds service_time, time_point now)
{
    if (service_times_.size() < service_sample_count)
    {
        service_times_.push_back(service_time);
    }
    else
    {
        service_times_[next_service_time_] = service_time;
        next_service_time_ = (next_service_time_ + 1) % service_sample_count;
    }
    auto sorted = service_times_;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    median_service_time_ = *middle;

    const double sample_us = to_us(service_time);
    mean_service_us_ = mean_service_us_ == 0
                           ? sample_us
                           : mean_service_us_ + (sample_us - mean_service_us_) *
                                                    mean_service_time_weight;
    record_sample(policy_, service_time, peak_since_sample_, now);
    peak_since_sample_ = static_cast<std::uint32_t>(running_.size());
}

queue_changes admission_queue::finish(std::uint64_t id, microseconds service_time,
                                      bool success, time_point now)
{
    const auto found = running_.find(id);
    if (found == running_.end())
    {
        return {};
    }
    ++window_.finished;
    // A fast failure is not representative of the service time.
    if (success || service_time > 2 * median_service_time_)
    {
        record_service_time(service_time, now);
    }
    return cancel(id, now);
}

queue_changes admission_queue::cancel(std::uint64_t id, time_point now)
{
    const auto waiting = waiting_index_.find(id);
    if (waiting != waiting_index_.end())
    {
        erase(call_location{waiting->second});
        return drop_and_start(now);
    }
    const auto found = running_.find(id);
    if (found == running_.end())
    {
        return {};
    }
    if (found->second)
    {
        exclusive_running_ = false;
        next_hold_start_ = now + hold_pause_factor * (now - *hold_start_);
        hold_start_.reset();
    }
    running_.erase(found);
    return drop_and_start(now);
}

queue_changes admission_queue::poll(time_point now)
{
    return drop_and_start(now);
}

queue_changes admission_queue::make_non_exclusive(std::uint64_t id, time_point now)
{
    const auto found = waiting_index_.find(id);
    if (found != waiting_index_.end() && found->second.queue_index == exclusive_queue)
    {
        const call_location location = found->second;
        waiting_call call = class_queues_[location.queue_index].at(location.sequence);
        call.exclusive = false;
        erase(location);
        insert(call);
    }
    return drop_and_start(now);
}

queue_changes admission_queue::drop_all(refusal_reason reason)
{
    queue_changes changes;
    for (auto& queue : class_queues_)
    {
        for (const auto& [sequence, call] : queue)
        {
            changes.dropped.push_back({call.id, reason});
        }
        queue.clear();
    }
    waiting_index_.clear();
    deadlines_.clear();
    return changes;
}

void admission_queue::configure(admission_settings settings)
{
    settings_ = settings;
}

void admission_queue::set_policy(limit_policy policy)
{
    policy_ = std::move(policy);
}

queue_window admission_queue::take_window()
{
    queue_window result = window_;
    const auto mean = [](double sum, std::uint32_t count)
    {
        const double value = count > 0 ? sum / count : 0.0;
        return microseconds{static_cast<std::int64_t>(value)};
    };
    result.mean_wait = mean(wait_sum_us_, result.started);
    result.top_priority_mean_wait =
        mean(top_priority_wait_sum_us_, top_priority_started_);
    result.mean_service_time = microseconds{static_cast<std::int64_t>(mean_service_us_)};
    result.wait_target = wait_target();
    result.limit = limit();
    result.waiting = static_cast<std::uint32_t>(waiting_index_.size());
    window_ = queue_window{};
    window_.peak_running = static_cast<std::uint32_t>(running_.size());
    wait_sum_us_ = 0;
    top_priority_wait_sum_us_ = 0;
    top_priority_started_ = 0;
    return result;
}

} // namespace fescueridge
