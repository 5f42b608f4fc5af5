#pragma once

#include <string>

#include "fescueridge/gateway/request_router.hpp"

namespace fescueridge::gateway
{

/// Returns the counters, gauges and latency histograms of a node in the Prometheus text
/// format. `table` is null while the node has no routing configuration;
/// `config_unconfirmed_for` is the time since the log last answered a read of it.
std::string metrics_text(const request_router& router, const run_executor& executor,
                         const peers& node_peers, const decision_log& decisions,
                         const route_table* table, milliseconds config_unconfirmed_for);

} // namespace fescueridge::gateway
