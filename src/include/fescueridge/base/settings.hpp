#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/endpoint.hpp"
#include "fescueridge/base/experiment.hpp"
#include "fescueridge/base/types.hpp"

namespace fescueridge
{

/// Settings of a node, read once at the start.
struct node_settings
{
    node_id node;
    domain_name domain;
    std::string region;
    endpoint listen_caller;   ///< Callers' HTTP.
    endpoint listen_server;   ///< HTTP for downstream calls of the own backend server.
    endpoint listen_link;     ///< Links from other nodes.
    endpoint listen_operator; ///< Operators' HTTP and server announcements.
    endpoint listen_gossip;   ///< UDP.
    endpoint
        advertised_link; ///< Told to other nodes; differs behind address translation.
    endpoint advertised_gossip;
    std::vector<endpoint> contacts; ///< Gossip addresses of a few other nodes.
    std::optional<endpoint> log_service;
    /// Time for which the log service keeps records; state is carried forward after half
    /// of it.
    milliseconds log_retention{std::chrono::hours{24}};
    /// Threads that carry the calls. Two threads hand each other the work of a single
    /// call: 7 to 8 wake-ups a call and node instead of 2 to 3.
    unsigned threads = 1;
    milliseconds drain_timeout{30'000};
    std::size_t caller_bytes = 0; ///< Most bytes held for callers; see byte_account.
    std::size_t caller_connections = 0; ///< Most connections of callers.
    control_policy control; ///< For benchmarks only: baselines to compare with.
};

/// Reads and checks a settings file in JSON with comments. Throws settings_error that
/// names the file and the key for an unknown key, a missing key, a wrong type or a value
/// out of range.
node_settings load_settings(const std::string& file);

/// Same as load_settings, from a text; `file` is only used in error messages.
node_settings parse_settings(const std::string& text, const std::string& file);

} // namespace fescueridge
