#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/gateway_messages.hpp"
#include "fescueridge/gateway/run_queue.hpp"

namespace fescueridge::gateway
{

/// A run that may have made a call, and how much later than the call its time ends.
struct possible_parent
{
    run_number number;
    route_name route;
    milliseconds ends_later{0};
    priority rank; ///< Of the request of a client that the run is part of.
};

/// Learns how often a run of each route calls other routes, from the calls of the backend
/// server beside this node. The calls do not name their parent, but they end with it at
/// the latest. So a call whose time was cut short by its parent has the parent whose time
/// ends with it; others are divided among the runs that end later, by what calls of the
/// first kind have shown of their routes.
///
/// Only runs that were completed count, with all calls that they made. Under overload
/// many runs end before their last calls, and at the start of the load most are under
/// way: both would make a route look cheaper than it is, so that too much of it is
/// admitted.
class call_graph_learner
{
public:
    void on_run_started(run_number number, const route_name& route);

    /// Ends a run; `completed` when the server answered it without a failure.
    void on_run_ended(run_number number, bool completed);

    /// Takes what another process has learned, as a start.
    void remember(const std::vector<call_edge>& edges);

    /// Records a call of the backend server and the runs that may have made it. Returns
    /// the rank of its most likely parent, or null when no run fits.
    std::optional<priority> on_call(const route_name& callee, milliseconds time_left,
                                    const std::vector<possible_parent>& running);

    /// Lets what was learned fade, so that changes show; call it once a second.
    void fade();

    /// Returns the edges of routes that were run often enough to tell.
    std::vector<call_edge> edges() const;

private:
    struct made_call
    {
        route_name callee;
        double part = 0; ///< Probability that this run has made it.
        bool certain = false;
    };
    struct open_run
    {
        route_name route;
        std::vector<made_call> calls;
    };
    using counts = std::map<route_name, std::map<route_name, double>>;

    double known_rate(const route_name& from, const route_name& to) const;

    std::unordered_map<run_number, open_run> open_;
    std::map<route_name, double> runs_; ///< That were completed.
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
