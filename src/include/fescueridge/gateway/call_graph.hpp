#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/gateway_messages.hpp"

namespace fescueridge::gateway
{

/// A run that may have made a call, and how much later than the call its time ends.
struct possible_parent
{
    route_name route;
    milliseconds ends_later{0};
};

/// Learns how often a run of each route calls other routes, from the calls of the backend
/// server beside this node. The calls do not name their parent, but they end with it at
/// the latest. So a call whose time was cut short by its parent has the parent whose time
/// ends with it; others are divided among the runs that end later, by what calls of the
/// first kind have shown of their routes.
class call_graph_learner
{
public:
    void on_run_started(const route_name& route);

    /// Takes what another process has learned, as a start.
    void remember(const std::vector<call_edge>& edges);

    /// Records a call of the backend server and the runs that may have made it.
    void on_call(const route_name& callee, milliseconds time_left,
                 const std::vector<possible_parent>& running);

    /// Lets what was learned fade, so that changes show; call it once a second.
    void fade();

    /// Returns the edges of routes that were run often enough to tell.
    std::vector<call_edge> edges() const;

private:
    using counts = std::map<route_name, std::map<route_name, double>>;

    double known_rate(const route_name& from, const route_name& to) const;

    std::map<route_name, double> runs_;
    counts calls_;
    counts certain_calls_; ///< Those whose parent is known.
    std::map<route_name, milliseconds> longest_time_;
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

/// Returns the costs of each route. A call that leads back to a route above it is left
/// out: it comes from the uncertainty of what was learned.
std::map<route_name, service_costs>
service_costs_of(const std::map<route_name, route_cost_input>& routes,
                 const std::vector<call_edge>& calls);

} // namespace fescueridge::gateway
