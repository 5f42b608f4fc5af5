#include <criterion/criterion.h>

#include <algorithm>

#include "fescueridge/gateway/admission_plan.hpp"

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

const service_name menu("menu");
const service_name tills("tills");
const route_name browse("browse");
const route_name push("push");
const route_name lookup("lookup");

admission_class class_of(const route_name& route, int rank, bool client_retry = false)
{
    return {route, request_rank(routing_priority(static_cast<std::uint64_t>(rank))),
            client_retry};
}

class_demand make_demand(const route_name& route, int rank, double per_s,
                         service_costs costs, bool client_retry = false)
{
    return {class_of(route, rank, client_retry), per_s, std::move(costs)};
}

/// Surge in which each browse request uses 88 ms of the tills' slot time and each push
/// 176 ms.
std::vector<class_demand> surge_demands()
{
    return {make_demand(browse, 2, 900, {{menu, 100}, {tills, 88}}),
            make_demand(push, 0, 390, {{tills, 176}}),
            make_demand(lookup, 1, 320, {{tills, 36}})};
}

} // namespace

Test(admission_plan, admits_everything_below_the_capacity)
{
    const auto shares =
        admitted_shares(surge_demands(), {{menu, 900'000}, {tills, 200'000}});
    for (const auto& [request_class, share] : shares)
        cr_expect_eq(share, 1, "%s", request_class.route.get().c_str());
}

// Important requests must not be rejected in favour of less important ones that arrive at
// the same time. Capacity has to be allocated strictly by priority.
Test(admission_plan, allocates_capacity_by_priority)
{
    const auto shares =
        admitted_shares(surge_demands(), {{menu, 900'000}, {tills, 108'000}});
    cr_expect_eq(shares.at(class_of(push, 0)), 1);
    cr_expect_eq(shares.at(class_of(lookup, 1)), 1);
    const double left = 108'000 - 390 * 176 - 320 * 36;
    cr_expect_float_eq(shares.at(class_of(browse, 2)), left / (900 * 88), 1e-9);
}

// Guards against priorities that become equal beyond the first ten, and against a route's
// priority that outweighs its tenant's.
Test(admission_plan, allocates_capacity_by_any_priority)
{
    const std::vector<request_rank> in_order{
        request_rank(routing_priority(9)),
        request_rank(routing_priority(12)),
        request_rank(routing_priority(40)),
        request_rank(routing_priority(300)),
        request_rank(least_important_priority()),
        {routing_priority(1), routing_priority(2)},
        {routing_priority(12), routing_priority(0)},
    };
    constexpr double served = 3;
    std::vector<class_demand> demands;
    for (const auto& rank : in_order)
        demands.push_back({{browse, rank, false}, 1, {{menu, 100}}, {}, {}});
    std::reverse(demands.begin(), demands.end());
    const auto shares = admitted_shares(demands, {{menu, served * 100}});
    for (std::size_t i = 0; i < in_order.size(); ++i)
        cr_expect_float_eq(shares.at({browse, in_order[i], false}),
                           static_cast<double>(i) < served ? 1 : 0, 1e-9, "%s",
                           to_string(in_order[i]).c_str());
}

// A route that hardly ever calls the overloaded service, or seems to, must not be refused
// along with those that depend on it.
Test(admission_plan, admits_what_rarely_needs_the_overloaded_service)
{
    auto demands = surge_demands();
    demands.push_back(
        make_demand(route_name("upload"), 2, 80, {{menu, 260}, {tills, 5}}));
    demands.back().need = {{menu, 1}, {tills, 0.1}};
    const auto shares = admitted_shares(demands, {{menu, 900'000}, {tills, 50'000}});
    cr_expect_eq(shares.at(class_of(browse, 2)), 0);
    cr_expect_float_eq(shares.at(class_of(route_name("upload"), 2)), 0.9, 1e-9);
}

// If client retries, whose answers are late already, take the capacity of new requests,
// the rejected new requests become late retries in turn. Within a priority, new requests
// must be admitted first.
Test(admission_plan, admits_new_requests_before_client_retries)
{
    auto demands = surge_demands();
    demands.push_back(make_demand(browse, 2, 600, {{menu, 100}, {tills, 88}}, true));
    demands.push_back(make_demand(push, 0, 100, {{tills, 176}}, true));
    const auto shares = admitted_shares(demands, {{menu, 900'000}, {tills, 150'000}});
    const double left = 150'000 - 490 * 176 - 320 * 36;
    cr_expect_eq(shares.at(class_of(push, 0, true)), 1);
    cr_expect_float_eq(shares.at(class_of(browse, 2)), left / (900 * 88), 1e-9);
    cr_expect_float_eq(shares.at(class_of(browse, 2, true)), 0, 1e-9);
}

// A shortage at one service must not reduce the share of routes that do not use it.
Test(admission_plan, keeps_routes_that_do_not_use_the_overloaded_service)
{
    auto demands = surge_demands();
    const route_name publish("publish");
    demands.push_back(make_demand(publish, 3, 100, {{menu, 60}}));
    const auto shares = admitted_shares(demands, {{menu, 900'000}, {tills, 50'000}});
    cr_expect_eq(shares.at(class_of(publish, 3)), 1);
    cr_expect_eq(shares.at(class_of(browse, 2)), 0);
    cr_expect_lt(shares.at(class_of(push, 0)), 1);
}

