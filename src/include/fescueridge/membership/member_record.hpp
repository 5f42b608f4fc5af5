#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/endpoint.hpp"
#include "fescueridge/base/server_state.hpp"
#include "fescueridge/base/types.hpp"

namespace fescueridge
{

/// Status of a member according to failure detection.
enum class liveness : std::uint8_t
{
    alive,
    suspect, ///< No contact for 1 s; the member can still refute.
    dead     ///< Suspect for 0.5 s without a refutation.
};

/// Returns the protocol name, for example "suspect".
std::string_view to_string(liveness value) noexcept;

/// Data that a node announces about itself. The pair (incarnation_number, sequence)
/// orders the versions of a record; only the node itself raises the sequence.
struct member_record
{
    node_id node;
    incarnation incarnation_number;
    std::uint64_t sequence = 1;
    endpoint link;
    endpoint operator_port;
    endpoint gossip;
    domain_name domain;
    std::string region;
    service_name service; ///< Empty while no backend server is announced.
    server_state state = server_state::gone;
    milliseconds warm_up{10'000};
    slot_count slots;
    sheet_version sheet;
};

/// A member's record and the status that this node assigns to it.
struct member_view
{
    member_record record;
    liveness status = liveness::alive;
};

/// Kind of a member_change.
enum class change_kind : std::uint8_t
{
    joined,       ///< The node is new, or a known node has a later incarnation.
    changed,      ///< Addresses, service, server state, slots or sheet version differ.
    suspected,    ///< The member became suspect.
    recovered,    ///< A suspect or dead member is alive again.
    died,         ///< The member is dead.
    forgotten,    ///< The member was removed from the table after being dead for a day.
    duplicate_id, ///< A live node with this node's id has a higher incarnation. This node
                  ///< accepts no more calls and stops gossiping.
    self_raised   ///< This node raised its incarnation above that of a dead predecessor.
};

/// Returns the name, for example "duplicate_id".
std::string_view to_string(change_kind value) noexcept;

/// A change of the member table.
struct member_change
{
    change_kind kind;
    member_view member;
};

} // namespace fescueridge
