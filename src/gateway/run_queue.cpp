#include "fescueridge/gateway/run_queue.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace fescueridge::gateway
{
namespace
{

/// Weight of a new sample in the moving average of slot times: covers about the last 20
/// requests.
constexpr double slot_time_weight = 0.05;

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

double run_queue::slot_ms(const route_name& route) const
{
    const auto found = slot_ms_by_route_.find(route);
    return found == slot_ms_by_route_.end() ? 0 : found->second;
}

double run_queue::expected_slot_ms(const route_name& route) const
{
    const double known = slot_ms(route);
    return known > 0 ? known : slot_ms_;
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
    const double slot_wait_ms = position * slot_ms_ / std::max(1U, limit_);
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
    if (!rate_ || slot_ms_ <= 0)
        return limit_;
    const double running = rate_->rate().get() * slot_ms_ / ms_per_s;
    return std::min(limit_, static_cast<std::uint32_t>(std::ceil(running)));
}

offer_decision run_queue::offer(const run_offer& run, time_point now)
{
    if (now + from_ms(expected_slot_ms(run.route) / 2) >= run.deadline)
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
        now + from_ms(wait_ms + expected_slot_ms(run.route) / 2) >= run.deadline;
    const bool too_long =
        !run.from_server && wait_ms > max_client_wait_share * to_ms(run.target_latency);
    if (limit_ == 0 || ends_late || too_long)
        return run_rejected{};
    const order_key key{run.rank, now + run.target_latency, next_order_++};
    waiting_queue& queue = run.from_server ? calls_ : clients_;
    queue.emplace(key, waiting_run{run, now});
    positions_.emplace(run.number, queue_position{&queue, key});
    return run_queued{};
}

void run_queue::start_run(const run_offer& run, time_point arrival, time_point now)
{
    running_.emplace(run.number, running_run{run.route, now});
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
    if (now + from_ms(expected_slot_ms(run.offer.route) / 2) >= run.offer.deadline)
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
    if (sample && found->second.sampled)
    {
        const double ms = to_ms(now - found->second.since);
        double& route_slot_ms = slot_ms_by_route_[found->second.route];
        route_slot_ms = route_slot_ms > 0
                            ? route_slot_ms + slot_time_weight * (ms - route_slot_ms)
                            : ms;
        slot_ms_ = slot_ms_ > 0 ? slot_ms_ + slot_time_weight * (ms - slot_ms_) : ms;
    }
    running_.erase(found);
    start_waiting(now, dequeued);
    return dequeued;
}

dequeued_runs run_queue::cancel(run_number number, time_point now)
{
    const auto found = positions_.find(number);
    if (found == positions_.end())
        return finish(number, now, false);
    found->second.queue->erase(found->second.key);
    positions_.erase(found);
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
        positions_.erase(it->second.offer.number);
        it = from.erase(it);
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
