#include "fescueridge/gateway/retry_supply.hpp"

#include <criterion/criterion.h>

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

const service_name tills("tills");
constexpr milliseconds step{300};

time_point record_for(retry_supply& supply, milliseconds time, double per_s,
                      time_point from)
{
    for (const auto end = from + time; from < end; from += step)
        supply.record({{tills, per_s}}, from);
    return from;
}

} // namespace

// A service may begin to turn half of its requests away between two updates. The retries
// have to follow the requests before, from the first update on.
Test(retry_supply, keeps_the_rate_before_from_the_first_update)
{
    retry_supply supply;
    auto now = record_for(supply, milliseconds{15'000}, 900, time_point{step});
    cr_expect_float_eq(supply.counted_per_s(tills, true, now), 900, 90);
    now = record_for(supply, milliseconds{8'000}, 20, now);
    cr_expect_float_eq(supply.counted_per_s(tills, true, now), 900, 90);
    cr_expect_float_eq(supply.counted_per_s(tills, false, now), 20, 1e-9);
    now = record_for(supply, milliseconds{15'000}, 100, now);
    cr_expect_float_eq(supply.counted_per_s(tills, true, now), 100, 10);
}
