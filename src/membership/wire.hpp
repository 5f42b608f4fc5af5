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
    ping = 1, ///< Probe; the target answers with an ack that has the same nonce.
    ack,
    ping_request, ///< Asks the receiver to probe `target` at `via` for the sender.
    join,         ///< Requests the whole member table.
    sync,         ///< Part of the member table; flag 1 marks the last part.
    digest,       ///< Hash of each bucket of the member table, for anti-entropy.
    digest_reply, ///< Numbers of the buckets that differ; their short updates follow.
    push,         ///< Carries updates only.
    pull          ///< Requests the full records of the nodes in `requested_nodes`.
};

/// Number of buckets into which anti-entropy divides the members.
constexpr std::uint32_t bucket_count = 128;

/// Update about one member. A short update, with `full` unset, transmits only the node,
/// incarnation, sequence, server state and sheet version of the record.
struct member_update
{
    member_record record;
    /// Sequence of the last change of a field that only full updates transmit. A receiver
    /// of a short update with a higher value than it has stored has missed a full update.
    std::uint64_t content_sequence = 1;
    liveness status = liveness::alive;
    bool full = false;
};

/// A decoded datagram. Its header contains a short update of the sender about itself.
struct datagram
{
    datagram_kind kind = datagram_kind::push;
    member_update sender;
    std::uint64_t nonce = 0; ///< Matches an ack to its ping; flags in a sync.
    /// Node to probe; empty for any node at the address. In an ack: the node that sent
    /// the ping or, if the ack is relayed, the probed node.
    node_id target;
    std::optional<endpoint> via;
    /// Bucket hashes of a digest, or bucket numbers of a digest_reply.
    std::vector<std::uint32_t> digest_values;
    std::vector<node_id> requested_nodes;
    std::vector<member_update> updates;
};

/// Returns an update as an array of 7 (short) or 18 (full) numbers and strings.
nlohmann::json to_array(const member_update& update);

/// Encodes `message` with `updates` in place of its own updates. Adds updates from index
/// `next_update` on while they fit into max_gossip_datagram_bytes, and sets `next_update`
/// to the index of the first update that was not added.
std::string encode(const datagram& message, const std::vector<nlohmann::json>& updates,
                   std::size_t& next_update);

/// Encodes `message` with its own updates. Throws codec_error if they do not fit.
std::string encode(const datagram& message);

/// Decodes a datagram. Throws codec_error if `bytes` is not a valid datagram.
datagram decode(std::string_view bytes);

} // namespace fescueridge::detail
