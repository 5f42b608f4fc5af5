#pragma once

#include <map>
#include <set>
#include <vector>

#include "fescueridge/gateway/admission_plan.hpp"
#include "fescueridge/gateway/routing_config.hpp"

namespace fescueridge::gateway
{

/// Aggregates the reports of the nodes: demand of each route, cost of its requests at
/// each service, and capacity of the services.
class fleet_view
{
public:
    /// `initial_edges` holds the calls to use for routes without reported calls.
    fleet_view(const route_table& table, time_point now,
               const std::vector<call_edge>& initial_edges = {})
        : table_(table), now_(now), initial_edges_(initial_edges)
    {
    }

    /// Sets the services of which a server was available before. Only their lack of a
    /// server is certain: those of other services may not have been heard of yet.
    void set_known_services(std::set<service_name> services)
    {
        known_services_ = std::move(services);
    }

    /// Adds the report of a node. Expired reports are ignored.
    void add(const node_report_message& report, time_point report_time);

    /// Returns the calls per run between routes, averaged over the reporting nodes.
    std::vector<call_edge> edges() const;

    /// Returns the demand of clients for the routes that are not in `called`, the routes
    /// called by servers, with its costs including these calls.
    std::vector<class_demand> demands(const std::set<route_name>& called,
                                      const std::vector<call_edge>& calls) const;

    /// Returns the fraction of its requests that each service turns away, for those that
    /// turn any away.
    std::map<service_name, double> rejected_shares() const;

    /// Returns the services of which a server is available.
    std::set<service_name> available_services() const;

    /// Returns the capacity of each service, corrected for its queueing delay. `steps` is
    /// the time since the last call, in steps of the correction.
    service_capacity capacity(std::map<service_name, capacity_correction>& corrections,
                              double steps = 1) const;

private:
    struct weighted_mean
    {
        double sum = 0;
        double weight = 0;
        void add(double value, double value_weight)
        {
            sum += value * value_weight;
            weight += value_weight;
        }
        double value() const { return weight > 0 ? sum / weight : 0; }
    };
    struct service_state
    {
        double limit = 0;
        double running = 0;
        weighted_mean wait_share;
        weighted_mean rejected_share;
    };

    route_cost_input cost_input_of(const route& configured) const;
    std::map<service_name, double> calls_of(const route& configured,
                                            const std::vector<call_edge>& calls) const;
    bool lacks_server(const service_name& service) const;
    bool lacks_server(const route& configured, const std::vector<call_edge>& calls) const;

    const route_table& table_;
    time_point now_;
    std::vector<call_edge> initial_edges_;
    std::set<service_name> known_services_;
    std::map<route_name, std::map<admission_class, double>> arrivals_;
    std::map<route_name, weighted_mean> slot_ms_;
    std::map<route_name, double>
        reporter_counts_; ///< Nodes that report calls of a route.
    std::map<std::pair<route_name, route_name>, double> calls_;
    std::map<service_name, service_state> services_;
};

} // namespace fescueridge::gateway
