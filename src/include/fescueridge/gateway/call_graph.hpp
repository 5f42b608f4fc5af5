#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/gateway_messages.hpp"
#include "fescueridge/gateway/failure_rate.hpp"
#include "fescueridge/gateway/run_queue.hpp"

namespace fescueridge::gateway
{

/// A run that may have made a call.
struct possible_parent
{
    run_number number;
    route_name route;
    milliseconds deadline_offset{0}; ///< Deadline of the run minus deadline of the call.
    request_rank rank;               ///< Of the client request that the run is part of.
};

/// Estimates how often a run of each route calls other routes, from the calls made by the
/// backend server beside this node. A call does not identify its parent run, but its
/// deadline is never later than the parent's. A call whose timeout was shortened by its
/// parent is attributed to the run with the same deadline. Any other call is distributed
/// over the runs with later deadlines, weighted by the call rates of their routes as
/// measured from attributed calls.
///
/// Where callers vary their timeouts by themselves, many shorter calls end with no run.
/// Only calls with much less than the usual timeout count as shortened then. Runs that
/// end with a call by chance are measured in a control window shortly after it and
/// subtracted.
///
/// Only completed runs are counted, with all calls that they made. Under overload many
/// runs end before their last calls, and at the start of a load most runs are still in
/// progress. Counting either would underestimate the cost of a route and admit too many
/// of its requests.
///
/// While a notable part of the runs of a route fails, its estimates are held: a call that
/// cannot be attributed is distributed over all running runs, and the failing ones, which
/// run longest, would take part of the calls of the completed ones with them.
class call_graph_estimator
{
public:
    void on_run_started(run_number number, const route_name& route);

    /// Ends a run; `completed` when the server answered it without a failure.
    void on_run_ended(run_number number, bool completed);

    /// Sets the initial estimates to those of another process.
    void set_initial_edges(const std::vector<call_edge>& edges);

    /// Records a call of the backend server; `running` are the runs that may have made
    /// it. Returns the rank of the most likely parent, or null when no run matches.
    std::optional<request_rank> on_call(const route_name& callee, milliseconds time_left,
                                        const std::vector<possible_parent>& running);

    /// Decays the counts so that the estimates follow changes; call it once per second.
    void decay();

    /// Returns the edges of routes with enough completed runs for an estimate.
    std::vector<call_edge> edges() const;

private:
    /// Calls of a run to one route.
    struct made_calls
    {
        double expected = 0;
        double evidence = 0; ///< Calls that end with the run, less matches by chance.
    };
    struct open_run
    {
        route_name route;
        std::map<route_name, made_calls> calls;
    };
    /// Timeouts of the calls to one route.
    struct callee_timeouts
    {
        milliseconds longest{0};
        std::map<int, double> by_step; ///< Calls by the logarithm of their timeout.
        double shorter = 0;            ///< Calls with a shorter timeout than the longest.
        double unmatched = 0;          ///< Of these, calls that end with no run.

        static int step_of(milliseconds timeout);
        void record(milliseconds timeout, bool matches);

        /// Returns whether the callers choose different timeouts by themselves.
        bool vary() const;

        /// Returns whether the parent of the call shortened its timeout.
        bool is_shortened(milliseconds timeout) const;
        void decay();
    };
    using counts = std::map<route_name, std::map<route_name, double>>;

    double attributed_rate(const route_name& from, const route_name& to) const;
    bool is_held(const route_name& route) const;
    double weight_of(const route_name& route, const route_name& callee) const;
    void reweigh_once(const route_name& callee);
    std::optional<request_rank>
    distribute(const route_name& callee, const std::vector<possible_parent>& candidates);
    void add_evidence(const route_name& callee, const std::vector<possible_parent>& runs,
                      double sign);

    std::unordered_map<run_number, open_run> open_;
    std::map<route_name, double> runs_; ///< Completed runs.
    std::map<route_name, failure_rate> failures_;
    counts calls_;
    counts attributed_calls_; ///< Sum of made_calls::evidence.
    std::map<route_name, callee_timeouts> timeouts_;
    std::set<route_name> reweighed_; ///< Callees whose early calls are corrected.
};

/// Returns how many calls to each other route a request of `route` causes, directly and
/// through its calls.
std::map<route_name, double> expected_calls(const route_name& route,
                                            const std::vector<call_edge>& calls);

/// Slot time in milliseconds that one request of a route uses at each service, including
/// all direct and indirect calls.
using service_costs = std::map<service_name, double>;

/// Input of service_costs_of() for one route.
struct route_cost_input
{
    std::map<service_name, double> targets; ///< Fraction per service; the sum is 1.
    double slot_ms = 0;
};

/// Returns the costs of each route. A call that closes a cycle is ignored: cycles are
/// artifacts of the estimated call graph.
std::map<route_name, service_costs>
service_costs_of(const std::map<route_name, route_cost_input>& routes,
                 const std::vector<call_edge>& calls);

} // namespace fescueridge::gateway
