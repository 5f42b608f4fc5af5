#include <criterion/criterion.h>

#include "fescueridge/gateway/stop_schedule.hpp"

using namespace fescueridge;
using namespace fescueridge::gateway;

// Guards against a process that ends, or is killed, before it has answered what it read.
Test(stop_schedule, answers_everything_before_the_end_for_any_grace)
{
    constexpr int sixth = 6;
    for (const int grace_ms : {1'000, 3'000, 6'000, 10'000, 60'000})
    {
        const milliseconds grace(grace_ms);
        const auto schedule = stop_schedule::for_grace(grace);
        cr_expect(schedule.reject_clients <= schedule.recall_waiting);
        cr_expect(schedule.recall_waiting < schedule.answer_all);
        cr_expect(schedule.answer_all < schedule.end);
        cr_expect(schedule.end < grace);
        // A server that works on in the last sixth of the grace may be cut off.
        cr_expect(schedule.answer_all >= grace - grace / sixth);
    }
}
