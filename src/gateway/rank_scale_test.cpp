#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

#include "fescueridge/gateway/rank_scale.hpp"

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

request_rank rank_of(std::uint64_t tenant, std::uint64_t route)
{
    return {routing_priority(tenant), routing_priority(route)};
}

routing_config make_config(const std::vector<std::uint64_t>& of_routes,
                           const std::vector<std::uint64_t>& of_tenants = {})
{
    routing_config config;
    for (const auto priority : of_routes)
    {
        config.routes.emplace_back();
        config.routes.back().rank = routing_priority(priority);
    }
    for (const auto priority : of_tenants)
    {
        config.tenants.emplace_back();
        config.tenants.back().rank = routing_priority(priority);
    }
    return config;
}

const std::uint64_t largest = least_important_priority().get();

} // namespace

// Guards against a fleet in which the nodes of two versions order the same requests
// differently although the older one could express their ranks.
Test(rank_scale, keeps_ranks_that_are_compact)
{
    const rank_scale scale(make_config({0, 2, 7, 9}, {1, 3, 9}));
    for (std::uint64_t number = 0; number < compact_rank_count; ++number)
    {
        const auto rank = from_compact(number);
        cr_expect(scale.compacted(rank) == rank, "%s", to_string(rank).c_str());
        cr_expect(scale.expanded(rank) == rank, "%s", to_string(rank).c_str());
    }
    cr_expect(rank_scale().compacted(rank_of(3, 4)) == rank_of(3, 4));
}

// Guards against priorities that are cut to the largest one that fits: the less important
// of two routes, or the tenant of less importance, would no longer be refused first.
Test(rank_scale, keeps_the_order_of_any_priorities)
{
    const std::vector<std::pair<std::vector<std::uint64_t>, std::vector<std::uint64_t>>>
        sets{{{12, 40}, {}},
             {{0, 9, 10, 11, 99, 100, 255, 256, largest - 1, largest}, {}},
             {{0, 12, 300}, {0, 1, 2, 9, 10, 100, largest}},
             {{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, {0, 1, 2, 3, 4, 5, 6, 7, 8, largest}},
             {{largest}, {largest}}};
    for (const auto& [of_routes, of_tenants] : sets)
    {
        const auto config = make_config(of_routes, of_tenants);
        const rank_scale scale(config);
        const auto ranks = ranks_of(config);
        cr_assert_leq(ranks.size(), compact_rank_count);
        const request_rank* before = nullptr;
        for (const auto& rank : ranks)
        {
            const auto compact = scale.compacted(rank);
            cr_expect(is_compact(compact), "%s", to_string(rank).c_str());
            cr_expect(!before || scale.compacted(*before) < compact, "%s and %s",
                      before ? to_string(*before).c_str() : "", to_string(rank).c_str());
            cr_expect(scale.expanded(compact) == rank, "%s", to_string(rank).c_str());
            before = &rank;
        }
    }
}

// A request may have a rank of another version of the configuration.
Test(rank_scale, never_reverses_the_order_of_other_ranks)
{
    const rank_scale scale(make_config({4, 12, 40}, {2, 30}));
    std::vector<request_rank> ranks;
    for (const std::uint64_t tenant : {0, 1, 2, 3, 9, 10, 29, 30, 31})
        for (const std::uint64_t route : {0, 3, 4, 5, 9, 10, 12, 13, 39, 40, 41})
            ranks.push_back(rank_of(tenant, route));
    std::sort(ranks.begin(), ranks.end());
    for (std::size_t i = 1; i < ranks.size(); ++i)
        cr_expect(!(scale.compacted(ranks[i]) < scale.compacted(ranks[i - 1])),
                  "%s and %s", to_string(ranks[i - 1]).c_str(),
                  to_string(ranks[i]).c_str());
}

// More ranks than the older nodes can tell apart: neighbours share one, in order.
Test(rank_scale, shares_compact_ranks_among_neighbours_beyond_their_number)
{
    std::vector<std::uint64_t> of_routes;
    for (std::uint64_t i = 0; i < 7 * compact_rank_count; ++i)
        of_routes.push_back(i * i);
    const auto config = make_config(of_routes);
    const rank_scale scale(config);
    std::vector<request_rank> compact;
    for (const auto& rank : ranks_of(config))
        compact.push_back(scale.compacted(rank));
    cr_expect(std::is_sorted(compact.begin(), compact.end()));
    cr_expect(compact.front() == rank_of(0, 0));
    cr_expect(compact.back() == rank_of(9, 9));
}
