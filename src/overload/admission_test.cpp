#include "fescueridge/overload/admission.hpp"

#include <criterion/criterion.h>

using namespace fescueridge;

namespace
{

time_point at(int ms)
{
    return time_point{milliseconds{100'000 + ms}};
}

waiting_call call(std::uint64_t id, int rank, int arrival, int timeout = 1'000)
{
    return {id,          priority{static_cast<std::uint8_t>(rank)},
            at(arrival), at(arrival + timeout),
            0,           false,
            false};
}

bool starts(const offer_outcome& result)
{
    return std::holds_alternative<admitted_now>(result.decision);
}

bool waits(const offer_outcome& result)
{
    return std::holds_alternative<queued>(result.decision);
}

} // namespace

// Checks that waiting calls start by priority, and within a priority by arrival.
Test(overload_admission, starts_by_priority_then_arrival)
{
    admission_queue queue{fixed_limit{1}};
    cr_assert(starts(queue.offer(call(1, 5, 0), at(0))));
    cr_assert(waits(queue.offer(call(2, 5, 0), at(0))));
    cr_assert(waits(queue.offer(call(3, 5, 1), at(1))));
    cr_assert(waits(queue.offer(call(4, 0, 2), at(2))));
    std::vector<std::uint64_t> order;
    for (std::uint64_t running = 1; order.size() < 3; running = order.back())
    {
        const auto changes = queue.finish(running, milliseconds{1}, true, at(3));
        cr_assert_eq(changes.started.size(), 1);
        order.push_back(changes.started[0]);
    }
    cr_assert(order == (std::vector<std::uint64_t>{4, 2, 3}));
}

// A resend ranks behind new requests of its priority, even if it arrived first, and is
// dropped first when the queue is full.
Test(overload_admission, resends_wait_for_new_requests)
{
    admission_queue queue{fixed_limit{1}, {overload_goal::goodput, 2}};
    queue.offer(call(1, 5, 0), at(0));
    waiting_call resend = call(2, 5, 0);
    resend.resend = true;
    queue.offer(resend, at(0));
    queue.offer(call(3, 5, 1), at(1));
    const auto full = queue.offer(call(4, 5, 2), at(2));
    cr_assert(full.changes.dropped.size() == 1 && full.changes.dropped[0].id == 2);
    queue.cancel(4, at(2));
    queue.offer(resend, at(2));
    cr_assert_eq(queue.finish(1, milliseconds{1}, true, at(3)).started.at(0), 3);
}

// A full queue drops the newest call of the lowest priority, whether it is queued or just
// offered. Calls of higher priority and older calls stay.
Test(overload_admission, full_queue_drops_newest_of_lowest_priority)
{
    admission_queue queue{fixed_limit{1}, {overload_goal::goodput, 2}};
    queue.offer(call(1, 5, 0), at(0));
    queue.offer(call(2, 7, 0), at(0));
    queue.offer(call(3, 7, 0), at(0));
    const auto better = queue.offer(call(4, 3, 0), at(0));
    cr_assert(waits(better));
    cr_assert_eq(better.changes.dropped.size(), 1);
    cr_assert_eq(better.changes.dropped[0].id, 3);
    const auto worse = queue.offer(call(5, 8, 0), at(0));
    cr_assert(std::holds_alternative<refused>(worse.decision));
    cr_assert(worse.changes.dropped.empty());
}

// Calls whose remaining time is shorter than the median service time would use a slot
// without ending in time, so they are refused or dropped. An idle server still admits
// such a call; otherwise the median could never fall again after a slow period.
Test(overload_admission, drops_calls_that_cannot_meet_their_deadline)
{
    admission_queue queue{fixed_limit{2}};
    queue.offer(call(1, 5, 0), at(0));
    queue.finish(1, milliseconds{50}, true, at(50));
    queue.offer(call(2, 5, 50), at(50));
    queue.offer(call(3, 5, 50), at(50));
    const auto late = queue.offer(call(4, 5, 50, 40), at(50));
    cr_assert(std::get<refused>(late.decision).reason == refusal_reason::deadline);
    cr_assert(waits(queue.offer(call(5, 5, 50, 60), at(50))));
    const auto changes = queue.poll(at(65));
    cr_assert_eq(changes.dropped.size(), 1);
    cr_assert(changes.dropped[0].reason == refusal_reason::deadline);
    queue.cancel(2, at(70));
    queue.cancel(3, at(70));
    cr_assert(starts(queue.offer(call(6, 5, 70, 40), at(70))));
}

// Detects unbounded queueing delay, and a `weigh` setting without effect: the bound is
// 100 ms for goodput and 20 ms for recovery.
Test(overload_admission, bounds_the_queueing_delay)
{
    for (const auto& [goal, bound] :
         {std::pair{overload_goal::goodput, 100}, std::pair{overload_goal::recovery, 20}})
    {
        admission_queue queue{fixed_limit{1}, {goal, 0}};
        queue.offer(call(1, 5, 0), at(0));
        queue.offer(call(2, 5, 0), at(0));
        cr_assert(queue.poll(at(bound)).dropped.empty());
        const auto changes = queue.poll(at(bound + 1));
        cr_assert_eq(changes.dropped.size(), 1);
        cr_assert(changes.dropped[0].reason == refusal_reason::overload);
    }
}

// The lower delay bound of `weigh` = recovery would drop calls of priority 0 in a burst.
// The bound of 100 ms applies to them instead.
Test(overload_admission, recovery_keeps_the_burst_bound_of_priority_0)
{
    admission_queue queue{fixed_limit{1}, {overload_goal::recovery, 0}};
    queue.offer(call(1, 0, 0), at(0));
    queue.offer(call(2, 0, 0), at(0));
    cr_assert(queue.poll(at(100)).dropped.empty());
    cr_assert_eq(queue.poll(at(101)).dropped.size(), 1);
}

// A standing queue adds delay without adding goodput. After calls have arrived faster
// than they start for more than an interval, the delay bound is 5 ms for all priorities
// except 0.
Test(overload_admission, standing_queue_shrinks_to_the_delay_target)
{
    admission_queue queue{fixed_limit{1}};
    queue.offer(call(1, 5, 0), at(0));
    std::uint64_t id = 2;
    for (int ms = 0; ms <= 300; ++ms)
    {
        queue.offer(call(id++, 5, ms), at(ms));
        if (ms % 100 == 0)
        {
            queue.offer(call(id++, 0, ms), at(ms));
        }
        queue.poll(at(ms));
    }
    cr_assert_leq(queue.waiting(), 8, "%zu calls wait, expected at most 8",
                  queue.waiting());
    const auto changes = queue.finish(1, milliseconds{1}, true, at(300));
    cr_assert_eq(queue.running(), 1);
    cr_assert_eq(changes.started.size(), 1);
}

// Calls of high priority that fill all slots would starve lower priorities, so a small
// share of the dispatches starts the oldest waiting call.
Test(overload_admission, lower_priorities_keep_a_share)
{
    admission_queue queue{fixed_limit{1}};
    queue.offer(call(1, 1, 0), at(0));
    std::uint64_t id = 2;
    std::uint64_t running = 1;
    int low_priority_started = 0;
    for (int ms = 0; ms < 4'000; ++ms)
    {
        queue.offer(call(id++, 1, ms), at(ms));
        queue.offer(call(id++, 1, ms), at(ms));
        queue.offer({1'000'000 + id++, priority{9}, at(ms), at(ms + 1'000), 0, false},
                    at(ms));
        const auto changes = queue.finish(running, milliseconds{1}, true, at(ms));
        cr_assert_eq(changes.started.size(), 1);
        running = changes.started[0];
        low_priority_started += running > 1'000'000 ? 1 : 0;
    }
    cr_assert_geq(low_priority_started, 10,
                  "%d calls of low priority started, expected at least 10",
                  low_priority_started);
    cr_assert_leq(low_priority_started, 80,
                  "%d calls of low priority started, expected at most 80",
                  low_priority_started);
}

// A suspected request may crash the server, so no other call runs beside it. Holds for
// exclusive calls are spaced in time, so that other calls do not wait indefinitely.
Test(overload_admission, exclusive_call_runs_alone)
{
    admission_queue queue{fixed_limit{4}};
    queue.offer(call(1, 5, 0), at(0));
    auto suspect = call(2, 5, 0);
    suspect.exclusive = true;
    cr_assert(waits(queue.offer(suspect, at(0))));
    cr_assert(starts(queue.offer(call(3, 5, 0), at(0))) == false);
    cr_assert(queue.finish(1, milliseconds{5}, true, at(5)).started ==
              std::vector<std::uint64_t>{2});
    cr_assert(waits(queue.offer(call(4, 0, 6), at(6))));
    const auto after = queue.finish(2, milliseconds{5}, true, at(10));
    cr_assert_eq(after.started.size(), 2);
    // The next hold for an exclusive call starts after 19 times the length of the first.
    suspect = call(5, 5, 11);
    suspect.exclusive = true;
    queue.offer(suspect, at(11));
    cr_assert(starts(queue.offer(call(6, 5, 12), at(12))));
    cr_assert_eq(queue.make_non_exclusive(5, at(13)).started.size(), 1);
}

// Checks that cancelled and dropped calls leave the queue, and that a call ended twice
// starts no other call. A leftover entry could start a call after its caller gave up.
Test(overload_admission, cancel_and_drop_all_leave_nothing_behind)
{
    admission_queue queue{fixed_limit{1}};
    queue.offer(call(1, 5, 0), at(0));
    queue.offer(call(2, 5, 0), at(0));
    queue.offer(call(3, 5, 0), at(0));
    cr_assert(queue.cancel(2, at(1)).started.empty());
    cr_assert(queue.cancel(1, at(2)).started == std::vector<std::uint64_t>{3});
    queue.offer(call(4, 5, 3), at(3));
    const auto changes = queue.drop_all(refusal_reason::draining);
    cr_assert_eq(changes.dropped.size(), 1);
    cr_assert_eq(queue.waiting(), 0);
    cr_assert(queue.finish(3, milliseconds{1}, true, at(4)).started.empty());
    cr_assert(queue.finish(3, milliseconds{1}, true, at(4)).started.empty());
}

// Detects a wrong dispatch over the limit_policy variant, which would apply the limit of
// another policy.
Test(overload_admission, policies_apply_their_limits)
{
    cr_assert_eq(concurrency_of(adaptive_limit{slot_count{7}}), 7);
    cr_assert_eq(concurrency_of(fixed_limit{0}), 1);
    admission_queue queue{unlimited{}};
    for (std::uint64_t id = 0; id < 500; ++id)
    {
        cr_assert(starts(queue.offer(call(id, 5, 0), at(0))));
    }
}
