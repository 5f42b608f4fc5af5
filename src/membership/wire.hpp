#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "fescueridge/membership/gossip_core.hpp"

namespace fescueridge::detail
{

/// Kinds of gossip datagrams. All have the same header and may carry updates.
enum class datagram_kind : std::uint8_t
{
    ping = 1, ///< Probe; the target answers with ack and the same nonce.
    ack,
    ping_request, ///< Asks the receiver to probe `target` at `via` on behalf of the
                  ///< sender.
    join,         ///< Asks for the whole member table.
    sync,         ///< Part of the member table; flag 1 marks the last part.
    digest,       ///< Hashes of the member table for anti-entropy.
    digest_reply, ///< Numbers of the buckets that differ, with the receiver's members.
    push,         ///< Only updates.
    pull          ///< Asks for the records of the nodes in `wanted`.
};

/// Number of buckets that anti-entropy sorts the members into.
constexpr std::uint32_t bucket_count = 128;

/// Says something about one member. Without `full`, only node, incarnation, sequence,
/// server state and sheet version of the record are transmitted.
struct update
{
    member_record record;
    /// Sequence at which a field that only a full update transmits last changed. Tells a
    /// receiver of short updates that it missed a full one.
    std::uint64_t content = 1;
    liveness status = liveness::alive;
    bool full = false;
};

/// A decoded datagram. The header holds a short update of the sender about itself.
struct datagram
{
    datagram_kind kind = datagram_kind::push;
    update sender;
    std::uint64_t nonce = 0; ///< Matches an ack to its ping; flags of a sync.
    node_id target;          ///< Empty for any node at that address.
    std::optional<endpoint> via;
    std::vector<std::uint32_t> numbers; ///< Hashes of a digest, or bucket numbers.
    std::vector<node_id> wanted;
    std::vector<update> updates;
};

/// Returns an update as a CBOR array of 7 or 18 numbers and texts.
nlohmann::json to_array(const update& value);

/// Encodes everything but `updates`, then as many of the encoded updates as fit into
/// max_gossip_datagram. Starts at `first` and leaves it after the last one that fitted.
std::string encode(const datagram& value, const std::vector<nlohmann::json>& updates,
                   std::size_t& first);

/// Same as above with the updates of the datagram; throws codec_error if they do not fit.
std::string encode(const datagram& value);

/// Decodes a datagram. Throws codec_error for anything that encode cannot produce.
datagram decode(std::string_view bytes);

} // namespace fescueridge::detail
