#include "fescueridge/overload/admission.hpp"

#include <algorithm>
#include <utility>

namespace fescueridge
{

namespace
{

constexpr std::uint32_t exclusive_lane = class_count;
constexpr std::uint32_t first_lower_lane = 2; // the first below priority 0

// Bounds of the queue time: a standing queue only adds delay, a burst may be served.
constexpr microseconds standing_target = milliseconds{5};
constexpr microseconds burst_goodput = milliseconds{100};
constexpr microseconds burst_recovery = milliseconds{20};

// Time for which the queue must stay above its target to count as standing (CoDel's
// interval).
constexpr milliseconds standing_interval{100};

// One of so many dispatches goes to the call that waits longest, under full overload.
constexpr std::uint32_t oldest_share = 100;

// Holding back others for an exclusive call may take a twentieth of the time, so that
// suspected requests cost others at most 5% of their goodput.
constexpr int hold_spacing = 19;
constexpr microseconds shortest_hold_limit = milliseconds{200};

constexpr std::size_t service_samples = 32;
constexpr double mean_weight = 1.0 / 32;

microseconds since(time_point start, time_point now)
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
    samples_.reserve(service_samples);
}

std::size_t admission_queue::waiting() const noexcept
{
    return index_.size();
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
    // With few waiting calls, random gaps between arrivals leave slots empty: at 25 slots
    // of 40 ms, a target of 5 ms holds 3 calls and costs 7% of the goodput. Half of
    // the service time, and room for four calls, cost little delay in comparison.
    const auto room = 4 * median_ / static_cast<std::int64_t>(limit());
    return std::clamp(std::max(median_ / 2, room), standing_target, burst_goodput);
}

microseconds admission_queue::burst_bound() const
{
    const auto bound =
        settings_.weigh == weigh_goal::goodput ? burst_goodput : burst_recovery;
    // Slots become free every median / limit on average. A shorter bound would drop even
    // a call that waits for the next free slot.
    const auto next_slots = 2 * median_ / static_cast<std::int64_t>(limit());
    return std::max({bound, wait_target(), next_slots});
}

bool admission_queue::meets_deadline(const waiting_call& call, time_point now) const
{
    // One call may always try: when the server was slow, only a new sample can show that
    // it is fast again.
    const auto needed = running_.empty() ? microseconds{0} : median_;
    return microseconds{call.deadline - now} > needed;
}

bool admission_queue::holding_back() const noexcept
{
    return exclusive_running_ || hold_start_.has_value();
}

bool admission_queue::may_start(const waiting_call& call) const
{
    if (call.exclusive)
    {
        return running_.empty() && index_.empty();
    }
    if (holding_back() || running_.size() >= limit())
    {
        return false;
    }
    // Waiting normal calls would have started before; only exclusive ones can be left.
    return index_.size() == lanes_[exclusive_lane].size();
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
    const double wait = to_us(since(call.arrival, now));
    wait_sum_us_ += wait;
    if (call.rank.get() == 0)
    {
        top_wait_sum_us_ += wait;
        ++top_started_;
    }
}

void admission_queue::insert(const waiting_call& call)
{
    const std::uint32_t lane =
        call.exclusive ? exclusive_lane : class_index({call.rank, call.resend});
    const std::uint64_t order = next_order_++;
    lanes_[lane].emplace(order, call);
    index_.emplace(call.id, position{lane, order});
    deadlines_.emplace(call.deadline, call.id);
}

void admission_queue::erase(const position& where)
{
    const auto found = lanes_[where.lane].find(where.order);
    deadlines_.erase({found->second.deadline, found->second.id});
    index_.erase(found->second.id);
    lanes_[where.lane].erase(found);
}

void admission_queue::drop(const position& where, refusal_reason reason,
                           queue_changes& changes)
{
    const auto& call = lanes_[where.lane].at(where.order);
    ++window_.dropped[std::min(call.rank.get(), lowest_priority)];
    changes.dropped.push_back({call.id, reason});
    erase(where);
}

std::optional<admission_queue::position> admission_queue::oldest_call() const
{
    // Among calls of the same age the lowest class goes first: the higher ones have
    // their turn anyway.
    std::optional<position> oldest;
    time_point arrival;
    for (std::uint32_t i = exclusive_lane; i-- > 0;)
    {
        if (!lanes_[i].empty())
        {
            const auto& [order, call] = *lanes_[i].begin();
            if (!oldest || call.arrival < arrival)
            {
                oldest = position{i, order};
                arrival = call.arrival;
            }
        }
    }
    return oldest;
}

std::optional<admission_queue::position> admission_queue::newest_of_lowest() const
{
    for (std::uint32_t i = exclusive_lane + 1; i-- > 0;)
    {
        if (!lanes_[i].empty())
        {
            return position{i, lanes_[i].rbegin()->first};
        }
    }
    return std::nullopt;
}

std::optional<admission_queue::position> admission_queue::next_call()
{
    const bool share_kept = settings_.weigh == weigh_goal::goodput && standing_;
    if (share_kept && ++dispatches_ % oldest_share == 0)
    {
        return oldest_call();
    }
    for (std::uint32_t i = 0; i < exclusive_lane; ++i)
    {
        if (!lanes_[i].empty())
        {
            return position{i, lanes_[i].begin()->first};
        }
    }
    return std::nullopt;
}

void admission_queue::drop_over(microseconds bound, std::uint32_t first_lane,
                                std::size_t keep, time_point now, queue_changes& changes)
{
    for (std::uint32_t i = exclusive_lane; i-- > first_lane;)
    {
        auto& lane = lanes_[i];
        while (!lane.empty() && index_.size() > keep &&
               since(lane.begin()->second.arrival, now) > bound)
        {
            drop({i, lane.begin()->first}, refusal_reason::overload, changes);
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
    const auto wait = since(lanes_[oldest->lane].at(oldest->order).arrival, now);
    if (wait <= wait_target())
    {
        // While standing, drops keep the wait below the target; only an empty queue ends
        // it, or the bound would swing between target and burst.
        above_target_since_.reset();
        return;
    }
    above_target_since_ = above_target_since_.value_or(now);
    if (now - *above_target_since_ >= standing_interval)
    {
        standing_ = true;
    }
}

void admission_queue::drop_late(time_point now, queue_changes& changes)
{
    while (!deadlines_.empty())
    {
        const auto where = index_.at(deadlines_.begin()->second);
        if (meets_deadline(lanes_[where.lane].at(where.order), now))
        {
            break;
        }
        drop(where, refusal_reason::deadline, changes);
    }
    drop_over(burst_bound(), first_lower_lane, 0, now, changes);
    // `weigh` = recovery must not cost priority 0: at 10 times the load it lost over 1%.
    drop_over(std::max(burst_bound(), burst_goodput), 0, 0, now, changes);
    // Calls that wait for an exclusive call do not show that the server is overloaded.
    if (holding_back())
    {
        return;
    }
    update_standing(now);
    if (standing_)
    {
        // Priority 0 is exempt: it waits only for the next free slot unless it overloads
        // the server alone, and then the burst bound holds.
        drop_over(wait_target(), first_lower_lane, 1, now, changes);
    }
}

bool admission_queue::fill_exclusive(time_point now, queue_changes& changes)
{
    if (exclusive_running_)
    {
        return true;
    }
    auto& lane = lanes_[exclusive_lane];
    const bool idle = running_.empty() && index_.size() == lane.size();
    if (hold_start_)
    {
        const auto held = since(*hold_start_, now);
        const bool too_long = held > std::max(shortest_hold_limit, 4 * median_);
        if (lane.empty() || (too_long && !running_.empty()))
        {
            next_hold_ = now + hold_spacing * (now - *hold_start_);
            hold_start_.reset();
            return false;
        }
    }
    else if (lane.empty() || (now < next_hold_ && !idle))
    {
        return false;
    }
    hold_start_ = hold_start_.value_or(now);
    if (running_.empty())
    {
        const position where{exclusive_lane, lane.begin()->first};
        const waiting_call call = lane.begin()->second;
        erase(where);
        start(call, now);
        changes.start.push_back(call.id);
    }
    return true;
}

void admission_queue::fill(time_point now, queue_changes& changes)
{
    if (fill_exclusive(now, changes))
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
        const waiting_call call = lanes_[next->lane].at(next->order);
        erase(*next);
        start(call, now);
        changes.start.push_back(call.id);
    }
}

queue_changes admission_queue::settle(time_point now)
{
    queue_changes changes;
    drop_late(now, changes);
    fill(now, changes);
    return changes;
}

offer_outcome admission_queue::offer(const waiting_call& call, time_point now)
{
    offer_outcome result{queued{}, settle(now)};
    if (!meets_deadline(call, now))
    {
        result.result = refused{refusal_reason::deadline};
        return result;
    }
    if (may_start(call))
    {
        start(call, now);
        ++window_.started_at_once;
        result.result = admitted_now{};
        return result;
    }
    insert(call);
    if (index_.size() > max_waiting())
    {
        drop(*newest_of_lowest(), refusal_reason::overload, result.changes);
        if (result.changes.dropped.back().id == call.id)
        {
            result.changes.dropped.pop_back();
            result.result = refused{refusal_reason::overload};
        }
    }
    return result;
}

void admission_queue::record_service(microseconds service_time, time_point now)
{
    if (samples_.size() < service_samples)
    {
        samples_.push_back(service_time);
    }
    else
    {
        samples_[next_sample_] = service_time;
        next_sample_ = (next_sample_ + 1) % service_samples;
    }
    auto sorted = samples_;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    median_ = *middle;

    const double sample = to_us(service_time);
    mean_service_us_ = mean_service_us_ == 0
                           ? sample
                           : mean_service_us_ + (sample - mean_service_us_) * mean_weight;
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
    // A quick failure says nothing about the time that calls need.
    if (success || service_time > 2 * median_)
    {
        record_service(service_time, now);
    }
    return cancel(id, now);
}

queue_changes admission_queue::cancel(std::uint64_t id, time_point now)
{
    const auto waiting = index_.find(id);
    if (waiting != index_.end())
    {
        erase(position{waiting->second});
        return settle(now);
    }
    const auto found = running_.find(id);
    if (found == running_.end())
    {
        return {};
    }
    if (found->second)
    {
        exclusive_running_ = false;
        next_hold_ = now + hold_spacing * (now - *hold_start_);
        hold_start_.reset();
    }
    running_.erase(found);
    return settle(now);
}

queue_changes admission_queue::poll(time_point now)
{
    return settle(now);
}

queue_changes admission_queue::make_normal(std::uint64_t id, time_point now)
{
    const auto found = index_.find(id);
    if (found != index_.end() && found->second.lane == exclusive_lane)
    {
        const position where = found->second;
        waiting_call call = lanes_[where.lane].at(where.order);
        call.exclusive = false;
        erase(where);
        insert(call);
    }
    return settle(now);
}

queue_changes admission_queue::drop_all(refusal_reason reason)
{
    queue_changes changes;
    for (auto& lane : lanes_)
    {
        for (const auto& [order, call] : lane)
        {
            changes.dropped.push_back({call.id, reason});
        }
        lane.clear();
    }
    index_.clear();
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
    result.top_wait = mean(top_wait_sum_us_, top_started_);
    result.mean_service = microseconds{static_cast<std::int64_t>(mean_service_us_)};
    result.wait_target = wait_target();
    result.limit = limit();
    result.waiting = static_cast<std::uint32_t>(index_.size());
    window_ = queue_window{};
    window_.peak_running = static_cast<std::uint32_t>(running_.size());
    wait_sum_us_ = 0;
    top_wait_sum_us_ = 0;
    top_started_ = 0;
    return result;
}

} // namespace fescueridge
