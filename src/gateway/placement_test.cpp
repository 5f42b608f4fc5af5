#include <criterion/criterion.h>
#include <map>

#include "fescueridge/gateway/placement.hpp"

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

placement_candidate make_candidate(const std::string& node, distance from,
                                   std::uint32_t running, double service_ms = 20)
{
    placement_candidate candidate;
    candidate.node = node_id(node);
    candidate.node_distance = from;
    candidate.load = {running, 0};
    candidate.limit = 27;
    candidate.service_ms = service_ms;
    return candidate;
}

constexpr milliseconds short_target{60};
constexpr milliseconds long_target{1'500};

std::map<std::string, int> count_choices(const std::vector<placement_candidate>& from,
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
Test(placement, prefers_the_own_domain_with_spare_slots)
{
    const auto chosen = count_choices({make_candidate("near", distance::same_domain, 10),
                                       make_candidate("far", distance::other_domain, 0)});
    cr_expect_eq(chosen.count("far"), 0U);
}

// A server that has just joined has no measured time. It must get requests although a
// fast server nearby has slots to spare.
Test(placement, uses_a_server_of_unknown_speed)
{
    auto chosen = count_choices({make_candidate("fast", distance::same_domain, 3, 20),
                                 make_candidate("new", distance::same_domain, 0, 0),
                                 make_candidate("slow", distance::other_domain, 3, 60)});
    cr_expect_gt(chosen["new"], 100);
}

// Servers of one service differ threefold in speed. With a target latency far above both
// times, the faster remote server gains nothing and must not be used; with a short target
// it must.
Test(placement, leaves_a_slow_local_server_only_for_short_targets)
{
    const std::vector<placement_candidate> from{
        make_candidate("near", distance::same_domain, 10, 150),
        make_candidate("far", distance::other_domain, 0, 50)};
    cr_expect_eq(count_choices(from, long_target).count("far"), 0U);
    cr_expect_eq(count_choices(from, milliseconds{300}).count("near"), 0U);
}

// Long target latencies must not keep requests on a local server that a fault has slowed
// down, that fails them, or that is full.
Test(placement, leaves_a_faulty_local_server_for_any_target)
{
    const auto far = make_candidate("far", distance::other_domain, 0, 50);
    const auto slowed = make_candidate("near", distance::same_domain, 10, 400);
    cr_expect_eq(count_choices({slowed, far}, long_target).count("near"), 0U);
    auto failing = make_candidate("near", distance::same_domain, 10, 50);
    failing.failure_rate = 0.3;
    cr_expect_eq(count_choices({failing, far}, long_target).count("near"), 0U);
    auto full = make_candidate("near", distance::same_domain, 26, 150);
    cr_expect_eq(count_choices({full, far}, long_target).count("near"), 0U);
}

// Requests must not queue at a full local server while a remote one has free slots.
Test(placement, leaves_the_own_domain_when_it_is_full)
{
    auto full = make_candidate("near", distance::same_domain, 27);
    full.load.waiting = 20;
    auto chosen = count_choices({full, make_candidate("far", distance::other_domain, 5)});
    cr_expect_gt(chosen["far"], 900);
}

// When all servers are nearly full, the faster one must receive more requests.
Test(placement, prefers_the_faster_server_under_load)
{
    auto chosen = count_choices({make_candidate("slow", distance::same_domain, 26, 45),
                                 make_candidate("fast", distance::same_domain, 26, 15),
                                 make_candidate("far", distance::other_domain, 26, 15)});
    cr_expect_gt(chosen["fast"], chosen["slow"]);
}

// A server that fails quickly looks cheap by latency alone. Its failures must count, so
// that it does not attract requests.
Test(placement, avoids_a_server_that_fails_requests)
{
    auto failing = make_candidate("failing", distance::same_domain, 0, 5);
    failing.failure_rate = 0.5;
    auto chosen =
        count_choices({failing, make_candidate("sound", distance::same_domain, 5, 20)});
    cr_expect_gt(chosen["sound"], 700);
}

// Two full servers with as many requests each: the one whose requests are short is free
// sooner and must get more of what comes.
Test(placement, prefers_less_remaining_work_among_full_servers)
{
    auto long_work = make_candidate("long", distance::same_domain, 27);
    long_work.load.waiting = 10;
    long_work.running_work_ms = 27 * 300;
    long_work.waiting_work_ms = 10 * 400;
    auto short_work = make_candidate("short", distance::same_domain, 27);
    short_work.load.waiting = 12;
    short_work.running_work_ms = 27 * 10;
    short_work.waiting_work_ms = 12 * 20;
    cr_expect_lt(placement_cost(short_work, 20), placement_cost(long_work, 20));
    auto chosen = count_choices({long_work, short_work});
    cr_expect_gt(chosen["short"], 900);
}

// Where nothing is known of the work, the count has to do.
Test(placement, counts_requests_where_the_work_is_unknown)
{
    auto busy = make_candidate("busy", distance::same_domain, 27);
    busy.load.waiting = 20;
    auto less_busy = make_candidate("less", distance::same_domain, 27);
    less_busy.load.waiting = 2;
    cr_expect_lt(placement_cost(less_busy, 20), placement_cost(busy, 20));
}
