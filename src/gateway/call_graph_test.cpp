#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <vector>

#include "fescueridge/base/random.hpp"
#include "fescueridge/gateway/call_graph.hpp"

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

const route_name push("push");
const route_name sync("sync");
const route_name read("read");
const route_name tariff("tariff");

double calls_per_run_of(const std::vector<call_edge>& edges, const route_name& from,
                        const route_name& to)
{
    for (const auto& edge : edges)
        if (edge.from == from && edge.to == to)
            return edge.calls_per_run;
    return 0;
}

/// A route whose runs call `tariff` at the given ages.
struct run_kind
{
    route_name route;
    double starts_per_ms;
    int duration_ms;
    int timeout_ms;
    std::vector<int> calls_at;
};

/// Timeouts that callers choose for calls of `tariff`: up to `variation` below the
/// longest.
struct call_timeouts
{
    int longest_ms;
    double variation;
};

/// Simulates concurrent runs on one server and returns the estimated calls.
std::vector<call_edge> estimate_load(const std::vector<run_kind>& run_kinds,
                                     const call_timeouts& timeouts, double seconds)
{
    struct run
    {
        run_number number;
        const run_kind* kind;
        int age = 0;
    };
    call_graph_estimator estimator;
    random_engine random(7);
    std::uniform_real_distribution<double> chance(0, 1);
    std::vector<run> runs;
    std::uint64_t last_number = 0;
    for (int ms = 0; ms < seconds * 1000; ++ms)
    {
        for (const auto& kind : run_kinds)
        {
            if (chance(random) >= kind.starts_per_ms)
                continue;
            runs.push_back({run_number(++last_number), &kind, 0});
            estimator.on_run_started(run_number(last_number), kind.route);
        }
        for (auto& caller : runs)
        {
            const auto& calls = caller.kind->calls_at;
            if (std::count(calls.begin(), calls.end(), ++caller.age) == 0)
                continue;
            const double chosen =
                timeouts.longest_ms * (1 - timeouts.variation * chance(random));
            const int left =
                std::min(static_cast<int>(chosen), caller.kind->timeout_ms - caller.age);
            std::vector<possible_parent> running;
            for (const auto& other : runs)
                running.push_back(
                    {other.number, other.kind->route,
                     milliseconds{other.kind->timeout_ms - other.age - left},
                     request_rank(routing_priority(0))});
            estimator.on_call(tariff, milliseconds{left}, running);
        }
        for (const auto& entry : runs)
            if (entry.age >= entry.kind->duration_ms)
                estimator.on_run_ended(entry.number, true);
        runs.erase(std::remove_if(runs.begin(), runs.end(),
                                  [](const run& entry)
                                  { return entry.age >= entry.kind->duration_ms; }),
                   runs.end());
        if (ms % 1000 == 999)
            estimator.decay();
    }
    return estimator.edges();
}

} // namespace

// Calls must be attributed to the right one of several concurrent routes. Without
// matching deadlines, the actual 2 and 1 calls per run were estimated as 4.0 and 0.23,
// and as 2.7 and 0.4 when weighted by run duration.
Test(call_graph, attributes_calls_by_deadline)
{
    const auto edges = estimate_load({{push, 0.027, 330, 800, {20, 150}},
                                      {sync, 0.062, 120, 2500, {15}},
                                      {read, 0.05, 63, 2600, {}}},
                                     {2000, 0}, 5);
    cr_expect_lt(std::abs(calls_per_run_of(edges, push, tariff) - 2), 0.2, "%f",
                 calls_per_run_of(edges, push, tariff));
    cr_expect_lt(std::abs(calls_per_run_of(edges, sync, tariff) - 1), 0.5, "%f",
                 calls_per_run_of(edges, sync, tariff));
}

// Runs that are still in progress or failed before their last calls must not lower the
// estimate: counting them gave five calls per run instead of eight.
Test(call_graph, counts_completed_runs_only)
{
    call_graph_estimator estimator;
    for (std::uint64_t i = 1; i <= 40; ++i)
    {
        const run_number number(i);
        estimator.on_run_started(number, push);
        const int calls = i <= 20 ? 8 : 2;
        for (int n = 0; n < calls; ++n)
            estimator.on_call(
                tariff, milliseconds{300},
                {{number, push, milliseconds{0}, request_rank(routing_priority(0))}});
        if (i <= 30)
            estimator.on_run_ended(number, i <= 20);
    }
    cr_expect_float_eq(calls_per_run_of(estimator.edges(), push, tariff), 8, 1e-9);
}

// Where timeouts vary, nearly every call ends with some run by chance. Runs that make no
// calls must not take over those of the others, or they are refused along with them. The
// calls of the few runs that are short of time show which route makes them.
Test(call_graph, tells_callers_apart_when_timeouts_vary)
{
    const auto edges = estimate_load({{push, 0.09, 240, 1400, {15, 70, 125, 180}},
                                      {push, 0.01, 240, 500, {15, 70, 125, 180}},
                                      {read, 0.01, 260, 2500, {}}},
                                     {700, 0.15}, 8);
    cr_expect_float_eq(calls_per_run_of(edges, push, tariff), 4, 0.4, "%f",
                       calls_per_run_of(edges, push, tariff));
    cr_expect_lt(calls_per_run_of(edges, read, tariff), 0.4, "%f",
                 calls_per_run_of(edges, read, tariff));
}

