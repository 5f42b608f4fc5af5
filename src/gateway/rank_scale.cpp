#include "fescueridge/gateway/rank_scale.hpp"

#include <algorithm>
#include <iterator>

namespace fescueridge::gateway
{
namespace
{

/// Returns the nearest compact form: the rank's own, or one that keeps the order.
std::uint64_t nearest_compact(const request_rank& rank)
{
    constexpr std::uint64_t highest = compact_priorities - 1;
    if (rank.tenant.get() > highest)
        return compact_rank_count - 1;
    return to_compact(
        {rank.tenant, routing_priority(std::min(rank.route.get(), highest))});
}

} // namespace

std::set<request_rank> ranks_of(const routing_config& config)
{
    std::set<routing_priority> of_routes;
    for (const auto& route : config.routes)
        of_routes.insert(route.rank);
    std::set<routing_priority> of_tenants{routing_priority(0)};
    for (const auto& tenant : config.tenants)
        if (tenant.rank)
            of_tenants.insert(*tenant.rank);
    std::set<request_rank> ranks;
    for (const auto& tenant : of_tenants)
        for (const auto& route : of_routes)
            ranks.insert({tenant, route});
    return ranks;
}

rank_scale::rank_scale(const routing_config& config)
{
    const auto ranks = ranks_of(config);
    const std::uint64_t count = ranks.size();
    std::uint64_t index = 0;
    std::uint64_t lowest_free = 0;
    for (const auto& rank : ranks)
    {
        std::uint64_t compact = index * compact_rank_count / count;
        if (count <= compact_rank_count)
        {
            const auto highest_free = compact_rank_count - (count - index);
            compact = std::clamp(nearest_compact(rank), lowest_free, highest_free);
            lowest_free = compact + 1;
        }
        compact_by_rank_.emplace(rank, compact);
        rank_by_compact_.emplace(compact, rank);
        ++index;
    }
}

request_rank rank_scale::compacted(const request_rank& rank) const
{
    const auto next = compact_by_rank_.upper_bound(rank);
    if (next != compact_by_rank_.begin() && std::prev(next)->first == rank)
        return from_compact(std::prev(next)->second);
    const auto low = next == compact_by_rank_.begin() ? 0 : std::prev(next)->second;
    const auto high =
        next == compact_by_rank_.end() ? compact_rank_count - 1 : next->second;
    return from_compact(std::clamp(nearest_compact(rank), low, high));
}

request_rank rank_scale::expanded(const request_rank& compact) const
{
    const auto found = rank_by_compact_.find(to_compact(compact));
    return found == rank_by_compact_.end() ? compact : found->second;
}

} // namespace fescueridge::gateway
