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

/// What the members know of the life of a node.
enum class liveness : std::uint8_t
{
    alive,
    suspect, ///< No sign of life for 1 s; may still refute.
    dead     ///< No refutation for 0.5 s more.
};

/// Returns the protocol name, for example "suspect".
std::string_view to_string(liveness value) noexcept;

/// What a node says about itself. The pair (number, sequence) orders the versions of a
/// record; only the node itself raises the sequence.
struct member_record
{
    node_id node;
    incarnation number;
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

/// A member as this node sees it.
struct member_view
{
    member_record record;
    liveness status = liveness::alive;
};

/// Why a member_change is reported.
enum class change_kind : std::uint8_t
{
    joined,       ///< A node not known before, or a later incarnation of a known one.
    changed,      ///< Addresses, service, server state, slots or sheet version changed.
    suspected,    ///< The member became suspect.
    recovered,    ///< A suspect or dead member is alive again.
    died,         ///< The member is dead.
    forgotten,    ///< The member was dead for a day and is no longer in the table.
    duplicate_id, ///< A live node with this node's id has a higher incarnation. This node
                  ///< takes no calls and no part in gossip from now on.
    self_raised   ///< This node raised its incarnation above that of a dead predecessor.
};

/// Returns the name, for example "duplicate_id".
std::string_view to_string(change_kind value) noexcept;

/// One change of the member table.
struct member_change
{
    change_kind kind;
    member_view member;
};

} // namespace fescueridge
