#include "fescueridge/gateway/origin_tracker.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fescueridge::gateway
{
namespace
{

/// Time constant of the exponential decay of the request counts, in seconds.
constexpr double memory_s = 10;

/// Minimum number of requests that the nodes of each service would receive if clients
/// sent them, for a route to be classified. With 10 expected, receiving less than a fifth
/// by chance has a probability of about 1 in 300.
constexpr double least_expected = 10;

/// A route is called by servers if the nodes of some service receive less than this
/// fraction of the requests that the nodes of another service receive.
constexpr double called_ratio = 0.2;

} // namespace

void origin_tracker::begin_update(double seconds)
{
    seconds_ = seconds;
    nodes_.clear();
    const double kept = std::exp(-seconds / memory_s);
    for (auto& [route, origins] : requests_)
        for (auto& [service, count] : origins)
            count *= kept;
}

void origin_tracker::add(const node_report_message& report)
{
    if (!report.server || report.server->service.get().empty())
        return;
    const auto& service = report.server->service;
    ++nodes_[service];
    for (const auto& route : report.arrivals)
        requests_[route.route][service] +=
            (route.new_per_s + route.returned_per_s) * seconds_;
}

void origin_tracker::end_update()
{
    // The classification compares services, so it needs at least two.
    if (nodes_.size() < 2)
        return;
    double all_nodes = 0;
    for (const auto& [service, nodes] : nodes_)
        all_nodes += nodes;
    for (const auto& [route, origins] : requests_)
    {
        double total = 0;
        for (const auto& [service, count] : origins)
            total += count;
        double least = std::numeric_limits<double>::max();
        double most = 0;
        double least_nodes = all_nodes;
        for (const auto& [service, nodes] : nodes_)
        {
            const auto found = origins.find(service);
            const double per_node = found == origins.end() ? 0 : found->second / nodes;
            least = std::min(least, per_node);
            most = std::max(most, per_node);
            least_nodes = std::min(least_nodes, nodes);
        }
        if (total * least_nodes / all_nodes < least_expected)
            continue;
        if (least < called_ratio * most)
            called_.insert(route);
        else
            called_.erase(route);
    }
}

} // namespace fescueridge::gateway
