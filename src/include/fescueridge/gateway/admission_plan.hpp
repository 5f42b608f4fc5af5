#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "fescueridge/base/types.hpp"
#include "fescueridge/gateway/call_graph.hpp"

namespace fescueridge::gateway
{

/// Demand of clients for one route, over all nodes.
struct route_demand
{
    route_name route;
    priority rank;
    double arrivals_per_s = 0;
    service_costs costs;
};

/// Slot time that a service can give, in milliseconds a second.
using service_capacity = std::map<service_name, double>;

/// Returns the share of each route's requests that may begin, so that no service along
/// their calls is asked for more than its capacity. Capacity goes to the most important
/// routes first; routes of one priority share what is left in proportion.
///
/// Load that it answers: a surge in which a service deep in the graph runs out of slots,
/// so that a refusal there wastes the work of everything above it.
std::map<route_name, double> admitted_shares(std::vector<route_demand> demands,
                                             service_capacity capacity);

/// Applies shares to single requests, evenly over time.
class request_thinner
{
public:
    void set_shares(std::map<route_name, double> shares) { shares_ = std::move(shares); }

    /// Decides on the next request of a route.
    bool admit(const route_name& route);

    /// Returns the share of a route that is admitted, 1 when nothing is set.
    double share(const route_name& route) const;

private:
    std::map<route_name, double> shares_;
    std::unordered_map<route_name, double> credit_;
};

/// Corrects the capacity of a service by what its queues show: measured slot times lag
/// behind when a server slows down.
class capacity_trim
{
public:
    /// Takes the mean wait for a slot, every 100 ms, and returns the factor for the
    /// capacity. It changes slowly against the time from the admission of a request to
    /// its calls at deep services, so that it does not swing.
    double update(double wait_ms);

    double factor() const noexcept { return factor_; }

private:
    double factor_ = 0.95;
};

} // namespace fescueridge::gateway
