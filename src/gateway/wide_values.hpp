#pragma once

#include "fescueridge/codec/messages.hpp"
#include "fescueridge/gateway/rank_scale.hpp"

namespace fescueridge::gateway
{

/// Returns the value by which a hello states the revision that its sender reads.
sheet_version state_revision(link_revision revision);

/// Returns whether the sender of a hello reads all ranks and times. One that does not
/// closes the link on a value outside the ranges of its revision.
bool reads_wide_values(const hello_message& hello);

/// Returns a message with its ranks and times in the ranges of
/// link_revision::compact_values.
link_message with_compact_values(link_message message, const rank_scale& scale);

/// Returns a message of a peer that writes compact ranks with the ranks they stand for.
link_message with_expanded_values(link_message message, const rank_scale& scale);

} // namespace fescueridge::gateway
