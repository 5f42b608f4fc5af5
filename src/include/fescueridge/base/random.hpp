#pragma once

#include <cstdint>
#include <random>
#include <string_view>

namespace fescueridge
{

/// Random generator that the pure modules take as an argument.
using random_engine = std::mt19937_64;

/// Returns 64 bits from the operating system's random source.
std::uint64_t random_seed();

/// Returns the 64-bit xxHash of a text: stable across processes and versions.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0) noexcept;

} // namespace fescueridge
