#include <criterion/criterion.h>
#include <map>

#include "fescueridge/gateway/placement.hpp"

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

placement_candidate candidate(const std::string& node, distance from,
                              std::uint32_t running, double service_ms = 20)
{
    placement_candidate made;
    made.node = node_id(node);
    made.from = from;
    made.load = {running, 0};
    made.limit = 27;
    made.service_ms = service_ms;
    return made;
}

constexpr milliseconds short_target{60};
constexpr milliseconds long_target{1'500};

std::map<std::string, int> choose_often(const std::vector<placement_candidate>& from,
                                        milliseconds target_latency = short_target)
{
    random_engine random(3);
    std::map<std::string, int> chosen;
    for (int i = 0; i < 1'000; ++i)
        ++chosen[choose_server(from, target_latency, random)->get()];
    return chosen;
}

} // namespace

Test(placement, finds_nothing_without_candidates)
{
    random_engine random(1);
    cr_expect(!choose_server({}, short_target, random));
}

// A local server with spare slots must be preferred to an idle one in another failure
// domain, to avoid needless traffic between domains.
Test(placement, stays_in_the_own_domain_while_it_has_slots_to_spare)
{
    const auto chosen = choose_often({candidate("near", distance::same_domain, 10),
                                      candidate("far", distance::other_domain, 0)});
    cr_expect_eq(chosen.count("far"), 0U);
}

// Servers of one service differ threefold in speed. With a target latency far above both
// times, the faster remote server gains nothing and must not be used; with a short target
// it must.
Test(placement, leaves_a_slow_server_nearby_only_when_its_time_matters)
{
    const std::vector<placement_candidate> from{
        candidate("near", distance::same_domain, 10, 150),
        candidate("far", distance::other_domain, 0, 50)};
    cr_expect_eq(choose_often(from, long_target).count("far"), 0U);
    cr_expect_eq(choose_often(from, milliseconds{300}).count("near"), 0U);
}

// Long target latencies must not keep requests on a local server that a fault has slowed
// down, that fails them, or that is full.
Test(placement, leaves_a_faulty_server_nearby_whatever_the_target)
{
    const auto far = candidate("far", distance::other_domain, 0, 50);
    const auto slowed = candidate("near", distance::same_domain, 10, 400);
    cr_expect_eq(choose_often({slowed, far}, long_target).count("near"), 0U);
    auto failing = candidate("near", distance::same_domain, 10, 50);
    failing.failure_share = 0.3;
    cr_expect_eq(choose_often({failing, far}, long_target).count("near"), 0U);
    auto crowded = candidate("near", distance::same_domain, 26, 150);
    cr_expect_eq(choose_often({crowded, far}, long_target).count("near"), 0U);
}

// Requests must not queue at a full local server while a remote one has free slots.
Test(placement, leaves_the_own_domain_when_it_is_full)
{
    auto full = candidate("near", distance::same_domain, 27);
    full.load.waiting = 20;
    auto chosen = choose_often({full, candidate("far", distance::other_domain, 5)});
    cr_expect_gt(chosen["far"], 900);
}

// When all servers are nearly full, the faster one must receive more requests.
Test(placement, prefers_the_faster_server_under_load)
{
    auto chosen = choose_often({candidate("slow", distance::same_domain, 26, 45),
                                candidate("fast", distance::same_domain, 26, 15),
                                candidate("far", distance::other_domain, 26, 15)});
    cr_expect_gt(chosen["fast"], chosen["slow"]);
}

// A server that fails quickly looks cheap by latency alone. Its failures must count, so
// that it does not attract requests.
Test(placement, avoids_a_server_that_fails_requests)
{
    auto failing = candidate("failing", distance::same_domain, 0, 5);
    failing.failure_share = 0.5;
    auto chosen =
        choose_often({failing, candidate("sound", distance::same_domain, 5, 20)});
    cr_expect_gt(chosen["sound"], 700);
}
