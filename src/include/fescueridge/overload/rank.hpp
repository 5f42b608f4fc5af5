#pragma once

#include <cstdint>

#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/messages.hpp"

namespace fescueridge
{

/// Root class of a call: within one priority new requests come before resends.
struct root_class
{
    priority rank;
    bool resend = false;
};

/// Number of root classes.
constexpr std::uint32_t class_count = 2 * priority_count;

/// Position of a level that admits everything; ranks lie below it.
constexpr std::uint32_t open_position = class_count * fraction_count;

/// Position of a level that admits priority 0, resends included, and nothing else.
constexpr std::uint32_t top_position = 2 * fraction_count;

/// Returns the fraction of a root, 0 to 1023; the same on every node.
std::uint16_t root_fraction(const root_id& root) noexcept;

/// Returns the number of a class, 0 (refused last) to class_count - 1. Priorities above
/// the lowest are treated as the lowest.
std::uint32_t class_index(const root_class& of) noexcept;

/// Returns the rank of a call, 0 (refused last) to open_position - 1.
std::uint32_t rank_of(const root_class& of, std::uint16_t fraction) noexcept;

/// Returns the position of a level: calls whose rank lies below it are admitted.
std::uint32_t position_of(const admission_level& level) noexcept;

/// Returns the level of a service with this position.
admission_level level_at(const service_name& service, std::uint32_t position);

} // namespace fescueridge
