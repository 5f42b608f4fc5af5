#pragma once

#include <optional>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/random.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/gateway_messages.hpp"

namespace fescueridge::gateway
{

/// Location of a server relative to the node that places the request.
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
    distance node_distance = distance::other_domain;
    server_load load;
    std::uint32_t limit = 1;
    double service_ms = 0;   ///< Likely time of the request there; 0 when unknown.
    double failure_rate = 0; ///< Fraction of recent requests that it failed, 0 to 1.
    /// Time that the requests there are still likely to need; both 0 when unknown.
    double running_work_ms = 0;
    double waiting_work_ms = 0;
};

/// Returns the expected cost of a candidate in milliseconds: the time at the server,
/// increased when nearly all of its slots are in use, the wait for the work before it
/// when all are, a premium for leaving the VM and the failure domain, and a penalty for
/// failures.
double placement_cost(const placement_candidate& candidate, double typical_service_ms);

/// Chooses a server by two random choices: draws two servers of the own failure domain
/// and two of others, weighted by free slots, keeps the cheaper one of each pair and
/// compares the two. While the local server has spare slots, the remote one must be much
/// cheaper. It must be cheaper still while the local server answers well within the
/// target latency, because a faster answer then gains nothing.
///
/// Handles services whose servers differ threefold in speed, slow down when nearly full,
/// start cold or fail a part of their requests.
std::optional<node_id> choose_server(const std::vector<placement_candidate>& candidates,
                                     milliseconds target_latency, random_engine& random);

} // namespace fescueridge::gateway
