#pragma once

#include "cbor_fields.hpp"
#include "fescueridge/state/done_keys.hpp"

namespace fescueridge::detail
{

/// Returns an array of hour and hashes in turn; the hashes are 8 bytes each, the lowest
/// byte first.
json done_keys_to_json(const done_keys::buckets& buckets);

/// Throws codec_error unless hours and hashes are whole and in ascending order.
done_keys::buckets read_done_keys(cbor_fields in);

} // namespace fescueridge::detail
