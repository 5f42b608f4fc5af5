#include <criterion/criterion.h>

#include "fescueridge/base/random.hpp"
#include "fescueridge/gateway/run_queue.hpp"

#include <algorithm>
#include <deque>
#include <map>

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

const time_point start{milliseconds{1'000'000}};

run_offer make_offer(std::uint64_t number, int target_ms, int deadline_ms, time_point now,
                     bool from_server = false)
{
    run_offer run;
    run.number = run_number(number);
    run.route = route_name(from_server ? "call" : "lookup");
    run.deadline = now + milliseconds{deadline_ms};
    run.target_latency = milliseconds{target_ms};
    run.from_server = from_server;
    return run;
}

/// Completes one request after 20 ms, so that the queue has a measured slot time.
void record_slot_time(run_queue& queue)
{
    queue.offer(make_offer(1'000'000, 100, 1'000, start - milliseconds{20}),
                start - milliseconds{20});
    queue.finish(run_number(1'000'000), start);
}

} // namespace

// Some servers never answer a request that they cannot queue, nor any later one on the
// same connection, so a server must never receive more requests than it has slots.
Test(run_queue, never_runs_more_than_the_limit)
{
    run_queue queue(3);
    for (std::uint64_t i = 1; i <= 10; ++i)
        queue.offer(make_offer(i, 300, 700, start, true), start);
    cr_expect_eq(queue.running(), 3U);
    cr_expect_eq(queue.waiting(), 7U);
    const auto dequeued = queue.finish(run_number(1), start + milliseconds{20});
    cr_assert_eq(dequeued.to_start.size(), 1U);
    cr_expect_eq(queue.running(), 3U);
}

