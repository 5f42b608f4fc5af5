#include "fescueridge/gateway/placement.hpp"

#include <algorithm>

namespace fescueridge::gateway
{
namespace
{

/// Share of the slots in use from which servers may slow down.
constexpr double crowded_use = 0.8;

/// Premium for another failure domain, as a part of the typical service time: bytes
/// between failure domains cost, and a cut between them loses the request.
constexpr double other_domain_premium = 0.25;

/// Premium for the way to another VM, in milliseconds.
constexpr double link_premium_ms = 0.5;

/// A server that fails every request is as expensive as one that takes this many times
/// as long.
constexpr double failure_factor = 20;

/// Use of the cheapest domain's slots up to which its servers come first.
constexpr double spare_use = 0.85;

double use_of(const placement_candidate& candidate)
{
    const double in_system = candidate.load.running + candidate.load.waiting + 1.0;
    return in_system / std::max(1U, candidate.limit);
}

double typical_service_ms(const std::vector<placement_candidate>& candidates)
{
    double sum = 0;
    unsigned known = 0;
    for (const auto& candidate : candidates)
    {
        if (candidate.service_ms <= 0)
            continue;
        sum += candidate.service_ms;
        ++known;
    }
    return known == 0 ? 1 : sum / known;
}

using choices = std::vector<const placement_candidate*>;

/// Returns the candidates of the own failure domain if they have slots to spare, else
/// all.
choices preferred(const std::vector<placement_candidate>& candidates)
{
    choices near;
    choices all;
    double use = 0;
    for (const auto& candidate : candidates)
    {
        all.push_back(&candidate);
        if (candidate.from == distance::other_domain || candidate.failure_share > 0.3)
            continue;
        near.push_back(&candidate);
        use = near.size() == 1 ? use_of(candidate) : std::min(use, use_of(candidate));
    }
    return near.empty() || use > spare_use ? all : near;
}

const placement_candidate* draw(const choices& from, const placement_candidate* except,
                                random_engine& random)
{
    constexpr double least_weight = 0.05;
    std::vector<double> weights;
    for (const auto* candidate : from)
    {
        const double free = candidate->limit - use_of(*candidate) * candidate->limit;
        weights.push_back(candidate == except ? 0 : std::max(least_weight, free));
    }
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    return from[pick(random)];
}

} // namespace

double placement_cost(const placement_candidate& candidate, double typical_service_ms)
{
    const double service =
        candidate.service_ms > 0 ? candidate.service_ms : typical_service_ms;
    const double use = use_of(candidate);
    double cost = service;
    if (use > crowded_use)
        cost += service * (use - crowded_use);
    if (use > 1)
        cost += service * (use - 1);
    if (candidate.from != distance::same_vm)
        cost += link_premium_ms;
    if (candidate.from == distance::other_domain)
        cost += other_domain_premium * typical_service_ms;
    return cost * (1 + failure_factor * candidate.failure_share);
}

std::optional<node_id> choose_server(const std::vector<placement_candidate>& candidates,
                                     random_engine& random)
{
    if (candidates.empty())
        return std::nullopt;
    const auto from = preferred(candidates);
    if (from.size() == 1)
        return from.front()->node;
    const double typical = typical_service_ms(candidates);
    const auto* first = draw(from, nullptr, random);
    const auto* second = draw(from, first, random);
    const bool second_is_cheaper =
        placement_cost(*second, typical) < placement_cost(*first, typical);
    return second_is_cheaper ? second->node : first->node;
}

} // namespace fescueridge::gateway
