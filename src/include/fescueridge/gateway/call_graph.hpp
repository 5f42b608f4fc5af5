#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/gateway_messages.hpp"

namespace fescueridge::gateway
{

/// Learns how often a run of each route calls other routes, from the calls of the backend
/// server beside this node. The calls do not name their parent, so each is divided among
/// the routes that run at that moment, by what is known of them so far
/// (expectation-maximization).
class call_graph_learner
{
public:
    void on_run_started(const route_name& route);
    void on_run_ended(const route_name& route);

    /// Records a call of the backend server.
    void on_call(const route_name& callee);

    /// Lets what was learned fade, so that changes show; call it once a second.
    void fade();

    /// Returns the edges of routes that were run often enough to tell.
    std::vector<call_edge> edges() const;

private:
    double rate(const route_name& from, const route_name& to) const;

    std::map<route_name, unsigned> running_;
    std::map<route_name, double> runs_;
    std::map<route_name, std::map<route_name, double>> calls_;
};

/// Slot time in milliseconds that one request of a route takes at each service, its own
/// and all that its calls lead to.
using service_costs = std::map<service_name, double>;

/// What is known of a route for service_costs_of().
struct route_cost_input
{
    std::map<service_name, double> targets; ///< Share of each service; they add up to 1.
    double slot_ms = 0;
};

/// Returns the costs of each route. Cycles end at the deepest call chain that the design
/// allows.
std::map<route_name, service_costs>
service_costs_of(const std::map<route_name, route_cost_input>& routes,
                 const std::vector<call_edge>& calls);

} // namespace fescueridge::gateway
