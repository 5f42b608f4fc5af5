#include <algorithm>

#include "fescueridge/overload/limits.hpp"

namespace fescueridge
{

namespace
{

// Fraction of a share that is divided evenly among nodes, for nodes whose demand starts
// between two reports.
constexpr double even_fraction = 0.02;

} // namespace

std::vector<double> divide_share(const std::vector<share_demand>& demands, double share)
{
    share_demand total{0, 0};
    for (const share_demand& demand : demands)
    {
        total.rate += demand.rate;
        total.nodes += demand.nodes;
    }
    std::vector<double> parts;
    parts.reserve(demands.size());
    for (const share_demand& demand : demands)
    {
        const double even_weight = static_cast<double>(demand.nodes) / total.nodes;
        const double demand_weight =
            total.rate > 0 ? demand.rate / total.rate : even_weight;
        // Below the share, each node gets its demand and an even part of the remainder. A
        // node with few calls often reports a rate of 0 and must not be limited to it.
        parts.push_back(total.rate < share
                            ? demand.rate + (share - total.rate) * even_weight
                            : share * (even_fraction * even_weight +
                                       (1 - even_fraction) * demand_weight));
    }
    return parts;
}

void share_collector::on_node_demand(const node_id& node, call_rate rate, time_point now)
{
    reports_[node] = {std::max(0.0, rate.get()), now};
    for (auto it = reports_.begin(); it != reports_.end();)
    {
        it = now - it->second.received_at > share_lease ? reports_.erase(it)
                                                        : std::next(it);
    }
}

std::optional<demand_report_message>
share_collector::total_demand(std::uint32_t row, const domain_name& own_domain,
                              time_point now) const
{
    double rate = 0;
    std::uint32_t nodes = 0;
    for (const auto& [node, demand] : reports_)
    {
        if (now - demand.received_at <= share_lease)
        {
            rate += demand.rate;
            ++nodes;
        }
    }
    if (nodes == 0)
    {
        return std::nullopt;
    }
    return demand_report_message{row, own_domain, call_rate{rate},
                                 share_hop::collector_to_holder, nodes};
}

std::vector<node_grant> share_collector::divide_grant(const share_grant_message& grant,
                                                      time_point now) const
{
    std::vector<node_id> reporting_nodes;
    std::vector<share_demand> demands;
    for (const auto& [node, demand] : reports_)
    {
        if (now - demand.received_at <= share_lease)
        {
            reporting_nodes.push_back(node);
            demands.push_back({demand.rate, 1});
        }
    }
    const auto parts = divide_share(demands, std::max(0.0, grant.rate.get()));
    std::vector<node_grant> result;
    for (std::size_t i = 0; i < reporting_nodes.size(); ++i)
    {
        result.push_back({reporting_nodes[i],
                          {grant.row, call_rate{parts[i]}, grant.lease,
                           share_hop::node_to_collector}});
    }
    return result;
}

bool share_collector::is_idle(time_point now) const
{
    return std::all_of(reports_.begin(), reports_.end(),
                       [now](const auto& entry)
                       { return now - entry.second.received_at > share_lease; });
}

} // namespace fescueridge
