#pragma once

#include <algorithm>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/endpoint.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/gateway/keyed_log.hpp"

namespace fescueridge::gateway
{

/// Limits that the deployment guarantees to its users.
struct service_bounds
{
    milliseconds grace{6'000};        ///< Time from the stop signal to the kill.
    milliseconds config_apply{2'000}; ///< From the log to all nodes.
    milliseconds revoke{5'000};       ///< Longest trust in unconfirmed keys.
    bool fail_closed = false;         ///< Whether keys are refused after that time.
    milliseconds retry_window{10'000};
    double retry_ratio = 0.2; ///< Maximum ratio of repeated arrivals to requests.
    double retry_slack = 0;   ///< Repeated arrivals per window beyond the ratio.
    double quota_slack = 0;   ///< Requests per window that may exceed a quota.
};

/// Limits of the process on its VM, and what of them each use may take. 0 stands for no
/// limit.
struct process_limits
{
    std::size_t memory_bytes = 0;
    std::size_t descriptors = 0;

    /// Returns the bytes held for clients: requests with their copies under way, and
    /// answers that they have not read.
    std::size_t client_bytes() const noexcept { return memory_bytes / 4; }

    /// Returns the bytes that may wait on the links to other nodes.
    std::size_t link_bytes() const noexcept { return memory_bytes / 8; }

    /// Returns the bytes of requests for the own server, and of answers that it sends.
    std::size_t server_bytes() const noexcept { return memory_bytes / 8; }

    /// Returns the connections of clients. The rest is for links, the server and the log.
    std::size_t client_connections() const noexcept;
};

/// Settings of a gateway node.
struct node_settings
{
    node_id node;
    domain_name domain;
    service_name service; ///< Service of the backend server on this VM.
    endpoint server;      ///< Address of that server.
    endpoint listen_requests;
    endpoint listen_ready;
    endpoint listen_announcements;
    endpoint listen_link;
    endpoint advertised_link;               ///< Address of listen_link for other nodes.
    milliseconds heartbeat_interval{1'500}; ///< Of backend servers.
    service_bounds bounds;
    process_limits process;
    topic_name config_topic;
    std::string config_key;
    topic_name nodes_topic;
    topic_name learned_topic;    ///< Topic of the estimated calls between routes.
    topic_name departures_topic; ///< Topic of the servers that have left.
};

inline std::size_t process_limits::client_connections() const noexcept
{
    constexpr std::size_t for_files = 200;
    constexpr std::size_t least = 16;
    if (descriptors == 0)
        return 0;
    return std::max(least, (descriptors - std::min(descriptors, for_files)) / 2);
}

} // namespace fescueridge::gateway
