#pragma once

#include <string>

#include "fescueridge/gateway/request_router.hpp"

namespace fescueridge::gateway
{

/// The configuration in force, and what of newer ones cannot be used.
struct config_status
{
    const route_table* table = nullptr; ///< Null while there is none.
    config_version unusable_version;    ///< Newer than the table's; 0 for none.
    std::uint64_t unusable_records = 0; ///< Since the start of the process.
};

/// What a node knows of the platform's log.
struct log_status
{
    milliseconds config_unconfirmed_for{0}; ///< Time since the last confirmation.
    std::uint64_t records_skipped = 0;      ///< Unreadable records of all topics.
    std::size_t departures_waiting = 0;     ///< Not stored yet.
};

/// What a node holds for its clients, and what it did not accept from them.
struct client_status
{
    std::size_t bytes = 0; ///< Held, with the copies of requests under way.
    std::size_t peak_bytes = 0;
    std::size_t connections = 0;
    std::map<http_fault_kind, std::uint64_t> faults;
};

/// Returns the counters, gauges and latency histograms of a node in the Prometheus text
/// format. `table` is null while the node has no routing configuration.
std::string metrics_text(const request_router& router, const run_executor& executor,
                         const peers& node_peers, const decision_log& decisions,
                         const config_status& config, const log_status& log,
                         const client_status& clients);

} // namespace fescueridge::gateway
