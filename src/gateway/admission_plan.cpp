#include "fescueridge/gateway/admission_plan.hpp"

#include <algorithm>

namespace fescueridge::gateway
{
namespace
{

using demand_range = std::pair<std::size_t, std::size_t>;

/// Sort key of a class for the allocation of capacity.
std::pair<priority, bool> order_of(const class_demand& demand)
{
    return {demand.rank, demand.of.returned};
}

/// Returns the fraction of the group's demand that the remaining capacity of each service
/// covers, 0 to 1.
std::map<service_name, double> coverage(const std::vector<class_demand>& demands,
                                        const demand_range& group,
                                        const service_capacity& left)
{
    std::map<service_name, double> need;
    for (std::size_t i = group.first; i < group.second; ++i)
        for (const auto& [service, ms] : demands[i].costs)
            need[service] += demands[i].arrivals_per_s * ms;
    std::map<service_name, double> covered;
    for (const auto& [service, ms] : need)
    {
        const auto capacity = left.find(service);
        if (capacity != left.end() && ms > 0)
            covered[service] = std::clamp(capacity->second / ms, 0.0, 1.0);
    }
    return covered;
}

void admit_group(const std::vector<class_demand>& demands, const demand_range& group,
                 service_capacity& left, class_shares& shares)
{
    const auto covered = coverage(demands, group, left);
    for (std::size_t i = group.first; i < group.second; ++i)
    {
        double share = 1;
        for (const auto& [service, ms] : demands[i].costs)
        {
            const auto found = covered.find(service);
            if (ms > 0 && found != covered.end())
                share = std::min(share, found->second);
        }
        shares[demands[i].of] = share;
        for (const auto& [service, ms] : demands[i].costs)
        {
            const auto capacity = left.find(service);
            if (capacity != left.end())
                capacity->second = std::max(
                    0.0, capacity->second - share * demands[i].arrivals_per_s * ms);
        }
    }
}

} // namespace

class_shares admitted_shares(std::vector<class_demand> demands, service_capacity capacity)
{
    std::stable_sort(demands.begin(), demands.end(),
                     [](const class_demand& a, const class_demand& b)
                     { return order_of(a) < order_of(b); });
    class_shares shares;
    for (std::size_t first = 0; first < demands.size();)
    {
        std::size_t last = first;
        while (last < demands.size() &&
               order_of(demands[last]) == order_of(demands[first]))
            ++last;
        admit_group(demands, {first, last}, capacity, shares);
        first = last;
    }
    return shares;
}

double request_thinner::share(const admission_class& of) const
{
    const auto found = shares_.find(of);
    return found == shares_.end() ? 1 : found->second;
}

bool request_thinner::admit(const admission_class& of)
{
    const double admitted = share(of);
    if (admitted >= 1)
        return true;
    double& credit = credit_[of];
    credit += admitted;
    if (credit < 1)
        return false;
    credit -= 1;
    return true;
}

double capacity_trim::update(double wait_share, double use)
{
    // Far below 1, because requests with several sequential calls wait at each of them.
    constexpr double target_share = 0.12;
    constexpr double short_share = 0.03;
    constexpr double down_per_share = 0.12;
    constexpr double most_down = 0.012;
    constexpr double up = 1.003;
    // The factor rises faster while hardly any request waits, and fastest while slots are
    // also free, because the reduction is then no longer needed.
    constexpr double up_when_short = 1.01;
    constexpr double up_when_free = 1.03;
    constexpr double free_use = 0.75;
    constexpr double least = 0.5;
    constexpr double most = 1;
    const double over = wait_share - target_share;
    if (over > 0)
        factor_ *= 1 - std::min(most_down, down_per_share * over);
    else if (wait_share < short_share)
        factor_ *= use < free_use ? up_when_free : up_when_short;
    else
        factor_ *= up;
    factor_ = std::clamp(factor_, least, most);
    return factor_;
}

} // namespace fescueridge::gateway
