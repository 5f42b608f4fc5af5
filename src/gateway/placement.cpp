#include "fescueridge/gateway/placement.hpp"

#include <algorithm>

namespace fescueridge::gateway
{
namespace
{

/// Utilization from which servers may slow down.
constexpr double slowdown_utilization = 0.8;

/// Premium for another failure domain, as a fraction of the typical service time. Traffic
/// between failure domains has a price, and a broken connection between them loses the
/// request.
constexpr double other_domain_cost_fraction = 0.25;

/// Premium for the network hop to another VM, in milliseconds.
constexpr double other_vm_cost_ms = 0.5;

/// Relative increase in cost at a failure rate of 1: a server that fails every request
/// costs this many times more than one that fails none.
constexpr double failure_cost_factor = 20;

/// Utilization up to which a server of the own failure domain is preferred unless a
/// remote one is much cheaper.
constexpr double spare_utilization = 0.85;

/// Maximum cost of a remote server, relative to the local one, for it to be chosen while
/// the local one has spare slots.
constexpr double max_remote_cost_ratio = 0.7;

/// While the cost of the local server is at most the first fraction of the target
/// latency, the second value is the maximum relative cost of a remote server for it to be
/// chosen. Slow servers take three times as long as fast ones, so a larger difference
/// indicates a fault of the local server.
constexpr double low_cost_target_fraction = 0.25;
constexpr double max_remote_to_low_cost_ratio = 0.25;

double utilization(const placement_candidate& candidate)
{
    const double load_with_request =
        candidate.load.running + candidate.load.waiting + 1.0;
    return load_with_request / std::max(1U, candidate.limit);
}

/// Returns the time until a server whose slots are all in use can begin one more request:
/// what waits there is spread over its slots, and the first of the running ones to end is
/// likely to be near its end. Without known work, its count stands in.
double wait_ms(const placement_candidate& candidate, double service_time_ms)
{
    const double slots = std::max(1U, candidate.limit);
    if (candidate.running_work_ms <= 0 && candidate.waiting_work_ms <= 0)
        return service_time_ms * (utilization(candidate) - 1);
    return candidate.waiting_work_ms / slots +
           candidate.running_work_ms / (slots * slots);
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

/// Returns the candidates, with the shortest known service time for those whose time is
/// unknown. A mean time would leave a new server without requests, and so without a
/// measured time, for as long as a faster one has slots to spare.
std::vector<placement_candidate>
with_assumed_times(std::vector<placement_candidate> candidates)
{
    double shortest_ms = 0;
    for (const auto& candidate : candidates)
        if (candidate.service_ms > 0 &&
            (shortest_ms <= 0 || candidate.service_ms < shortest_ms))
            shortest_ms = candidate.service_ms;
    for (auto& candidate : candidates)
        if (candidate.service_ms <= 0)
            candidate.service_ms = shortest_ms;
    return candidates;
}

/// Returns the relative cost, remote to local, below which the remote server is chosen.
double remote_cost_bound(const placement_candidate& local, double local_cost,
                         milliseconds target_latency)
{
    if (utilization(local) > spare_utilization)
        return 1;
    const auto low_cost_ms =
        low_cost_target_fraction * static_cast<double>(target_latency.count());
    return local_cost <= low_cost_ms ? max_remote_to_low_cost_ratio
                                     : max_remote_cost_ratio;
}

using candidate_list = std::vector<const placement_candidate*>;

const placement_candidate* draw_weighted(const candidate_list& from,
                                         const placement_candidate* except,
                                         random_engine& random)
{
    constexpr double min_weight = 0.05;
    std::vector<double> weights;
    for (const auto* candidate : from)
    {
        const double free = candidate->limit - utilization(*candidate) * candidate->limit;
        weights.push_back(candidate == except ? 0 : std::max(min_weight, free));
    }
    std::discrete_distribution<std::size_t> distribution(weights.begin(), weights.end());
    return from[distribution(random)];
}

/// Returns the cheaper of two candidates drawn at random, or null if there are none.
const placement_candidate* cheaper_of_two(const candidate_list& from,
                                          double typical_service_ms,
                                          random_engine& random)
{
    if (from.size() < 2)
        return from.empty() ? nullptr : from.front();
    const auto* first = draw_weighted(from, nullptr, random);
    const auto* second = draw_weighted(from, first, random);
    const bool second_is_cheaper = placement_cost(*second, typical_service_ms) <
                                   placement_cost(*first, typical_service_ms);
    return second_is_cheaper ? second : first;
}

} // namespace

double placement_cost(const placement_candidate& candidate, double typical_service_ms)
{
    const double service_time_ms =
        candidate.service_ms > 0 ? candidate.service_ms : typical_service_ms;
    const double slot_utilization = utilization(candidate);
    double cost = service_time_ms;
    if (slot_utilization > slowdown_utilization)
        cost += service_time_ms * (slot_utilization - slowdown_utilization);
    if (slot_utilization > 1)
        cost += wait_ms(candidate, service_time_ms);
    if (candidate.node_distance != distance::same_vm)
        cost += other_vm_cost_ms;
    if (candidate.node_distance == distance::other_domain)
        cost += other_domain_cost_fraction * typical_service_ms;
    return cost * (1 + failure_cost_factor * candidate.failure_rate);
}

std::optional<node_id> choose_server(const std::vector<placement_candidate>& candidates,
                                     milliseconds target_latency, random_engine& random)
{
    candidate_list local;
    candidate_list remote;
    const auto with_times = with_assumed_times(candidates);
    for (const auto& candidate : with_times)
        (candidate.node_distance == distance::other_domain ? remote : local)
            .push_back(&candidate);
    const double typical_ms = typical_service_ms(candidates);
    const auto* local_choice = cheaper_of_two(local, typical_ms, random);
    const auto* remote_choice = cheaper_of_two(remote, typical_ms, random);
    if (!local_choice || !remote_choice)
    {
        const auto* only = local_choice ? local_choice : remote_choice;
        return only ? std::optional<node_id>(only->node) : std::nullopt;
    }
    const double local_cost = placement_cost(*local_choice, typical_ms);
    const bool choose_remote =
        placement_cost(*remote_choice, typical_ms) <
        remote_cost_bound(*local_choice, local_cost, target_latency) * local_cost;
    return choose_remote ? remote_choice->node : local_choice->node;
}

} // namespace fescueridge::gateway
