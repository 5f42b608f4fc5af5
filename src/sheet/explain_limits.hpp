#pragma once

#include <cstdint>

namespace fescueridge
{

/// Parts of a priority that an admission level can tell apart (design.md, section 5.2).
constexpr std::uint64_t cut_fraction_steps = 1024;

/// Largest fraction of an admission level.
constexpr std::uint64_t max_cut_fraction = cut_fraction_steps;

/// Last millisecond of the year 9999, the last that the explanation can write.
constexpr std::uint64_t max_wall_ms = 253'402'300'799'999;

} // namespace fescueridge