// Callers may choose a different timeout for each call. Such a call looks as if its
// parent had shortened it, although no run ends with it; calls that were not counted made
// a route look cheap.
Test(call_graph, counts_calls_whose_timeouts_vary)
{
    constexpr int calls_per_run = 4;
    call_graph_estimator estimator;
    for (std::uint64_t i = 1; i <= 40; ++i)
    {
        const possible_parent parent{run_number(i), push, milliseconds{700},
                                     request_rank(routing_priority(0))};
        estimator.on_run_started(parent.number, push);
        for (int n = 0; n < calls_per_run; ++n)
            estimator.on_call(tariff, milliseconds{680 - 25 * n}, {parent});
        estimator.on_run_ended(parent.number, true);
    }
    cr_expect_float_eq(calls_per_run_of(estimator.edges(), push, tariff), calls_per_run,
                       1e-9, "%f", calls_per_run_of(estimator.edges(), push, tariff));
}

// When a deep service runs out of slots, most runs of its callers fail late and hold
// their share of the calls until then. The estimate of the completed ones must not fall,
// or the route looks cheap and too many of its requests are admitted.
Test(call_graph, holds_the_estimate_while_runs_fail)
{
    constexpr std::uint64_t completed_runs = 40;
    constexpr std::uint64_t stuck_runs = 200;
    constexpr int calls_per_run = 4;
    call_graph_estimator estimator;
    for (std::uint64_t i = 1; i <= completed_runs; ++i)
    {
        estimator.on_run_started(run_number(i), push);
        for (int n = 0; n < calls_per_run; ++n)
            estimator.on_call(tariff, milliseconds{300},
                              {{run_number(i), push, milliseconds{90},
                                request_rank(routing_priority(0))}});
        estimator.on_run_ended(run_number(i), true);
    }
    std::uint64_t number = completed_runs;
    std::vector<possible_parent> stuck;
    for (std::uint64_t i = 0; i < stuck_runs; ++i)
    {
        estimator.on_run_started(run_number(++number), push);
        stuck.push_back({run_number(number), push, milliseconds{90},
                         request_rank(routing_priority(0))});
    }
    for (const auto& oldest : std::vector<possible_parent>(stuck))
    {
        estimator.on_run_ended(oldest.number, false);
        stuck.erase(stuck.begin());
        const run_number completed(++number);
        estimator.on_run_started(completed, push);
        stuck.push_back(
            {completed, push, milliseconds{90}, request_rank(routing_priority(0))});
        for (int n = 0; n < calls_per_run; ++n)
            estimator.on_call(tariff, milliseconds{300}, stuck);
        stuck.pop_back();
        estimator.on_run_ended(completed, true);
    }
    cr_expect_float_eq(calls_per_run_of(estimator.edges(), push, tariff), calls_per_run,
                       0.4, "%f", calls_per_run_of(estimator.edges(), push, tariff));
}

// A call queued with the wrong rank delays an important request. It must inherit the
// rank of the run that has the same deadline.
Test(call_graph, returns_the_rank_of_the_parent)
{
    call_graph_estimator estimator;
    const possible_parent slow{run_number(1), sync, milliseconds{900},
                               request_rank(routing_priority(2))};
    const possible_parent urgent{run_number(2), push, milliseconds{0},
                                 request_rank(routing_priority(0))};
    cr_expect(!estimator.on_call(tariff, milliseconds{2'000}, {}).has_value());
    const auto long_call = estimator.on_call(tariff, milliseconds{2'000}, {slow});
    cr_assert(long_call.has_value());
    cr_expect(*long_call == slow.rank);
    const auto shortened_call =
        estimator.on_call(tariff, milliseconds{300}, {slow, urgent});
    cr_assert(shortened_call.has_value());
    cr_expect(*shortened_call == urgent.rank);
}

// An estimated call graph may contain a cycle, which must not remove the costs of deep
// services.
Test(call_graph, sums_costs_along_calls_despite_a_cycle)
{
    const service_name campaigns("campaigns");
    const service_name prices("prices");
    const std::map<route_name, route_cost_input> routes{{push, {{{campaigns, 1}}, 100}},
                                                        {tariff, {{{prices, 1}}, 10}}};
    const std::vector<call_edge> calls{
        {push, push, 0.05}, {push, tariff, 2}, {tariff, push, 0.01}};
    const auto costs = service_costs_of(routes, calls);
    cr_expect_float_eq(costs.at(push).at(campaigns), 100, 1e-9);
    cr_expect_float_eq(costs.at(push).at(prices), 20, 1e-9);
    cr_expect_float_eq(costs.at(tariff).at(prices), 10, 1e-9);
}