// After a pause of the process, each run under way seems to have held its slot for as
// long as the pause. Such a time made the server look too slow to be used, so that it was
// never measured again.
Test(run_queue, ignores_slot_times_that_include_a_pause)
{
    run_queue queue(3);
    record_slot_time(queue);
    queue.offer(make_offer(1, 300, 9'000, start), start);
    queue.skip_samples();
    queue.finish(run_number(1), start + milliseconds{4'000});
    cr_expect_float_eq(queue.slot_ms(), 20, 1e-9);
    queue.offer(make_offer(2, 300, 9'000, start), start + milliseconds{4'000});
    queue.finish(run_number(2), start + milliseconds{4'040});
    cr_expect_gt(queue.slot_ms(), 20);
}

// A lookup with a short target latency must not wait behind calls with longer ones.
Test(run_queue, starts_requests_by_earliest_target)
{
    run_queue queue(1);
    record_slot_time(queue);
    queue.offer(make_offer(1, 300, 700, start, true), start);
    queue.offer(make_offer(2, 300, 700, start, true), start);
    queue.offer(make_offer(3, 150, 600, start), start);
    const auto dequeued = queue.finish(run_number(1), start + milliseconds{20});
    cr_assert_eq(dequeued.to_start.size(), 1U);
    cr_expect_eq(dequeued.to_start[0].get(), 3U);
}

// A client request that cannot start soon must be rejected at once instead of waiting
// until its client gives up, so that another server or a later client retry can serve it.
Test(run_queue, rejects_a_client_request_at_once_when_the_wait_is_too_long)
{
    run_queue queue(1);
    record_slot_time(queue);
    unsigned waiting = 0;
    for (std::uint64_t i = 1; i <= 8; ++i)
    {
        const auto decision = queue.offer(make_offer(i, 150, 600, start), start);
        waiting += std::holds_alternative<run_queued>(decision) ? 1 : 0;
    }
    // A third of 150 ms is two slot times of 20 ms.
    cr_expect_eq(waiting, 2U);
    const auto call = queue.offer(make_offer(10, 150, 600, start, true), start);
    cr_expect(std::holds_alternative<run_queued>(call));
}

// Requests whose callers stop waiting before the answer must not take a slot.
Test(run_queue, drops_requests_that_cannot_complete_in_time)
{
    run_queue queue(1);
    record_slot_time(queue);
    queue.offer(make_offer(1, 300, 700, start, true), start);
    queue.offer(make_offer(2, 300, 100, start, true), start);
    const auto dequeued = queue.poll(start + milliseconds{95});
    cr_assert_eq(dequeued.to_drop.size(), 1U);
    cr_expect_eq(dequeued.to_drop[0].get(), 2U);
    const auto late = queue.offer(make_offer(3, 300, 5, start), start);
    const auto* rejected = std::get_if<run_rejected>(&late);
    cr_assert(rejected);
    cr_expect(rejected->deadline_too_near);
}

// The slot of a cancelled request must be released to the next waiting one.
Test(run_queue, frees_the_slot_of_a_cancelled_request)
{
    run_queue queue(1);
    queue.offer(make_offer(1, 300, 700, start, true), start);
    queue.offer(make_offer(2, 300, 700, start, true), start);
    const auto dequeued = queue.cancel(run_number(1), start);
    cr_assert_eq(dequeued.to_start.size(), 1U);
    cr_expect_eq(dequeued.to_start[0].get(), 2U);
    queue.cancel(run_number(2), start);
    cr_expect_eq(queue.running(), 0U);
}

// Guards against a server that gets more than the rate that it states, by requests of
// clients, by calls or after a pause.
Test(run_queue, starts_no_more_than_the_rate_permits)
{
    constexpr int rate_per_s = 20;
    constexpr int window_ms = 4'000;
    run_queue queue(100);
    queue.set_max_rate(call_rate(rate_per_s), start);
    std::vector<int> starts;
    std::uint64_t last_number = 0;
    for (int ms = 0; ms < 12'000; ms += 10)
    {
        const auto now = start + milliseconds{ms};
        const bool pause = ms > 5'000 && ms < 8'000;
        std::vector<run_number> begun = queue.poll(now).to_start;
        const run_offer run = make_offer(++last_number, 2'000, 5'000, now, ms % 20 == 0);
        if (!pause && std::holds_alternative<run_started>(queue.offer(run, now)))
            begun.push_back(run.number);
        for (const run_number number : begun)
        {
            starts.push_back(ms);
            queue.finish(number, now + milliseconds{5});
        }
    }
    std::size_t most = 0;
    for (auto first = starts.begin(); first != starts.end(); ++first)
    {
        const auto end = std::lower_bound(first, starts.end(), *first + window_ms);
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    cr_expect_leq(most, rate_per_s * window_ms / 1'000 + 2U, "%zu", most);
    cr_expect_geq(starts.size(), 9U * rate_per_s, "%zu", starts.size());
    cr_expect_gt(queue.delayed_by_rate(), 0U);
}

// Guards against a limited server that is reported with all of its slots.
Test(run_queue, reports_the_concurrency_that_the_rate_permits)
{
    run_queue queue(50);
    record_slot_time(queue);
    queue.set_max_rate(call_rate(100), start);
    cr_expect_eq(queue.usable_limit(), 2U);
    // 2^32 requests at 20 ms each, which the type of the limit does not hold.
    queue.set_max_rate(call_rate(214'748'364'800.0), start);
    cr_expect_eq(queue.usable_limit(), 50U);
    queue.set_max_rate(std::nullopt, start);
    cr_expect_eq(queue.usable_limit(), 50U);
}

// A server with 27 slots of 22 ms receives calls at 1.3 times its capacity for 5 s,
// together with lookups that have shorter target latencies. The overload of calls must
// not starve the lookups: most must complete within their target latency.
Test(run_queue, serves_lookups_in_time_beside_an_overload_of_calls)
{
    constexpr int slots = 27;
    constexpr int slot_ms = 22;
    constexpr double calls_per_ms = 1.3 * slots / slot_ms;
    constexpr double lookups_per_ms = 0.06;
    run_queue queue(slots);
    random_engine random(11);
    std::uniform_real_distribution<double> chance(0, 1);
    std::map<std::uint64_t, time_point> arrivals;
    std::map<time_point, std::vector<run_number>> ends;
    std::uint64_t last_number = 0;
    unsigned lookups = 0;
    unsigned lookups_in_time = 0;
    const auto started = [&](run_number number, time_point now)
    {
        ends[now + milliseconds{slot_ms}].push_back(number);
    };
    for (int ms = 0; ms < 5'000; ++ms)
    {
        const auto now = start + milliseconds{ms};
        for (const auto number : ends[now])
        {
            if (const auto lookup = arrivals.find(number.get()); lookup != arrivals.end())
                lookups_in_time += now - lookup->second <= milliseconds{150} ? 1 : 0;
            for (const auto begun : queue.finish(number, now).to_start)
                started(begun, now);
        }
        const auto offer = [&](bool is_call)
        {
            const auto run = is_call ? make_offer(++last_number, 300, 700, now, true)
                                     : make_offer(++last_number, 150, 600, now);
            if (!is_call)
            {
                ++lookups;
                arrivals[last_number] = now;
            }
            if (std::holds_alternative<run_started>(queue.offer(run, now)))
                started(run.number, now);
        };
        for (double left = calls_per_ms; left > 0; --left)
            if (left >= 1 || chance(random) < left)
                offer(true);
        if (chance(random) < lookups_per_ms)
            offer(false);
        for (const auto begun : queue.poll(now).to_start)
            started(begun, now);
    }
    cr_expect_gt(lookups_in_time, lookups * 0.8, "%u of %u", lookups_in_time, lookups);
}

// Placement counts on the work that a server still has to do. It must follow arrivals,
// starts and cancellations, and end at zero.
Test(run_queue, states_the_remaining_work)
{
    run_queue queue(2);
    record_slot_time(queue);
    for (std::uint64_t i = 1; i <= 5; ++i)
        queue.offer(make_offer(i, 3'000, 7'000, start), start);
    const auto later = start + milliseconds{5};
    cr_expect_float_eq(queue.work(later).running_ms, 2 * 15, 1e-9);
    cr_expect_float_eq(queue.work(later).waiting_ms, 3 * 20, 1e-9);
    queue.cancel(run_number(5), later);
    cr_expect_float_eq(queue.work(later).waiting_ms, 2 * 20, 1e-9);
    for (std::uint64_t i = 1; i <= 4; ++i)
        queue.finish(run_number(i), start + milliseconds{20});
    cr_expect_eq(queue.work(later).running_ms, 0);
    cr_expect_eq(queue.work(later).waiting_ms, 0);
}
