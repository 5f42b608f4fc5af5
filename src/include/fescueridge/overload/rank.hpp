#pragma once

#include <cstdint>

#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/messages.hpp"

namespace fescueridge
{

/// Number of priorities.
constexpr std::uint32_t priority_count = lowest_priority + 1;

/// Number of root fractions within one priority.
constexpr std::uint32_t fraction_count = 1024;

/// Position of a level that admits everything; ranks lie below it.
constexpr std::uint32_t open_position = priority_count * fraction_count;

/// Returns the fraction of a root, 0 to 1023; the same on every node.
std::uint16_t root_fraction(const root_id& root) noexcept;

/// Returns the rank of a call, 0 (refused last) to open_position - 1. Priorities above
/// the lowest are treated as the lowest.
std::uint32_t rank_of(priority rank, std::uint16_t fraction) noexcept;

/// Returns the position of a level: calls whose rank lies below it are admitted.
std::uint32_t position_of(const admission_level& level) noexcept;

/// Returns the level of a service with this position.
admission_level level_at(const service_name& service, std::uint32_t position);

} // namespace fescueridge
