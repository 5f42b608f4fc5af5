#include <algorithm>

#include "fescueridge/overload/limits.hpp"

namespace fescueridge
{

namespace
{

// Part of a domain's share that is divided evenly, so that a node whose demand begins
// between two reports does not start with nothing.
constexpr double even_part = 0.02;

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
        const double even = static_cast<double>(demand.nodes) / total.nodes;
        const double part = total.rate > 0 ? demand.rate / total.rate : even;
        // Below the limit each node gets its demand and an even part of the rest: a node
        // with few calls often reports none, and must not be held to its last report.
        parts.push_back(total.rate < share
                            ? demand.rate + (share - total.rate) * even
                            : share * (even_part * even + (1 - even_part) * part));
    }
    return parts;
}

void share_collector::on_node_demand(const node_id& node, call_rate rate, time_point now)
{
    nodes_[node] = {std::max(0.0, rate.get()), now};
    for (auto it = nodes_.begin(); it != nodes_.end();)
    {
        it = now - it->second.at > share_lease ? nodes_.erase(it) : std::next(it);
    }
}

std::optional<demand_report_message>
share_collector::sum(std::uint32_t row, const domain_name& own, time_point now) const
{
    double rate = 0;
    std::uint32_t nodes = 0;
    for (const auto& [node, demand] : nodes_)
    {
        if (now - demand.at <= share_lease)
        {
            rate += demand.rate;
            ++nodes;
        }
    }
    if (nodes == 0)
    {
        return std::nullopt;
    }
    return demand_report_message{row, own, call_rate{rate},
                                 share_hop::collector_to_holder, nodes};
}

std::vector<node_grant> share_collector::divide(const share_grant_message& grant,
                                                time_point now) const
{
    std::vector<node_id> fresh;
    std::vector<share_demand> demands;
    for (const auto& [node, demand] : nodes_)
    {
        if (now - demand.at <= share_lease)
        {
            fresh.push_back(node);
            demands.push_back({demand.rate, 1});
        }
    }
    const auto parts = divide_share(demands, std::max(0.0, grant.rate.get()));
    std::vector<node_grant> result;
    for (std::size_t i = 0; i < fresh.size(); ++i)
    {
        result.push_back({fresh[i],
                          {grant.row, call_rate{parts[i]}, grant.lease,
                           share_hop::node_to_collector}});
    }
    return result;
}

bool share_collector::idle(time_point now) const
{
    return std::all_of(nodes_.begin(), nodes_.end(),
                       [now](const auto& entry)
                       { return now - entry.second.at > share_lease; });
}

} // namespace fescueridge
