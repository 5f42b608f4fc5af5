#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <tuple>

#include "fescueridge/base/strong_type.hpp"

namespace fescueridge
{

/// Priority that operators give to a route or a tenant of the routing configuration: 0 is
/// the most important. It has no lowest value but that of its representation.
using routing_priority = strong_type<std::uint64_t, struct routing_priority_tag>;

/// Stands for a priority that is not known: such requests must not displace others.
inline routing_priority least_important_priority()
{
    return routing_priority(std::numeric_limits<std::uint64_t>::max());
}

/// Importance of a request that a gateway routes: by the priority of its tenant and,
/// within it, by that of its route. Lower ranks are more important. Where the tenant has
/// no priority, the rank is the route's alone, as for a tenant of priority 0.
struct request_rank
{
    routing_priority tenant;
    routing_priority route;

    request_rank() = default;
    explicit request_rank(routing_priority of_route) : route(of_route) {}
    request_rank(routing_priority of_tenant, routing_priority of_route)
        : tenant(of_tenant), route(of_route)
    {
    }

    friend bool operator<(const request_rank& a, const request_rank& b)
    {
        return std::tie(a.tenant, a.route) < std::tie(b.tenant, b.route);
    }
    friend bool operator==(const request_rank& a, const request_rank& b)
    {
        return std::tie(a.tenant, a.route) == std::tie(b.tenant, b.route);
    }
    friend bool operator!=(const request_rank& a, const request_rank& b)
    {
        return !(a == b);
    }
};

/// Returns the rank for logs and metrics: the route's priority, with the tenant's and a
/// dot before it where that is not 0.
std::string to_string(const request_rank& rank);

/// Number of priorities of a tenant, and of a route, that a compact rank can express.
constexpr std::uint64_t compact_priorities = 10;

/// Number of compact ranks, which start at 0.
constexpr std::uint64_t compact_rank_count = compact_priorities * compact_priorities;

/// Returns whether a rank can be written as one number below compact_rank_count, the only
/// form that protocol revision 0 of the links knows.
inline bool is_compact(const request_rank& rank)
{
    return rank.tenant.get() < compact_priorities &&
           rank.route.get() < compact_priorities;
}

/// Returns the compact form of a rank for which is_compact() holds.
inline std::uint64_t to_compact(const request_rank& rank)
{
    return compact_priorities * rank.tenant.get() + rank.route.get();
}

/// Returns the rank with this compact form.
inline request_rank from_compact(std::uint64_t number)
{
    return {routing_priority(number / compact_priorities),
            routing_priority(number % compact_priorities)};
}

} // namespace fescueridge
