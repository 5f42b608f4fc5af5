#pragma once

#include <cstdint>

#include "fescueridge/base/types.hpp"

namespace fescueridge
{

/// Hash of an idempotency key, as claims hold it.
using key_hash = strong_type<std::uint64_t, struct key_hash_tag>;

/// Returns the hash of a key; equal on every node.
key_hash hash_of(const idempotency_key& key);

} // namespace fescueridge