// A service that no node reports has no known capacity. Treating it as zero would reject
// every route that uses it; the node beside its server must decide instead.
Test(admission_plan, ignores_unreported_services)
{
    const auto shares = admitted_shares(surge_demands(), {{menu, 900'000}});
    cr_expect_eq(shares.at(class_of(browse, 2)), 1);
}

// Admission must be spread evenly: a share of 0.5 admits every second request instead of
// bursts of ten.
Test(load_shedder, spreads_admissions_evenly)
{
    load_shedder shedder;
    shedder.set_shares({{class_of(browse, 2), 0.5}});
    int admitted = 0;
    int burst_length = 0;
    for (int i = 0; i < 100; ++i)
    {
        const bool now = shedder.admit(class_of(browse, 2));
        admitted += now ? 1 : 0;
        burst_length = now ? burst_length + 1 : 0;
        cr_expect_leq(burst_length, 1);
    }
    cr_expect_eq(admitted, 50);
    cr_expect(shedder.admit(class_of(lookup, 1)));
}

// The correction must not oscillate: one second of long waits may change it by about a
// tenth at most, and it has to rise again after a long overload.
Test(capacity_correction, follows_long_waits_slowly_and_recovers)
{
    capacity_correction correction;
    const double before = correction.factor();
    for (int i = 0; i < 10; ++i)
        correction.update(0.7, 1);
    cr_expect_gt(correction.factor(), 0.88 * before);
    for (int i = 0; i < 1'000; ++i)
        correction.update(0.7, 1);
    const double low = correction.factor();
    cr_expect_geq(low, 0.3);
    for (int i = 0; i < 1'000; ++i)
        correction.update(0, 1);
    cr_expect_gt(correction.factor(), low);
    cr_expect_leq(correction.factor(), 1);
}

// After a short overload the factor fell to 0.6 and took 5 s to recover, rejecting
// callers while slots were free. With free slots it must recover within 2 s.
Test(capacity_correction, recovers_within_seconds_while_slots_are_free)
{
    capacity_correction correction;
    for (int i = 0; i < 40; ++i)
        correction.update(0.7, 1);
    cr_assert_lt(correction.factor(), 0.65);
    for (int i = 0; i < 20; ++i)
        correction.update(0, 0.6);
    cr_expect_geq(correction.factor(), 0.95);
}

namespace
{

/// A deep service turns away this fraction of its requests. Pushes make 8 calls there,
/// browse requests 4, and lookups are its own.
std::vector<class_demand> demands_on_rejecting_tills()
{
    auto demands = surge_demands();
    demands[0].calls = {{menu, 1}, {tills, 4}};
    demands[1].calls = {{tills, 8}};
    demands[2].calls = {{tills, 1}};
    return demands;
}

const service_capacity ample{{menu, 900'000}, {tills, 900'000}};

} // namespace

// A service that turns requests away at random fails every request with many calls: the
// retries have to go to the most important ones, and the others are refused at the entry.
Test(admission_plan, begins_only_what_retries_can_carry_through)
{
    constexpr double retries_per_s = 1'000;
    const auto shares = admitted_shares(demands_on_rejecting_tills(), ample,
                                        {{tills, {0.5, retries_per_s}}});
    const double push_share = shares.at(class_of(push, 0));
    cr_expect_gt(push_share, 0.15);
    cr_expect_leq(push_share * 390 * 8, retries_per_s);
    cr_expect_leq(shares.at(class_of(browse, 2)), 0.05, "no retries are left for it");
    cr_expect_gt(shares.at(class_of(browse, 2)), 0, "the recovery has to be noticed");
    cr_expect_eq(shares.at(class_of(lookup, 1)), 1, "it has a fair chance");
}

// A caller that has come back has no further try: a refusal would be its end, while a
// failed try of an idempotent request costs it nothing.
Test(admission_plan, lets_idempotent_client_retries_try)
{
    auto demands = demands_on_rejecting_tills();
    for (const bool idempotent : {true, false})
    {
        demands.push_back(
            make_demand(idempotent ? browse : push, 3, 100, {{tills, 88}}, true));
        demands.back().calls = {{tills, 8}};
        demands.back().idempotent = idempotent;
    }
    const auto shares = admitted_shares(demands, ample, {{tills, {0.5, 100}}});
    cr_expect_eq(shares.at(class_of(browse, 3, true)), 1);
    cr_expect_leq(shares.at(class_of(push, 3, true)), 0.05);
}

// Few rejections must not hold anything back.
Test(admission_plan, begins_what_has_a_fair_chance)
{
    const auto shares =
        admitted_shares(demands_on_rejecting_tills(), ample, {{tills, {0.1, 0}}});
    for (const auto& [request_class, share] : shares)
        cr_expect_eq(share, 1, "%s", request_class.route.get().c_str());
    cr_expect_float_eq(chance_of({{tills, 2}}, {{tills, {0.5, 0}}}), 0.25, 1e-9);
}

// Where the retries cover everything, everything begins.
Test(admission_plan, begins_everything_with_enough_retries)
{
    const auto shares =
        admitted_shares(demands_on_rejecting_tills(), ample, {{tills, {0.5, 1e6}}});
    for (const auto& [request_class, share] : shares)
        cr_expect_eq(share, 1, "%s", request_class.route.get().c_str());
}
