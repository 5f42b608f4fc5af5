#include <criterion/criterion.h>

#include "fescueridge/gateway/return_detector.hpp"

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

const route_name browse("browse");

} // namespace

// Guards against a client that repeats at once being taken for a new one.
Test(return_detector, knows_a_return_by_the_time_that_is_left)
{
    return_detector detector;
    cr_expect(!detector.is_returned(browse, milliseconds{5'000}));
    cr_expect(detector.is_returned(browse, milliseconds{4'993}));
    cr_expect(detector.is_returned(browse, milliseconds{3'300}));
    cr_expect(!detector.is_returned(browse, milliseconds{5'000}));
    cr_expect(!detector.is_returned(route_name("lookup"), milliseconds{600}));
}

// Guards against one patient client turning all others into returns.
Test(return_detector, goes_by_what_many_clients_state)
{
    return_detector detector;
    for (int i = 0; i < 400; ++i)
        detector.is_returned(browse, milliseconds{i % 25 == 0 ? 9'000 : 5'000});
    cr_expect(!detector.is_returned(browse, milliseconds{5'000}));
    cr_expect(detector.is_returned(browse, milliseconds{4'900}));
}

// Guards against refusing clients whose times all differ.
Test(return_detector, takes_requests_as_new_when_their_times_tell_nothing)
{
    return_detector detector;
    for (int i = 0; i < 400; ++i)
        detector.is_returned(browse, milliseconds{1'000 + 37 * (i % 100)});
    unsigned returned = 0;
    for (int i = 0; i < 100; ++i)
        returned += detector.is_returned(browse, milliseconds{1'000 + 37 * i}) ? 1 : 0;
    cr_expect_eq(returned, 0U);
}
