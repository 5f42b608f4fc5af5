#pragma once

#include "cbor_array_reader.hpp"
#include "fescueridge/state/done_keys.hpp"

namespace fescueridge::detail
{

/// Returns an array in which each hour is followed by its hashes, as a byte string with 8
/// bytes per hash in little-endian order.
json done_keys_to_json(const done_keys::buckets& buckets);

/// Reads the array of done_keys_to_json(). Throws codec_error if an hour or hash is
/// incomplete, or if hours or hashes are not in ascending order.
done_keys::buckets read_done_keys(cbor_array_reader in);

} // namespace fescueridge::detail
