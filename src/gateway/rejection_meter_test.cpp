#include "fescueridge/gateway/rejection_meter.hpp"

#include <criterion/criterion.h>

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

const time_point start{milliseconds{100'000}};

} // namespace

// A recovery must show soon although only a few requests are still sent.
Test(rejection_meter, follows_a_recovery_with_few_requests)
{
    rejection_meter meter;
    auto now = start;
    for (int i = 0; i < 400; ++i, now += milliseconds{5})
        meter.record(i % 2 == 0, now);
    cr_expect_float_eq(meter.share(now), 0.5, 0.1);
    for (int i = 0; i < 10; ++i, now += milliseconds{100})
        meter.record(false, now);
    cr_expect_lt(meter.share(now), 0.1);
}

// Without requests nothing shows that the server still turns them away.
Test(rejection_meter, forgets_without_requests)
{
    rejection_meter meter;
    for (int i = 0; i < 100; ++i)
        meter.record(true, start);
    cr_expect_gt(meter.share(start), 0.8);
    cr_expect_eq(meter.share(start + milliseconds{1'500}), 0);
}
