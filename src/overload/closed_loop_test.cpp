#include "closed_loop_test.hpp"

#include <criterion/criterion.h>

using namespace fescueridge;
using namespace fescueridge::test;

namespace
{

simulation_result run_overload(std::uint32_t slots, double service_ms, double load,
                               bool refuse_at_root, std::uint64_t seed)
{
    simulation_settings settings;
    settings.slots = slots;
    settings.service_ms = service_ms;
    settings.refuse_at_root = refuse_at_root;
    settings.seed = seed;
    settings.top_priority_share = 0.3;
    settings.duration_ms = 12'000;
    settings.count_to_ms = 11'000;
    settings.load = [load](std::int64_t)
    {
        return load;
    };
    return closed_loop_simulation(settings).run();
}

std::uint32_t sum(const std::vector<std::uint32_t>& values, std::size_t from,
                  std::size_t count)
{
    std::uint32_t total = 0;
    for (std::size_t i = from; i < from + count; ++i)
    {
        total += values.at(i);
    }
    return total;
}

} // namespace

// Detects empty slots and late or lost answers of priority 0 under overload of 1.5, 3 and
// 10 times the capacity. Runs with and without refusal at the root.
Test(overload_loop, keeps_goodput_and_top_priority_under_overload)
{
    for (const bool refuse_at_root : {true, false})
    {
        for (const double load : {1.5, 3.0, 10.0})
        {
            for (const std::uint64_t seed : {1, 2})
            {
                for (const auto& [slots, service] :
                     {std::pair{25U, 10.0}, std::pair{25U, 40.0}, std::pair{150U, 10.0}})
                {
                    const auto result =
                        run_overload(slots, service, load, refuse_at_root, seed);
                    cr_expect_geq(result.goodput, 0.95,
                                  "goodput %.3f, expected at least 0.95: %u slots, %.0f "
                                  "ms, load %.1f, root %d, "
                                  "seed %d",
                                  result.goodput, slots, service, load,
                                  int{refuse_at_root}, static_cast<int>(seed));
                    cr_expect_geq(result.top_priority_answered, 0.999,
                                  "answered share of priority 0 %.4f, expected at least "
                                  "0.999: %u slots, %.0f ms, load %.1f",
                                  result.top_priority_answered, slots, service, load);
                }
            }
        }
    }
}

// At 0.8 of the capacity the slots suffice. Checks that random bursts cause almost no
// refusals.
Test(overload_loop, refuses_almost_nothing_below_capacity)
{
    const auto result = run_overload(25, 10, 0.8, true, 1);
    cr_assert_geq(result.offered_goodput, 0.999,
                  "answered share %.4f, expected at least 0.999", result.offered_goodput);
}

// A queue or an admission level that persists after a surge prolongs the overload. Both
// are back to normal within a second after a surge of 10 times the capacity.
Test(overload_loop, recovers_within_a_second_after_a_surge)
{
    for (const auto weigh : {overload_goal::goodput, overload_goal::recovery})
    {
        simulation_settings settings;
        settings.weigh = weigh;
        settings.duration_ms = 12'000;
        settings.load = [](std::int64_t t)
        {
            return t >= 4'000 && t < 9'000 ? 10 : 0.8;
        };
        const auto result = closed_loop_simulation(settings).run();
        for (std::size_t i = 1'000; i < result.waiting.size(); ++i)
        {
            cr_expect_leq(result.waiting[i], 25,
                          "%u calls wait at %zu ms, expected at most 25",
                          result.waiting[i], i * 10);
            cr_expect_eq(result.position[i], open_position);
        }
        const double answered = sum(result.answered, 1'000, 100);
        cr_expect_geq(answered, 0.95 * sum(result.offered, 1'000, 100));
    }
}

// When the server becomes 20 times slower, further calls only add to its load, so the
// adaptive limit falls. It returns to all slots once the server is fast again.
Test(overload_loop, limit_falls_for_a_slow_server_and_recovers)
{
    for (const std::uint64_t seed : {1, 2, 3})
    {
        simulation_settings settings;
        settings.seed = seed;
        settings.duration_ms = 15'000;
        settings.load = [](std::int64_t)
        {
            return 0.9;
        };
        settings.slowdown_factor = [](std::int64_t t)
        {
            return t >= 4'000 && t < 10'000 ? 20.0 : 1.0;
        };
        const auto result = closed_loop_simulation(settings).run();
        cr_expect_eq(result.limit.at(390), 25);
        for (std::size_t i = 550; i < 1'000; ++i)
        {
            cr_expect_leq(result.limit[i], 6, "limit %u at %zu ms, expected at most 6",
                          result.limit[i], i * 10);
        }
        cr_expect_eq(result.limit.at(1'200), 25,
                     "limit %u after the recovery, expected 25", result.limit[1'200]);
        const double answered = sum(result.answered, 1'200, 200);
        cr_expect_geq(answered, 0.95 * sum(result.offered, 1'200, 200));
    }
}

// Full use of the slots under constant overload is no slowdown. Detects a limit that
// falls because of random variation of the window means.
Test(overload_loop, limit_stays_when_slots_are_fully_used)
{
    simulation_settings settings;
    settings.duration_ms = 60'000;
    settings.load = [](std::int64_t)
    {
        return 3.0;
    };
    const auto result = closed_loop_simulation(settings).run();
    cr_assert_eq(*std::min_element(result.limit.begin(), result.limit.end()), 25);
}
