#pragma once

#include <map>
#include <set>
#include <vector>

#include "fescueridge/codec/gateway_messages.hpp"

namespace fescueridge::gateway
{

/// Tells the routes that backend servers call from those that clients use, by where their
/// requests begin: clients send requests of a route from the VMs of all services, a call
/// of a server begins on the VMs of the services that make it. Both reach a node from the
/// same address.
class origin_tracker
{
public:
    /// Takes a route that servers call, as processes before this one have found.
    void remember(const route_name& route) { called_.insert(route); }

    /// Starts an update: `seconds` have passed since the one before.
    void begin_update(double seconds);

    /// Adds what a node reports of its arrivals.
    void add(const node_report_message& report);

    /// Ends the update and finds the routes that servers call anew. Routes with too few
    /// requests keep what is known of them.
    void end_update();

    const std::set<route_name>& called_routes() const noexcept { return called_; }

private:
    double seconds_ = 0;
    std::map<service_name, double> nodes_; ///< Beside servers of each service.
    std::map<route_name, std::map<service_name, double>> requests_;
    std::set<route_name> called_;
};

} // namespace fescueridge::gateway
