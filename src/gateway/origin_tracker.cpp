#include "fescueridge/gateway/origin_tracker.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fescueridge::gateway
{
namespace
{

/// Time constant of the exponential decay of the request counts, in seconds.
constexpr double decay_time_s = 10;

/// Minimum number of requests that the nodes of each service would receive if clients
/// sent them, for a route to be classified. With 10 expected, receiving less than a fifth
/// by chance has a probability of about 1 in 300.
constexpr double min_expected_requests = 10;

/// A route is called by servers if the nodes of some service receive less than this
/// fraction of the requests that the nodes of another service receive.
constexpr double max_called_ratio = 0.2;

} // namespace

void origin_tracker::begin_update(double seconds)
{
    update_interval_s_ = seconds;
    node_counts_.clear();
    const double decay_factor = std::exp(-seconds / decay_time_s);
    for (auto& [route, origins] : request_counts_)
        for (auto& [service, count] : origins)
            count *= decay_factor;
}

void origin_tracker::add_report(const node_report_message& report)
{
    if (!report.server || report.server->service.get().empty())
        return;
    const auto& service = report.server->service;
    ++node_counts_[service];
    for (const auto& route : report.arrivals)
        request_counts_[route.route][service] +=
            (route.new_per_s + route.returned_per_s) * update_interval_s_;
}

void origin_tracker::end_update()
{
    // The classification compares services, so it needs at least two.
    if (node_counts_.size() < 2)
        return;
    double all_nodes = 0;
    for (const auto& [service, nodes] : node_counts_)
        all_nodes += nodes;
    for (const auto& [route, origins] : request_counts_)
    {
        double total = 0;
        for (const auto& [service, count] : origins)
            total += count;
        double min_per_node = std::numeric_limits<double>::max();
        double max_per_node = 0;
        double min_nodes = all_nodes;
        for (const auto& [service, nodes] : node_counts_)
        {
            const auto found = origins.find(service);
            const double per_node = found == origins.end() ? 0 : found->second / nodes;
            min_per_node = std::min(min_per_node, per_node);
            max_per_node = std::max(max_per_node, per_node);
            min_nodes = std::min(min_nodes, nodes);
        }
        if (total * min_nodes / all_nodes < min_expected_requests)
            continue;
        if (min_per_node < max_called_ratio * max_per_node)
            called_.insert(route);
        else
            called_.erase(route);
    }
}

} // namespace fescueridge::gateway
