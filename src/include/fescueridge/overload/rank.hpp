#pragma once

#include <cstdint>

#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/messages.hpp"

namespace fescueridge
{

/// Class of a root request. Within a priority, new requests rank before resends.
struct root_class
{
    priority call_priority;
    bool resend = false;
};

/// Number of root classes: two for each priority.
constexpr std::uint32_t class_count = 2 * priority_count;

/// Position of a level that admits every call; all ranks are below it.
constexpr std::uint32_t open_position = class_count * fraction_count;

/// Position of a level that admits priority 0, including resends, and no other calls.
constexpr std::uint32_t top_priority_position = 2 * fraction_count;

/// Returns the fraction of a root request, 0 to 1023: a hash that is equal on all nodes
/// and orders the calls of a root class.
std::uint16_t root_fraction(const root_id& root) noexcept;

/// Returns the index of a class, 0 (refused last) to class_count - 1. Out-of-range
/// priorities are treated as the lowest.
std::uint32_t class_index(const root_class& call_class) noexcept;

/// Returns the rank of a call, 0 (refused last) to open_position - 1.
std::uint32_t rank_of(const root_class& call_class, std::uint16_t fraction) noexcept;

/// Returns the position of a level. Calls with a rank below the position are admitted.
std::uint32_t position_of(const admission_level& level) noexcept;

/// Returns the level of a service at a position.
admission_level level_at(const service_name& service, std::uint32_t position);

} // namespace fescueridge
