#pragma once

#include <cstdint>

#include "fescueridge/base/types.hpp"

namespace fescueridge
{

/// Hash that identifies an idempotency key in claims.
using key_hash = strong_type<std::uint64_t, struct key_hash_tag>;

/// Returns the hash of a key, which is the same on every node.
key_hash hash_of(const idempotency_key& key);

} // namespace fescueridge
