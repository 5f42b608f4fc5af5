#include "fescueridge/gateway/placement.hpp"

#include <algorithm>

namespace fescueridge::gateway
{
namespace
{

/// Utilization from which servers may slow down.
constexpr double crowded_use = 0.8;

/// Premium for another failure domain, as a fraction of the typical service time. Traffic
/// between failure domains has a price, and a broken connection between them loses the
/// request.
constexpr double other_domain_premium = 0.25;

/// Premium for the network hop to another VM, in milliseconds.
constexpr double link_premium_ms = 0.5;

/// Relative increase in cost at a failure rate of 1: a server that fails every request
/// costs this many times more than one that fails none.
constexpr double failure_factor = 20;

/// Utilization up to which a server of the own failure domain is preferred unless a
/// remote one is much cheaper.
constexpr double spare_use = 0.85;

/// Maximum cost of a remote server, relative to the local one, for it to be chosen then.
constexpr double much_cheaper = 0.7;

/// Fraction of the target latency up to which the cost of the local server is low enough,
/// and the maximum relative cost of a remote server for it to be chosen then. Slow
/// servers take three times as long as fast ones, so a larger difference indicates a
/// fault of the local server.
constexpr double ample_part = 0.25;
constexpr double very_much_cheaper = 0.25;

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

/// Returns the relative cost, remote to local, below which the remote server is chosen.
double leaving_bound(const placement_candidate& near, double near_cost,
                     milliseconds target_latency)
{
    if (use_of(near) > spare_use)
        return 1;
    const auto ample = ample_part * static_cast<double>(target_latency.count());
    return near_cost <= ample ? very_much_cheaper : much_cheaper;
}

using choices = std::vector<const placement_candidate*>;

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

/// Returns the cheaper of two candidates drawn at random, or null if there are none.
const placement_candidate* cheaper_of_two(const choices& from, double typical_service_ms,
                                          random_engine& random)
{
    if (from.size() < 2)
        return from.empty() ? nullptr : from.front();
    const auto* first = draw(from, nullptr, random);
    const auto* second = draw(from, first, random);
    const bool second_is_cheaper = placement_cost(*second, typical_service_ms) <
                                   placement_cost(*first, typical_service_ms);
    return second_is_cheaper ? second : first;
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
                                     milliseconds target_latency, random_engine& random)
{
    choices near;
    choices far;
    for (const auto& candidate : candidates)
        (candidate.from == distance::other_domain ? far : near).push_back(&candidate);
    const double typical = typical_service_ms(candidates);
    const auto* near_choice = cheaper_of_two(near, typical, random);
    const auto* far_choice = cheaper_of_two(far, typical, random);
    if (!near_choice || !far_choice)
    {
        const auto* only = near_choice ? near_choice : far_choice;
        return only ? std::optional<node_id>(only->node) : std::nullopt;
    }
    const double near_cost = placement_cost(*near_choice, typical);
    const bool leave = placement_cost(*far_choice, typical) <
                       leaving_bound(*near_choice, near_cost, target_latency) * near_cost;
    return leave ? far_choice->node : near_choice->node;
}

} // namespace fescueridge::gateway
