#include "fescueridge/overload/recent_refusals.hpp"

#include <criterion/criterion.h>

using namespace fescueridge;

namespace
{

const caller_name tablet{"tablet"};
const caller_name app{"app"};

time_point at(int ms)
{
    return time_point{milliseconds{100'000 + ms}};
}

} // namespace

// Several clients may send equal new requests. Each refusal marks only one of them as a
// resend.
Test(overload_recent_refusals, one_refusal_matches_one_resend)
{
    recent_refusals refusals;
    refusals.add(tablet, fingerprint(1), at(0));
    refusals.add(tablet, fingerprint(1), at(10));
    cr_assert(refusals.match(tablet, fingerprint(1), at(20)));
    cr_assert(refusals.match(tablet, fingerprint(1), at(20)));
    cr_assert_not(refusals.match(tablet, fingerprint(1), at(20)));
}

// The refusal of a request does not lower the rank of requests of other callers, or of
// other requests.
Test(overload_recent_refusals, only_same_caller_and_request_match)
{
    recent_refusals refusals;
    refusals.add(tablet, fingerprint(1), at(0));
    cr_assert_not(refusals.match(app, fingerprint(1), at(1)));
    cr_assert_not(refusals.match(tablet, fingerprint(2), at(1)));
}

// A refusal more than 2 s ago is not matched. When a matched refusal expires, later
// unmatched ones of the same request stay.
Test(overload_recent_refusals, refusals_expire_after_two_seconds)
{
    recent_refusals refusals;
    refusals.add(tablet, fingerprint(1), at(0));
    refusals.add(tablet, fingerprint(1), at(1'000));
    cr_assert(refusals.match(tablet, fingerprint(1), at(1'500)));
    cr_assert(refusals.match(tablet, fingerprint(1), at(2'999)));
    refusals.add(tablet, fingerprint(1), at(3'000));
    cr_assert_not(refusals.match(tablet, fingerprint(1), at(5'000)));
    cr_assert_eq(refusals.size(), 0);
}

// A flood of refusals does not exceed the capacity, and new refusals are still recorded
// when it is reached.
Test(overload_recent_refusals, memory_is_bounded)
{
    recent_refusals refusals(160);
    for (std::uint64_t i = 0; i < 10'000; ++i)
    {
        refusals.add(tablet, fingerprint(i), at(0));
        cr_assert(refusals.match(tablet, fingerprint(i), at(0)));
        cr_assert_leq(refusals.size(), 160);
    }
}
