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

// Guards against levels that change on the way, and ranks that overlap between
// priorities.
Test(overload_pressure, levels_and_positions_agree)
{
    for (const std::uint32_t position : {0U, 1U, 1'024U, 5'000U, open_position})
    {
        cr_assert_eq(position_of(level_at(pricing, position)), position);
    }
    cr_assert_lt(rank_of({priority{0}, true}, 1'023), rank_of({priority{1}}, 0));
    cr_assert_eq(root_fraction(root_id{"r"}), root_fraction(root_id{"r"}));
}

// Guards against hedges that take slots of a deeper service which has none to spare, and
// against holding back hedges for a service that the calls do not touch.
Test(overload_pressure, reports_pressure_of_touched_services)
{
    pressure_table table;
    const admission_level open = level_at(menu, open_position);
    const admission_level closed = level_at(pricing, 4 * fraction_count);
    table.observe({open, closed}, at(0));
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

// Guards against roots that a deeper service would refuse, and against refusing roots of
// other paths, or of priority 0, for it.
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
    table.observe({open, closed}, at(0));
    cr_assert(admits(table, 1'000, 0, 1));
    cr_assert(admits(table, 511, 2, 1));
    cr_assert_not(admits(table, 520, 2, 1));
    cr_assert(admits(table, 520, 2, 1, "/b/1"));
    const auto refusal =
        std::get<root_refused>(table.decide(0, {priority{9}}, menu, "/a/2?q=1", at(1)));
    cr_assert(refusal.service == pricing);
    cr_assert_not(refusal.entry);
}

// Guards against a resend that takes the place of a new request of its priority, and
// against one that comes after lower priorities.
Test(overload_pressure, resends_come_after_new_requests)
{
    pressure_table table;
    table.observe({level_at(menu, 9 * fraction_count + 256)}, at(0));
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

// Guards against an age that hides how old a level is.
Test(overload_pressure, levels_have_the_age_of_their_report)
{
    pressure_table table;
    table.observe({level_at(menu, 100)}, at(0));
    table.observe({level_at(menu, 100)}, at(40));
    cr_assert_eq(table.levels(at(100)).at(0).age.count(), 60);
}

// Guards against one server's level that stands for the whole service.
Test(overload_pressure, combines_servers_by_their_replies)
{
    pressure_table table;
    for (int ms = 0; ms < 500; ms += 2)
    {
        table.observe({level_at(menu, ms % 8 == 0 ? 0 : open_position)}, at(ms));
    }
    const double position = position_of(*table.level(menu, at(500)));
    cr_assert_geq(position, 0.65 * open_position, "%.0f", position);
    cr_assert_leq(position, 0.85 * open_position, "%.0f", position);
}

// Guards against levels that hold after the traffic that showed them is gone: half-life
// 250 ms, highest priorities first, and 2% probes once the level is old.
Test(overload_pressure, old_levels_relax_and_are_probed)
{
    pressure_table table;
    table.observe({level_at(menu, 0)}, at(0));
    cr_assert_not(admits(table, 0, 0, 0));
    const auto half = position_of(*table.level(menu, at(300)));
    cr_assert_eq(half, open_position / 2, "%u", half);
    cr_assert(admits(table, 1'023, 0, 300));
    int probes = 0;
    for (int i = 0; i < 1'000; ++i)
    {
        probes += admits(table, 1'000, 9, 120) ? 1 : 0;
    }
    cr_assert_eq(probes, 20, "%d", probes);
    cr_assert(admits(table, 1'023, 9, 3'000));
}

// Guards against failed roots that hide the service which refused them, and against
// services that are kept although the path no longer touches them.
Test(overload_pressure, failed_roots_do_not_lower_weights)
{
    pressure_table table;
    const admission_level open = level_at(menu, open_position);
    const admission_level closed = level_at(pricing, 0);
    table.observe({closed}, at(0));
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

// Guards against a cut of priority 0 while calls of other priorities cause the overload.
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
        queue_window seen;
        seen.started = 60;
        seen.finished = 60;
        seen.waiting = 20;
        seen.limit = 10;
        seen.peak_running = 10;
        seen.dropped[window < 20 ? 9 : 0] = 100;
        level.update(seen, at(window * 50));
        if (window < 20)
        {
            cr_assert_geq(level.position(), top_position);
        }
    }
    cr_assert_lt(level.position(), top_position);
}
