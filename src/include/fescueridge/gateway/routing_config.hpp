#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/request_rank.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/gateway_messages.hpp"
#include "fescueridge/overload/quota_limit.hpp"
#include "fescueridge/transport/http.hpp"

namespace fescueridge::gateway
{

/// One of the services among which a route distributes its requests.
struct weighted_target
{
    service_name service;
    double weight = 1;
};

/// A rule that routes requests of one host and path prefix to services.
struct route
{
    /// Of a route whose own one cannot be used; the client's deadline is mostly shorter.
    static constexpr milliseconds default_timeout{60'000};

    route_name name;
    std::string host;
    std::string path_prefix; ///< Begins and ends with a slash.
    repeat_rule repeat = repeat_rule::at_most_once;
    milliseconds timeout{0};        ///< Maximum time until a client is answered.
    milliseconds target_latency{0}; ///< Answers within this time have full value.
    routing_priority rank;
    unsigned max_servers = 1; ///< Maximum number of backend servers tried per request.
    std::vector<weighted_target> targets; ///< None where they cannot be used.
    bool anonymous = false;               ///< Its requests need no key.
};

/// A customer whose clients share keys, a priority and a quota.
struct tenant_settings
{
    tenant_name name;
    std::vector<client_key> keys;
    std::optional<routing_priority> rank; ///< Goes before the priority of the route.
    std::optional<quota_limit> quota;     ///< Of all nodes together; null for no limit.
};

/// An entry of the table of tenants that cannot be used. The others are not affected.
struct unusable_tenant
{
    tenant_name name;
    std::vector<client_key> keys; ///< Those that could be read.
    std::string detail;
};

/// A value of a configuration that cannot be used. The rest of the configuration holds.
struct config_fault
{
    std::string place; ///< The entry, for example `routes.r1`.
    std::string detail;
};

/// Settings of a service, made by operators.
struct service_settings
{
    std::string health_path;          ///< Empty where there are no health checks.
    connection_count max_connections; ///< 0 stands for no limit.
};

/// Limits on the size of client requests and on the time to receive them.
struct client_limits
{
    message_limits sizes;
    static constexpr milliseconds default_header_timeout{30'000};

    milliseconds header_timeout = default_header_timeout;
    milliseconds idle_timeout{0}; ///< 0 stands for none.

    /// Returns the size limits, with the body size capped at the maximum that a link
    /// between nodes can carry.
    message_limits sizes_for_links() const;
};

/// The routing configuration, made by operators.
struct routing_config
{
    config_version version;
    std::vector<route> routes;
    std::map<service_name, service_settings> services;
    client_limits limits;
    bool requires_keys = false; ///< Requests need a key unless their route is anonymous.
    std::vector<tenant_settings> tenants;
    std::vector<unusable_tenant> unusable_tenants;
    std::vector<config_fault> faults; ///< Those of unusable tenants are among them.
};

/// A routing configuration with an index of its routes. Immutable: each request keeps the
/// table that was current at its arrival.
class route_table
{
public:
    explicit route_table(routing_config config);

    /// Returns the route of the host with the longest prefix of the path, or null. Case
    /// and port of the host are ignored.
    const route* find(std::string_view host, std::string_view path) const;

    /// Returns the route with this name, or null.
    const route* find(const route_name& name) const;

    /// Returns the settings of a service, or null.
    const service_settings* service(const service_name& name) const;

    /// Returns the tenant that holds a key, or null.
    const tenant_settings* find_tenant(const client_key& key) const;

    /// Returns whether the key belongs to a tenant whose entry cannot be used.
    bool is_key_of_unusable_tenant(const client_key& key) const;

    /// Returns the quotas of the tenants that have one.
    std::map<quota_name, quota_limit> quotas() const;

    const routing_config& config() const noexcept { return config_; }

private:
    routing_config config_;
    std::unordered_map<client_key, std::size_t> tenants_by_key_;
    std::unordered_set<client_key> keys_of_unusable_tenants_;
    /// Indices of the routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
};

/// Distributes the requests of one route among its targets by smooth weighted round
/// robin: as evenly over time as the weights allow.
class weighted_round_robin
{
public:
    /// Returns the target for the next request. A change of targets or weights restarts
    /// the round robin. Throws std::logic_error when there are no targets.
    const service_name& next(const std::vector<weighted_target>& targets);

private:
    std::vector<weighted_target> targets_;
    std::vector<double> current_weights_;
};

} // namespace fescueridge::gateway
