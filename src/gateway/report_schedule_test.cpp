#include <criterion/criterion.h>

#include "fescueridge/gateway/report_schedule.hpp"

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

const time_point start{milliseconds{1'000'000}};

struct report_counts
{
    unsigned reports = 0;
    unsigned with_learned = 0;
};

report_counts count_reports(std::size_t peers, milliseconds from, milliseconds to)
{
    report_schedule schedule(start);
    report_counts result;
    for (milliseconds at{0}; at < to; at += milliseconds{50})
    {
        const auto due = schedule.poll(start + at, peers);
        if (!due || at < from)
            continue;
        ++result.reports;
        result.with_learned += due->with_learned ? 1 : 0;
    }
    return result;
}

} // namespace

Test(report_schedule, reports_four_times_a_second_in_a_small_fleet)
{
    const auto reports_per_10_s =
        count_reports(16, milliseconds{20'000}, milliseconds{30'000});
    cr_expect_eq(reports_per_10_s.reports, 40U);
    cr_expect_eq(reports_per_10_s.with_learned, 10U);
}

// The interval grows with the number of nodes, since report traffic otherwise grows with
// its square. It is capped, so that one lost report does not make the node's data expire
// (after 1.5 s).
Test(report_schedule, reports_more_rarely_in_a_large_fleet)
{
    const auto reports_per_10_s =
        count_reports(72, milliseconds{20'000}, milliseconds{30'000});
    cr_expect_leq(reports_per_10_s.reports, 15U);
    cr_expect_eq(count_reports(1'000, milliseconds{20'000}, milliseconds{30'000}).reports,
                 reports_per_10_s.reports);
}

Test(report_schedule, includes_estimates_in_all_reports_after_the_start)
{
    const auto first = count_reports(16, milliseconds{0}, milliseconds{10'000});
    cr_expect_eq(first.with_learned, first.reports);
}
