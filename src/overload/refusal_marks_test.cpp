#include "fescueridge/overload/refusal_marks.hpp"

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

// Guards against equal new requests that all count as resends after one refusal.
Test(overload_refusal_marks, one_refusal_marks_one_resend)
{
    refusal_marks marks;
    marks.add(tablet, fingerprint(1), at(0));
    marks.add(tablet, fingerprint(1), at(10));
    cr_assert(marks.take(tablet, fingerprint(1), at(20)));
    cr_assert(marks.take(tablet, fingerprint(1), at(20)));
    cr_assert_not(marks.take(tablet, fingerprint(1), at(20)));
}

// Guards against the refusal of one caller or request that ranks down another.
Test(overload_refusal_marks, only_same_caller_and_request_match)
{
    refusal_marks marks;
    marks.add(tablet, fingerprint(1), at(0));
    cr_assert_not(marks.take(app, fingerprint(1), at(1)));
    cr_assert_not(marks.take(tablet, fingerprint(2), at(1)));
}

// Guards against requests that count as resends of a refusal long ago, and against taken
// marks that expire in the place of later ones.
Test(overload_refusal_marks, marks_end_after_two_seconds)
{
    refusal_marks marks;
    marks.add(tablet, fingerprint(1), at(0));
    marks.add(tablet, fingerprint(1), at(1'000));
    cr_assert(marks.take(tablet, fingerprint(1), at(1'500)));
    cr_assert(marks.take(tablet, fingerprint(1), at(2'999)));
    marks.add(tablet, fingerprint(1), at(3'000));
    cr_assert_not(marks.take(tablet, fingerprint(1), at(5'000)));
    cr_assert_eq(marks.size(), 0);
}

// Guards against refusals that fill the memory, and against new marks that are lost when
// it is full.
Test(overload_refusal_marks, memory_is_bounded)
{
    refusal_marks marks(160);
    for (std::uint64_t i = 0; i < 10'000; ++i)
    {
        marks.add(tablet, fingerprint(i), at(0));
        cr_assert(marks.take(tablet, fingerprint(i), at(0)));
        cr_assert_leq(marks.size(), 160);
    }
}
