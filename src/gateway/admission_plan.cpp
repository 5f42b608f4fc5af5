#include "fescueridge/gateway/admission_plan.hpp"

#include <algorithm>
#include <cmath>

namespace fescueridge::gateway
{
namespace
{

using demand_range = std::pair<std::size_t, std::size_t>;

/// Probability of success from which a request is begun without retries for its calls.
constexpr double fair_chance = 0.3;

/// Fraction of the requests with little chance that begin all the same, so that the
/// recovery of a service is noticed.
constexpr double probe_share = 0.02;

/// Fraction of the shared retries that the plan hands out. Retries are needed in bursts,
/// and one that is missing loses its whole request.
constexpr double planned_retries = 0.6;

/// Rejected fraction above which a service counts as one that serves nothing: the retries
/// that a call needs would grow without bound.
constexpr double max_rejected_share = 0.95;

/// Sort key of a class for the allocation of capacity.
std::pair<request_rank, bool> allocation_key(const class_demand& demand)
{
    return {demand.request_class.rank, demand.request_class.client_retry};
}

/// Returns the fraction of the group's demand that the remaining capacity of each service
/// covers, 0 to 1.
std::map<service_name, double> covered_fractions(const std::vector<class_demand>& demands,
                                                 const demand_range& group,
                                                 const service_capacity& remaining)
{
    std::map<service_name, double> required_ms_per_s;
    for (std::size_t i = group.first; i < group.second; ++i)
    {
        if (demands[i].lacks_server)
            continue;
        for (const auto& [service, ms] : demands[i].costs)
            required_ms_per_s[service] += demands[i].arrivals_per_s * ms;
    }
    std::map<service_name, double> covered_fraction;
    for (const auto& [service, ms] : required_ms_per_s)
    {
        const auto capacity = remaining.find(service);
        if (capacity != remaining.end() && ms > 0)
            covered_fraction[service] = std::clamp(capacity->second / ms, 0.0, 1.0);
    }
    return covered_fraction;
}

double need_of(const class_demand& demand, const service_name& service)
{
    const auto found = demand.need.find(service);
    return found == demand.need.end() ? 1 : found->second;
}

/// Sets the shares of a group to what the remaining capacity covers.
void limit_by_capacity(const std::vector<class_demand>& demands,
                       const demand_range& group, const service_capacity& remaining,
                       class_shares& shares)
{
    const auto covered_fraction = covered_fractions(demands, group, remaining);
    for (std::size_t i = group.first; i < group.second; ++i)
    {
        double share = demands[i].lacks_server ? 0 : 1;
        for (const auto& [service, ms] : demands[i].costs)
        {
            const auto found = covered_fraction.find(service);
            if (ms > 0 && found != covered_fraction.end())
                share = std::min(
                    share, std::max(found->second, 1 - need_of(demands[i], service)));
        }
        shares[demands[i].request_class] = share;
    }
}

void take_capacity(const std::vector<class_demand>& demands, const demand_range& group,
                   const class_shares& shares, service_capacity& remaining)
{
    for (std::size_t i = group.first; i < group.second; ++i)
    {
        const double admitted_per_s =
            shares.at(demands[i].request_class) * demands[i].arrivals_per_s;
        for (const auto& [service, ms] : demands[i].costs)
        {
            const auto capacity = remaining.find(service);
            if (capacity != remaining.end())
                capacity->second = std::max(0.0, capacity->second - admitted_per_s * ms);
        }
    }
}

using rejection_map = std::map<service_name, service_rejections>;

/// Returns the retries that a request's calls need on average until each is accepted.
std::map<service_name, double> retries_of(const class_demand& demand,
                                          const rejection_map& rejections)
{
    std::map<service_name, double> retries;
    for (const auto& [service, count] : demand.calls)
    {
        const auto found = rejections.find(service);
        if (found == rejections.end() || found->second.share <= 0)
            continue;
        const double rejected = std::min(found->second.share, max_rejected_share);
        retries[service] = count * rejected / (1 - rejected);
    }
    return retries;
}

/// Lowers the shares of the classes of a group that have little chance to what the
/// remaining retries cover.
void limit_by_retries(const std::vector<class_demand>& demands, const demand_range& group,
                      rejection_map& rejections, class_shares& shares)
{
    std::vector<std::size_t> limited;
    std::map<service_name, double> required_per_s;
    for (std::size_t i = group.first; i < group.second; ++i)
    {
        const bool is_last_try =
            demands[i].request_class.client_retry && demands[i].idempotent;
        if (is_last_try || chance_of(demands[i].calls, rejections) >= fair_chance)
            continue;
        limited.push_back(i);
        for (const auto& [service, retries] : retries_of(demands[i], rejections))
            required_per_s[service] +=
                retries * demands[i].arrivals_per_s * shares.at(demands[i].request_class);
    }
    std::map<service_name, double> covered_fraction;
    for (const auto& [service, required] : required_per_s)
        covered_fraction[service] =
            required > 0
                ? std::min(1.0, planned_retries * rejections.at(service).retries_per_s /
                                    required)
                : 1;
    for (const std::size_t i : limited)
    {
        const auto retries = retries_of(demands[i], rejections);
        double covered = 1;
        for (const auto& [service, count] : retries)
            covered = std::min(covered, covered_fraction.at(service));
        double& share = shares.at(demands[i].request_class);
        share *= std::max(covered, probe_share);
        for (const auto& [service, count] : retries)
        {
            double& left = rejections.at(service).retries_per_s;
            left = std::max(0.0, left - share * demands[i].arrivals_per_s * count /
                                            planned_retries);
        }
    }
}

} // namespace

double chance_of(const std::map<service_name, double>& calls,
                 const std::map<service_name, service_rejections>& rejections)
{
    double chance = 1;
    for (const auto& [service, count] : calls)
    {
        const auto found = rejections.find(service);
        if (found != rejections.end())
            chance *=
                std::pow(1 - std::min(found->second.share, max_rejected_share), count);
    }
    return chance;
}

class_shares admitted_shares(std::vector<class_demand> demands, service_capacity capacity,
                             std::map<service_name, service_rejections> rejections)
{
    std::stable_sort(demands.begin(), demands.end(),
                     [](const class_demand& a, const class_demand& b)
                     { return allocation_key(a) < allocation_key(b); });
    class_shares shares;
    for (std::size_t first = 0; first < demands.size();)
    {
        std::size_t last = first;
        while (last < demands.size() &&
               allocation_key(demands[last]) == allocation_key(demands[first]))
            ++last;
        const demand_range group{first, last};
        limit_by_capacity(demands, group, capacity, shares);
        limit_by_retries(demands, group, rejections, shares);
        take_capacity(demands, group, shares, capacity);
        first = last;
    }
    return shares;
}

double load_shedder::share(const admission_class& request_class) const
{
    const auto found = shares_.find(request_class);
    return found == shares_.end() ? 1 : found->second;
}

bool load_shedder::admit(const admission_class& request_class)
{
    const double admitted = share(request_class);
    if (admitted >= 1)
        return true;
    double& credit = credit_[request_class];
    credit += admitted;
    if (credit < 1)
        return false;
    credit -= 1;
    return true;
}

double capacity_correction::update(double wait_share, double use, double steps)
{
    // Far below 1, because requests with several sequential calls wait at each of them.
    constexpr double target_wait_share = 0.12;
    constexpr double low_wait_share = 0.03;
    constexpr double decrease_per_wait_share = 0.12;
    constexpr double max_decrease = 0.012;
    constexpr double increase_factor = 1.003;
    // The factor rises faster while hardly any request waits, and fastest while slots are
    // also free, because the reduction is then no longer needed.
    constexpr double low_wait_increase_factor = 1.01;
    constexpr double free_slots_increase_factor = 1.03;
    constexpr double free_slots_use = 0.75;
    constexpr double min_factor = 0.5;
    constexpr double max_factor = 1;
    const double excess_wait_share = wait_share - target_wait_share;
    double change = increase_factor;
    if (excess_wait_share > 0)
        change = 1 - std::min(max_decrease, decrease_per_wait_share * excess_wait_share);
    else if (wait_share < low_wait_share)
        change =
            use < free_slots_use ? free_slots_increase_factor : low_wait_increase_factor;
    factor_ *= std::pow(change, steps);
    factor_ = std::clamp(factor_, min_factor, max_factor);
    return factor_;
}

} // namespace fescueridge::gateway
