#include <criterion/criterion.h>

#include <map>
#include <vector>

#include "fescueridge/base/random.hpp"
#include "fescueridge/gateway/run_queue.hpp"

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

const time_point start{milliseconds{1'000'000}};

/// Kind of client request that makes sequential calls of one server.
struct chain_kind
{
    request_rank rank;
    double starts_per_ms;
    unsigned calls;
    int pause_ms; ///< Local work before each call.
    int timeout_ms;
};

struct chain
{
    const chain_kind* kind;
    time_point deadline;
    time_point next_call;
    unsigned calls_left;
};

struct request_counts
{
    unsigned started = 0;
    unsigned completed = 0;
};

/// Simulates chains of calls at a server with the given number of slots, each call
/// occupying a slot for `slot_ms`.
class chain_load
{
public:
    chain_load(std::uint32_t slots, int slot_ms, std::vector<chain_kind> kinds)
        : queue_(slots), slot_ms_(slot_ms), kinds_(std::move(kinds))
    {
    }

    std::map<request_rank, request_counts> simulate(int duration_ms)
    {
        for (int ms = 0; ms < duration_ms; ++ms)
            step(start + milliseconds{ms});
        return request_counts_;
    }

private:
    void step(time_point now)
    {
        for (const auto number : std::exchange(ends_[now], {}))
            end_call(number, now);
        start_and_drop(queue_.poll(now), now);
        for (const auto& kind : kinds_)
            if (chance_(random_) < kind.starts_per_ms)
                begin(kind, now);
        const auto due = std::exchange(due_[now], {});
        for (const auto& caller : due)
            call(caller, now);
    }

    void begin(const chain_kind& kind, time_point now)
    {
        ++request_counts_[kind.rank].started;
        schedule_call({&kind, now + milliseconds{kind.timeout_ms}, {}, kind.calls}, now);
    }

    void schedule_call(chain caller, time_point now)
    {
        caller.next_call = now + milliseconds{caller.kind->pause_ms};
        due_[caller.next_call].push_back(caller);
    }

    void call(const chain& caller, time_point now)
    {
        run_offer run;
        run.number = run_number(++last_number_);
        run.route = route_name("rates");
        run.deadline = caller.deadline;
        run.target_latency = milliseconds{300};
        run.from_server = true;
        run.rank = caller.kind->rank;
        const auto decision = queue_.offer(run, now);
        if (std::holds_alternative<run_rejected>(decision))
            return;
        calls_.emplace(run.number, caller);
        if (std::holds_alternative<run_started>(decision))
            ends_[now + milliseconds{slot_ms_}].push_back(run.number);
    }

    void end_call(run_number number, time_point now)
    {
        chain caller = calls_.at(number);
        calls_.erase(number);
        start_and_drop(queue_.finish(number, now), now);
        if (now > caller.deadline)
            return;
        if (--caller.calls_left == 0)
            ++request_counts_[caller.kind->rank].completed;
        else
            schedule_call(caller, now);
    }

    void start_and_drop(const dequeued_runs& dequeued, time_point now)
    {
        for (const auto number : dequeued.to_drop)
            calls_.erase(number);
        for (const auto number : dequeued.to_start)
            ends_[now + milliseconds{slot_ms_}].push_back(number);
    }

    run_queue queue_;
    int slot_ms_;
    std::vector<chain_kind> kinds_;
    random_engine random_{3};
    std::uniform_real_distribution<double> chance_{0, 1};
    std::map<run_number, chain> calls_;
    std::map<time_point, std::vector<run_number>> ends_;
    std::map<time_point, std::vector<chain>> due_;
    std::map<request_rank, request_counts> request_counts_;
    std::uint64_t last_number_ = 0;
};

} // namespace

// Guards against priorities that become equal beyond the first ten, and against a route's
// priority that outweighs its tenant's.
Test(run_queue_ranks, starts_requests_in_the_order_of_any_ranks)
{
    const std::vector<request_rank> in_order{
        request_rank(routing_priority(9)),
        request_rank(routing_priority(12)),
        request_rank(routing_priority(40)),
        request_rank(routing_priority(300)),
        request_rank(least_important_priority()),
        {routing_priority(1), routing_priority(2)},
        {routing_priority(12), routing_priority(0)},
    };
    run_queue queue(1);
    run_offer run;
    run.deadline = start + milliseconds{10'000};
    run.target_latency = milliseconds{5'000};
    run.from_server = true;
    queue.offer(run, start);
    for (std::size_t i = in_order.size(); i > 0; --i)
    {
        run.number = run_number(i);
        run.rank = in_order[i - 1];
        queue.offer(run, start);
    }
    run_number running = run_number(0);
    for (std::size_t i = 1; i <= in_order.size(); ++i)
    {
        const auto dequeued = queue.finish(running, start, false);
        cr_assert_eq(dequeued.to_start.size(), 1U);
        running = dequeued.to_start.front();
        cr_expect_eq(running.get(), i);
    }
}

// A server with 27 slots of 22 ms receives 1.4 times its capacity for 6 s: priority 0
// pushes with eight sequential calls in 800 ms, which use 70% of the capacity, and
// priority 2 menus with four calls in 5 s. If all calls waited equally, the eight waits
// would add up and hardly any push would complete in time.
Test(run_queue_ranks, completes_important_requests_under_overload)
{
    constexpr double calls_per_ms = 27.0 / 22;
    const request_rank push{routing_priority(0)};
    const request_rank menu{routing_priority(2)};
    chain_load load(27, 22,
                    {{push, 0.7 * calls_per_ms / 8, 8, 40, 800},
                     {menu, 0.7 * calls_per_ms / 4, 4, 20, 5'000}});
    const auto counts_by_priority = load.simulate(6'000);
    const auto& pushes = counts_by_priority.at(push);
    const auto& menus = counts_by_priority.at(menu);
    // Requests of the last 0.8 s of 6 s may still be in progress.
    cr_expect_gt(pushes.completed, 0.85 * pushes.started, "%u of %u", pushes.completed,
                 pushes.started);
    cr_expect_gt(menus.completed, 0U, "%u of %u", menus.completed, menus.started);
}
