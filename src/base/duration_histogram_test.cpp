#include <criterion/criterion.h>

#include "fescueridge/base/duration_histogram.hpp"

using namespace fescueridge;

// Guards against a sample at a bound that counts as over it, and against samples that no
// bucket holds and that the count forgets.
Test(duration_histogram, counts_samples_up_to_each_bound)
{
    duration_histogram histogram;
    for (const int ms : {0, 5, 6, 10'000, 10'001})
        histogram.add(milliseconds(ms));
    const auto buckets = histogram.buckets();
    cr_assert_eq(buckets.front().bound.count(), 5);
    cr_expect_eq(buckets.front().count, 2);
    cr_expect_eq(buckets[1].count, 3);
    cr_expect_eq(buckets.back().bound.count(), 10'000);
    cr_expect_eq(buckets.back().count, 4);
    cr_expect_eq(histogram.count(), 5);
    cr_expect_eq(histogram.sum().count(), 20'012);
}

Test(duration_histogram, is_empty_at_first)
{
    const duration_histogram histogram;
    cr_expect_eq(histogram.buckets().back().count, 0);
    cr_expect_eq(histogram.count(), 0);
}
