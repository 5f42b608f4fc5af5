#include "fescueridge/overload/quarantine.hpp"

#include <criterion/criterion.h>

using namespace fescueridge;

namespace
{

const fingerprint poison{7};
const fingerprint innocent{8};
constexpr std::int64_t day_ms = 24LL * 3600 * 1000;

bool runs_normally(quarantine_table& table, fingerprint request, std::int64_t now = 1'000)
{
    return std::holds_alternative<run_normally>(table.classify(request, now));
}

bool runs_alone(quarantine_table& table, fingerprint request, std::int64_t now = 1'000)
{
    return std::holds_alternative<run_alone>(table.classify(request, now));
}

bool is_refused(quarantine_table& table, fingerprint request, std::int64_t now = 1'000)
{
    return std::holds_alternative<refuse_quarantined>(table.classify(request, now));
}

bool equal(const quarantine_record& a, const quarantine_record& b)
{
    return a.request == b.request && a.crashes == b.crashes && a.cleared == b.cleared &&
           a.last_attempt_wall_ms == b.last_attempt_wall_ms;
}

} // namespace

// A request that crashed two servers, the second time alone, must be refused before it
// causes a third crash. A request that was only running on the first server must be
// cleared by a completed run.
Test(overload_quarantine, poison_is_refused_and_innocent_is_cleared)
{
    quarantine_table table;
    cr_assert(runs_normally(table, poison));
    table.on_server_crash({poison, innocent}, incarnation{1}, false, 1'000);
    cr_assert(runs_alone(table, poison));
    cr_assert(runs_alone(table, innocent));
    cr_assert_eq(table.on_completed(innocent).size(), 1);
    cr_assert_eq(table.on_completed(innocent).size(), 0);
    cr_assert(runs_normally(table, innocent));
    table.on_server_crash({poison}, incarnation{2}, true, 1'000);
    cr_assert(is_refused(table, poison));
}

// Two nodes may report the same crash, which must count once. Crashes before a completed
// run must not count.
Test(overload_quarantine, counts_distinct_crashes_since_a_completed_run)
{
    quarantine_table table;
    table.on_server_crash({poison}, incarnation{1}, false, 1'000);
    table.on_server_crash({poison}, incarnation{1}, false, 1'000);
    cr_assert(runs_alone(table, poison));
    table.on_completed(poison);
    table.on_server_crash({poison}, incarnation{2}, false, 1'000);
    cr_assert(runs_alone(table, poison));
    table.on_server_crash({poison}, incarnation{3}, false, 1'000);
    cr_assert(is_refused(table, poison));
}

// Nodes receive the same records in different order and sometimes twice. They must reach
// the same decision, so merging must not depend on either.
Test(overload_quarantine, merge_is_commutative_and_idempotent)
{
    quarantine_table source;
    std::vector<quarantine_record> records;
    for (std::uint64_t crash = 1; crash <= 40; ++crash)
    {
        records.push_back(source.on_server_crash({poison}, incarnation{crash * 77 % 41},
                                                 crash % 9 == 0,
                                                 static_cast<std::int64_t>(crash))[0]);
        if (crash % 7 == 0)
        {
            records.push_back(source.on_completed(poison)[0]);
        }
    }
    quarantine_table forward;
    quarantine_table backward;
    for (std::size_t i = 0; i < records.size(); ++i)
    {
        forward.merge(records[i]);
        forward.merge(records[i / 2]);
        backward.merge(records[records.size() - 1 - i]);
    }
    cr_assert(equal(forward.records()[0], backward.records()[0]));
    cr_assert(equal(forward.records()[0], source.records()[0]));
}

// A record must not expire while its request is still attempted, as the request would
// crash further servers. It must expire a day after the last attempt.
Test(overload_quarantine, expires_a_day_after_the_last_attempt)
{
    quarantine_table table;
    table.on_server_crash({poison}, incarnation{1}, false, 1'000);
    table.on_server_crash({poison}, incarnation{2}, false, 1'000);
    cr_assert(is_refused(table, poison, day_ms - 1));
    table.expire(day_ms + 2'000);
    cr_assert(is_refused(table, poison, day_ms + 2'000));
    table.expire(2 * day_ms + 2'000);
    cr_assert(table.records().empty());
    cr_assert(runs_normally(table, poison, 2 * day_ms + 2'000));
}

// Many crashes must not make the table grow without bound. The newest records are kept.
Test(overload_quarantine, table_is_bounded)
{
    quarantine_table table{160};
    for (std::uint64_t i = 0; i < 10'000; ++i)
    {
        table.on_server_crash({fingerprint{i}}, incarnation{i}, false,
                              static_cast<std::int64_t>(i));
    }
    cr_assert_eq(table.records().size(), 160);
    cr_assert(runs_alone(table, fingerprint{9'999}, 10'000));
}
