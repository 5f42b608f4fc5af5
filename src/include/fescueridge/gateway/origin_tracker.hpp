#pragma once

#include <map>
#include <set>
#include <vector>

#include "fescueridge/codec/gateway_messages.hpp"

namespace fescueridge::gateway
{

/// Distinguishes routes called by backend servers from routes used by clients. The source
/// address is no help, because both reach a node from the same address. Instead it
/// compares where requests arrive: client requests of a route arrive at the nodes of all
/// services, server calls only at the nodes of the services that make them.
class origin_tracker
{
public:
    /// Marks a route as called by servers, as found by an earlier process.
    void mark_called(const route_name& route) { called_.insert(route); }

    /// Starts an update, `seconds` after the previous one.
    void begin_update(double seconds);

    /// Adds the arrivals reported by a node.
    void add_report(const node_report_message& report);

    /// Ends the update and reclassifies the routes. A route with too few requests keeps
    /// its classification.
    void end_update();

    const std::set<route_name>& called_routes() const noexcept { return called_; }

private:
    double update_interval_s_ = 0;
    std::map<service_name, double> node_counts_; ///< Number of nodes of each service.
    std::map<route_name, std::map<service_name, double>> request_counts_;
    std::set<route_name> called_;
};

} // namespace fescueridge::gateway
