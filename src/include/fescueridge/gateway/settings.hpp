#pragma once

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/endpoint.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/gateway/keyed_log.hpp"

namespace fescueridge::gateway
{

/// Bounds that the deployment promises to its users.
struct service_bounds
{
    milliseconds grace{6'000}; ///< From the stop signal to the kill.
    milliseconds retry_window{10'000};
    double retry_ratio = 0.2; ///< Repeated arrivals for each request, at most.
    double retry_slack = 0;   ///< Repeated arrivals in a window beside the ratio.
};

/// Settings of a gateway node.
struct node_settings
{
    node_id node;
    domain_name domain;
    service_name service; ///< Service of the backend server on this VM.
    endpoint server;      ///< Address of that server.
    endpoint listen_entry;
    endpoint listen_ready;
    endpoint listen_announcements;
    endpoint listen_link;
    endpoint advertised_link;               ///< Where other nodes reach listen_link.
    milliseconds heartbeat_interval{1'500}; ///< Of backend servers.
    service_bounds bounds;
    topic_name config_topic;
    std::string config_key;
    topic_name nodes_topic;
    topic_name learned_topic; ///< What nodes have learned of calls between services.
};

} // namespace fescueridge::gateway
