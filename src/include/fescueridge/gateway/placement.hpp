#pragma once

#include <optional>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/random.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/gateway_messages.hpp"

namespace fescueridge::gateway
{

/// Where a request starts out from a server's point of view.
enum class distance : std::uint8_t
{
    same_vm,
    same_domain,
    other_domain
};

/// A backend server that may take a request.
struct placement_candidate
{
    node_id node;
    distance from = distance::other_domain;
    server_load load;
    std::uint32_t limit = 1;
    double service_ms = 0;    ///< Mean time at the server; 0 when unknown.
    double failure_share = 0; ///< Requests that it failed of late, 0 to 1.
};

/// Returns the expected cost of a candidate in milliseconds: the time at the server, more
/// when its slots are nearly all in use, the wait when they are, a premium for leaving
/// the failure domain, and the price of likely failures.
double placement_cost(const placement_candidate& candidate, double typical_service_ms);

/// Chooses a server: the cheaper one of two servers of the own failure domain and the
/// cheaper one of two elsewhere, all drawn at random, weighted by free slots, are
/// compared. While the one nearby has slots to spare, the other one must be much cheaper,
/// and cheaper still when the one nearby answers far within the target latency: an answer
/// that is in time gains nothing from a faster server.
///
/// Load that it answers: servers of one service whose speeds differ threefold, that slow
/// down when nearly full, start cold or fail a part of their requests.
std::optional<node_id> choose_server(const std::vector<placement_candidate>& candidates,
                                     milliseconds target_latency, random_engine& random);

} // namespace fescueridge::gateway
