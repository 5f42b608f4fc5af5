#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/gateway_messages.hpp"
#include "fescueridge/transport/http.hpp"

namespace fescueridge::gateway
{

/// One of the services between which a route divides its requests.
struct weighted_target
{
    service_name service;
    double weight = 1;
};

/// A rule that leads requests of one host and path prefix to services.
struct route
{
    route_name name;
    std::string host;
    std::string path_prefix; ///< Begins and ends with a slash.
    repeat_rule repeat = repeat_rule::at_most_once;
    milliseconds timeout{0};        ///< Longest time that a client is kept waiting.
    milliseconds target_latency{0}; ///< Answers within it are worth most.
    priority rank;
    unsigned max_servers = 1; ///< Most backend servers that one request may be sent to.
    std::vector<weighted_target> targets;
};

/// What operators set for a service.
struct service_settings
{
    std::string health_path;
    connection_count max_connections;
};

/// Bounds on what a client may send and how long it may take.
struct client_limits
{
    message_limits sizes;
    milliseconds header_timeout{0};
    milliseconds idle_timeout{0};

    /// Returns the sizes, with bodies no larger than the links between nodes carry.
    message_limits sizes_on_links() const;
};

/// The routing configuration of operators.
struct routing_config
{
    config_version version;
    std::vector<route> routes;
    std::map<service_name, service_settings> services;
    client_limits limits;
};

/// A routing configuration with an index of its routes. Immutable: requests keep the
/// table that they began with.
class route_table
{
public:
    explicit route_table(routing_config config);

    /// Returns the route of the host with the longest prefix of the path, or null. The
    /// host is compared without regard to case and port.
    const route* find(std::string_view host, std::string_view path) const;

    /// Returns the route with this name, or null.
    const route* find(const route_name& name) const;

    /// Returns what is set for a service, or null.
    const service_settings* service(const service_name& name) const;

    const routing_config& config() const noexcept { return config_; }

private:
    routing_config config_;
    /// Indices of the routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
};

/// Divides the requests of one route between its targets, as evenly over time as the
/// weights allow (smooth weighted round robin).
class weighted_picker
{
public:
    /// Returns the target for the next request. The targets must not be empty; a change
    /// of targets or weights starts the division anew.
    const service_name& next(const std::vector<weighted_target>& targets);

private:
    std::vector<weighted_target> targets_;
    std::vector<double> credit_;
};

} // namespace fescueridge::gateway
