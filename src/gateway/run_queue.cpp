#include "fescueridge/gateway/run_queue.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace fescueridge::gateway
{
namespace
{

/// Weight of a new sample in the moving average of waits: covers about the last 50
/// starts.
constexpr double wait_weight = 0.02;

/// Time after which the average wait is halved while no request starts.
constexpr double wait_half_life_ms = 200;

/// Maximum wait of a client request for a slot, as a fraction of its target latency. The
/// rest is needed for another server or a later client retry.
constexpr double max_client_wait_share = 1.0 / 3;

constexpr double ms_per_s = 1'000;

double to_ms(clock::duration time)
{
    return static_cast<double>(time.count());
}

milliseconds from_ms(double ms)
{
    return milliseconds(static_cast<std::int64_t>(ms));
}

} // namespace

double run_queue::expected_slot_ms(const run_offer& run) const
{
    return costs_.expected_ms(run.route, run.size);
}

// Mean over the waiting requests: they may differ from those that were completed of late.
double run_queue::mean_waiting_ms() const
{
    return waiting() == 0 ? costs_.mean_ms() : waiting_ms_ / waiting();
}

void run_queue::forget_waiting(const waiting_run& run)
{
    // Rounding must not add up.
    waiting_ms_ = waiting() == 0 ? 0 : waiting_ms_ - run.expected_ms;
}

remaining_work run_queue::work(time_point now) const
{
    remaining_work result;
    for (const auto& [number, run] : running_)
        result.running_ms +=
            costs_.remaining_ms(run.route, run.size, to_ms(now - run.since));
    result.waiting_ms = waiting_ms_;
    return result;
}

double run_queue::wait_share(time_point now) const
{
    const double idle_ms = to_ms(now - last_wait_sample_);
    return wait_share_ / (1 + std::max(0.0, idle_ms) / wait_half_life_ms);
}

double run_queue::expected_wait_ms(const run_offer& run, time_point now) const
{
    const order_key key{run.rank, now + run.target_latency, next_order_};
    const waiting_queue& own = run.from_server ? calls_ : clients_;
    const waiting_queue& other = run.from_server ? clients_ : calls_;
    const auto before =
        static_cast<std::size_t>(std::distance(own.begin(), own.lower_bound(key)));
    const auto ahead = before + std::min(before + 1, other.size());
    const auto position = static_cast<double>(ahead + 1);
    const double slot_wait_ms = position * mean_waiting_ms() / std::max(1U, limit_);
    return rate_ ? std::max(slot_wait_ms, position * ms_per_s / rate_->rate().get())
                 : slot_wait_ms;
}

bool run_queue::rate_permits_start(time_point now)
{
    return !rate_ || rate_->has_token(now);
}

std::optional<call_rate> run_queue::max_rate() const
{
    return rate_ ? std::optional<call_rate>(rate_->rate()) : std::nullopt;
}

std::uint32_t run_queue::usable_limit() const
{
    if (!rate_ || slot_ms() <= 0)
        return limit_;
    const double running = rate_->rate().get() * slot_ms() / ms_per_s;
    return running < limit_ ? static_cast<std::uint32_t>(std::ceil(running)) : limit_;
}

offer_decision run_queue::offer(const run_offer& run, time_point now)
{
    if (now + from_ms(expected_slot_ms(run) / 2) >= run.deadline)
        return run_rejected{true};
    if (running_.size() < limit_ && waiting() == 0)
    {
        if (rate_permits_start(now))
        {
            start_run(run, now, now);
            return run_started{};
        }
        ++delayed_by_rate_;
    }
    const double wait_ms = expected_wait_ms(run, now);
    const bool ends_late =
        now + from_ms(wait_ms + expected_slot_ms(run) / 2) >= run.deadline;
    const bool too_long =
        !run.from_server && wait_ms > max_client_wait_share * to_ms(run.target_latency);
    if (limit_ == 0 || ends_late || too_long)
        return run_rejected{};
    const order_key key{run.rank, now + run.target_latency, next_order_++};
    waiting_queue& queue = run.from_server ? calls_ : clients_;
    const double expected_ms = expected_slot_ms(run);
    queue.emplace(key, waiting_run{run, now, expected_ms});
    waiting_ms_ += expected_ms;
    positions_.emplace(run.number, queue_position{&queue, key});
    return run_queued{};
}

void run_queue::start_run(const run_offer& run, time_point arrival, time_point now)
{
    running_.emplace(run.number, running_run{run.route, run.size, now});
    if (rate_)
        rate_->try_take(now);
    record_wait(run, arrival, now);
}

void run_queue::record_wait(const run_offer& run, time_point arrival, time_point now)
{
    const double target_ms = std::max(1.0, to_ms(run.target_latency));
    wait_share_ = wait_share(now) * (1 - wait_weight) +
                  to_ms(now - arrival) / target_ms * wait_weight;
    last_wait_sample_ = now;
}

bool run_queue::is_expired(const waiting_run& run, time_point now) const
{
    if (now + from_ms(expected_slot_ms(run.offer) / 2) >= run.offer.deadline)
        return true;
    // Twice the limit of offer(), because the actual wait may exceed the expected one.
    const double max_wait_ms =
        2 * max_client_wait_share * to_ms(run.offer.target_latency);
    return !run.offer.from_server && to_ms(now - run.arrival) > max_wait_ms;
}

void run_queue::start_waiting(time_point now, dequeued_runs& dequeued)
{
    while (running_.size() < limit_ && waiting() > 0 && rate_permits_start(now))
    {
        const auto next = pop_next();
        if (is_expired(next, now))
        {
            dequeued.to_drop.push_back(next.offer.number);
            continue;
        }
        start_run(next.offer, next.arrival, now);
        dequeued.to_start.push_back(next.offer.number);
    }
}

run_queue::waiting_run run_queue::pop_next()
{
    const bool client = calls_.empty() || (client_is_next_ && !clients_.empty());
    client_is_next_ = !client;
    waiting_queue& from = client ? clients_ : calls_;
    const auto first = from.begin();
    auto next = std::move(first->second);
    from.erase(first);
    positions_.erase(next.offer.number);
    forget_waiting(next);
    return next;
}

void run_queue::skip_samples()
{
    for (auto& [number, run] : running_)
        run.sampled = false;
}

dequeued_runs run_queue::finish(run_number number, time_point now, bool sample)
{
    dequeued_runs dequeued;
    const auto found = running_.find(number);
    if (found == running_.end())
        return dequeued;
    const running_run& ended = found->second;
    if (sample && ended.sampled)
        costs_.record(ended.route, ended.size, to_ms(now - ended.since), now);
    running_.erase(found);
    start_waiting(now, dequeued);
    return dequeued;
}

dequeued_runs run_queue::cancel(run_number number, time_point now)
{
    const auto found = positions_.find(number);
    if (found == positions_.end())
        return finish(number, now, false);
    const auto entry = found->second.queue->find(found->second.key);
    const auto cancelled = entry->second;
    found->second.queue->erase(entry);
    positions_.erase(found);
    forget_waiting(cancelled);
    return {};
}

dequeued_runs run_queue::poll(time_point now)
{
    dequeued_runs dequeued;
    drop_expired(clients_, now, dequeued);
    drop_expired(calls_, now, dequeued);
    start_waiting(now, dequeued);
    return dequeued;
}

void run_queue::drop_expired(waiting_queue& from, time_point now, dequeued_runs& dequeued)
{
    for (auto it = from.begin(); it != from.end();)
    {
        if (!is_expired(it->second, now))
        {
            ++it;
            continue;
        }
        record_wait(it->second.offer, it->second.arrival, now);
        dequeued.to_drop.push_back(it->second.offer.number);
        const auto expired = it->second;
        positions_.erase(expired.offer.number);
        it = from.erase(it);
        forget_waiting(expired);
    }
}

std::vector<run_number> run_queue::drop_waiting()
{
    std::vector<run_number> dropped;
    for (const waiting_queue* queue : {&clients_, &calls_})
        for (const auto& [key, run] : *queue)
            dropped.push_back(run.offer.number);
    clients_.clear();
    calls_.clear();
    waiting_ms_ = 0;
    positions_.clear();
    return dropped;
}

dequeued_runs run_queue::set_max_rate(std::optional<call_rate> rate, time_point now)
{
    if (!rate)
        rate_.reset();
    else if (rate_)
        rate_->set_rate(*rate, now);
    else
        rate_.emplace(*rate, now);
    dequeued_runs dequeued;
    start_waiting(now, dequeued);
    return dequeued;
}

dequeued_runs run_queue::set_limit(std::uint32_t limit, time_point now)
{
    limit_ = limit;
    dequeued_runs dequeued;
    start_waiting(now, dequeued);
    return dequeued;
}

} // namespace fescueridge::gateway
