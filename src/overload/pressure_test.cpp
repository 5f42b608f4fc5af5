#include "fescueridge/overload/pressure.hpp"

#include <criterion/criterion.h>

using namespace fescueridge;

namespace
{

const service_name menu{"menu"};
const service_name pricing{"pricing"};

time_point at(int ms)
{
    return time_point{milliseconds{100'000 + ms}};
}

bool admits(pressure_table& table, int fraction, int rank, int ms,
            const std::string& path = "/a/1")
{
    const auto decision =
        table.decide(static_cast<std::uint16_t>(fraction),
                     {priority{static_cast<std::uint8_t>(rank)}}, menu, path, at(ms));
    return std::holds_alternative<root_admitted>(decision);
}

} // namespace

// Checks that a level converts back to its original position, that ranks of different
// priorities do not overlap, and that the fraction of a root request is deterministic.
Test(overload_pressure, levels_and_positions_convert_both_ways)
{
    for (const std::uint32_t position : {0U, 1U, 1'024U, 5'000U, open_position})
    {
        cr_assert_eq(position_of(level_at(pricing, position)), position);
    }
    cr_assert_lt(rank_of({priority{0}, true}, 1'023), rank_of({priority{1}}, 0));
    cr_assert_eq(root_fraction(root_id{"r"}), root_fraction(root_id{"r"}));
}

// A downstream service that refuses calls has no spare slots for hedges, so hedging is
// suppressed. The level of a service that the path does not call does not suppress it.
Test(overload_pressure, reports_pressure_of_called_services)
{
    pressure_table table;
    const admission_level open = level_at(menu, open_position);
    const admission_level closed = level_at(pricing, 4 * fraction_count);
    table.observe_levels({open, closed}, at(0));
    for (int i = 0; i < 20; ++i)
    {
        table.observe_root(menu, "/a/x", {open, closed}, true);
        table.observe_root(menu, "/b/x", {open}, true);
    }
    cr_assert(table.under_pressure(menu, "/a/1", at(1)));
    cr_assert_not(table.under_pressure(menu, "/b/1", at(1)));
    cr_assert(table.under_pressure(pricing, "/c", at(1)));
    cr_assert_not(table.under_pressure(menu, "/a/1", at(60'000)));
}

// A root request that a downstream service would refuse is refused at the entry. Paths
// that do not call that service, and priority 0, are still admitted.
Test(overload_pressure, refuses_for_likely_services_only)
{
    pressure_table table;
    const admission_level open = level_at(menu, open_position);
    const admission_level closed = level_at(pricing, 4 * fraction_count + 512);
    for (int i = 0; i < 20; ++i)
    {
        table.observe_root(menu, "/a/x", {open, closed}, true);
        table.observe_root(menu, "/b/x", {open}, true);
    }
    table.observe_levels({open, closed}, at(0));
    cr_assert(admits(table, 1'000, 0, 1));
    cr_assert(admits(table, 511, 2, 1));
    cr_assert_not(admits(table, 520, 2, 1));
    cr_assert(admits(table, 520, 2, 1, "/b/1"));
    const auto refusal =
        std::get<root_refused>(table.decide(0, {priority{9}}, menu, "/a/2?q=1", at(1)));
    cr_assert(refusal.service == pricing);
    cr_assert_not(refusal.by_entry_service);
}

// A resend is refused before a new request of its priority, and admitted before all calls
// of lower priorities.
Test(overload_pressure, resends_rank_after_new_requests)
{
    pressure_table table;
    table.observe_levels({level_at(menu, 9 * fraction_count + 256)}, at(0));
    const auto refused = [&](const root_class& of, std::uint16_t fraction)
    {
        return std::holds_alternative<root_refused>(
            table.decide(fraction, of, menu, "/a", at(1)));
    };
    cr_assert_not(refused({priority{3}, true}, 1'000));
    cr_assert_not(refused({priority{4}, false}, 1'000));
    cr_assert_not(refused({priority{4}, true}, 200));
    cr_assert(refused({priority{4}, true}, 300));
    cr_assert(refused({priority{5}, false}, 0));
}

// The operator port shows the age of each level: the time since the last report, although
// older reports are part of the average.
Test(overload_pressure, reported_age_is_the_age_of_the_last_report)
{
    pressure_table table;
    table.observe_levels({level_at(menu, 100)}, at(0));
    table.observe_levels({level_at(menu, 100)}, at(40));
    cr_assert_eq(table.levels(at(100)).at(0).age.count(), 60);
}

// Servers of one service may report different levels. The result is their average
// weighted by replies instead of the level of the last server.
Test(overload_pressure, averages_servers_by_their_replies)
{
    pressure_table table;
    for (int ms = 0; ms < 500; ms += 2)
    {
        table.observe_levels({level_at(menu, ms % 8 == 0 ? 0 : open_position)}, at(ms));
    }
    const double position = position_of(*table.level(menu, at(500)));
    cr_assert_geq(position, 0.65 * open_position,
                  "average position %.0f, expected at least 0.65 of open_position",
                  position);
    cr_assert_leq(position, 0.85 * open_position,
                  "average position %.0f, expected at most 0.85 of open_position",
                  position);
}

// Without traffic no reply updates a level, so a low level would refuse calls forever. It
// decays with a half-life of 250 ms, highest priorities first, and 2% of the refused root
// requests pass as probes once the level is outdated.
Test(overload_pressure, outdated_levels_decay_and_are_probed)
{
    pressure_table table;
    table.observe_levels({level_at(menu, 0)}, at(0));
    cr_assert_not(admits(table, 0, 0, 0));
    const auto half = position_of(*table.level(menu, at(300)));
    cr_assert_eq(half, open_position / 2,
                 "position %u after one half-life, expected half of open_position", half);
    cr_assert(admits(table, 1'023, 0, 300));
    int probes = 0;
    for (int i = 0; i < 1'000; ++i)
    {
        probes += admits(table, 1'000, 9, 120) ? 1 : 0;
    }
    cr_assert_eq(probes, 20, "%d of 1000 root requests were probes, expected 20", probes);
    cr_assert(admits(table, 1'023, 9, 3'000));
}

// A failed root request may have ended before it called all its services, so it does not
// lower the weight of the service that refused it. Complete answers do, when the path no
// longer calls the service.
Test(overload_pressure, failed_roots_do_not_lower_weights)
{
    pressure_table table;
    const admission_level open = level_at(menu, open_position);
    const admission_level closed = level_at(pricing, 0);
    table.observe_levels({closed}, at(0));
    for (int i = 0; i < 20; ++i)
    {
        table.observe_root(menu, "/a", {open, closed}, true);
    }
    for (int i = 0; i < 200; ++i)
    {
        table.observe_root(menu, "/a", {open}, false);
    }
    cr_assert_not(admits(table, 5, 5, 1));
    for (int i = 0; i < 200; ++i)
    {
        table.observe_root(menu, "/a", {open}, true);
    }
    cr_assert(admits(table, 5, 5, 1));
}

// The level refuses calls of priority 0 only when calls of priority 0 themselves are
// dropped, and not because of drops of other priorities.
Test(overload_pressure, priority_0_is_cut_last)
{
    level_controller level{pricing};
    for (int window = 0; window < 40; ++window)
    {
        for (int i = 0; i < 100; ++i)
        {
            level.admit({priority{0}}, static_cast<std::uint16_t>(i * 10));
            level.admit({priority{9}}, static_cast<std::uint16_t>(i * 10));
        }
        queue_window statistics;
        statistics.started = 60;
        statistics.finished = 60;
        statistics.waiting = 20;
        statistics.limit = 10;
        statistics.peak_running = 10;
        statistics.dropped[window < 20 ? 9 : 0] = 100;
        level.update(statistics, at(window * 50));
        if (window < 20)
        {
            cr_assert_geq(level.position(), top_priority_position);
        }
    }
    cr_assert_lt(level.position(), top_priority_position);
}
