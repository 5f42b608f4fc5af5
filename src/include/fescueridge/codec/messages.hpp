#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/outcome.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/gateway_messages.hpp"
#include "fescueridge/codec/header_field.hpp"
#include "fescueridge/codec/quarantine_record.hpp"
#include "fescueridge/codec/sheet_step.hpp"

namespace fescueridge
{

/// Number of priorities.
constexpr std::uint32_t priority_count = lowest_priority + 1;

/// Number of root fractions within one root class.
constexpr std::uint32_t fraction_count = 1024;

/// What a node admits at the moment: calls whose rank (root class, root fraction) lies
/// below it. A level of (lowest_priority + 1, 0) admits everything.
struct admission_level
{
    service_name service;
    std::uint8_t cut_priority = lowest_priority + 1;
    std::uint16_t cut_fraction = 0;
    /// The fraction is one of the resends of the cut priority, and its new requests are
    /// all admitted; otherwise it is one of the new requests, and no resend is admitted.
    bool cut_resends = false;
};

/// First message on a link, in both directions.
struct hello_message
{
    node_id node;
    incarnation number;
    domain_name domain;
    /// Gateway nodes have no sheet and state their link_revision in this place: the nodes
    /// before the revisions accept no further field.
    sheet_version version;
};

/// A call on its way to the node beside a backend server. Everything after `time_left` is
/// inherited from the root.
struct call_message
{
    call_id id;
    root_id root;
    caller_name caller;
    service_name service;
    priority rank;
    milliseconds time_left{0};
    retry_allowance allowance;
    std::uint32_t depth = 1;
    std::uint32_t attempt = 1;
    std::optional<idempotency_key> key;
    std::string method;
    std::string path;
    std::vector<header_field> headers;
    std::string body;
    bool resend = false; ///< Root class: comes after new requests of its priority.
};

/// The answer to a call: whole, or a typed failure.
struct reply_message
{
    call_id id;
    outcome result = outcome::unknown;
    std::optional<refusal_reason> reason;
    int status = 0;
    std::vector<header_field> headers;
    std::string body;
    retry_allowance allowance_left;
    std::vector<admission_level> levels;
    std::string refusal_token;
};

/// Nobody waits for this call any more.
struct cancel_message
{
    call_id id;
};

/// Heartbeat of a link; the answer repeats the send time.
struct ping_message
{
    std::int64_t sent_ms = 0;
};

struct pong_message
{
    std::int64_t sent_ms = 0;
};

/// Asks for what is newer than version `have`: differences, or the whole sheet if the
/// peer does not have them all or `have` is 0.
struct sheet_pull_message
{
    sheet_version have;
};

/// A whole sheet with the log offset up to which it was decided.
struct sheet_push_message
{
    sheet_version version;
    log_offset offset;
    std::string content;
    std::string author{};
};

/// The two parties of a demand report and of the grant that answers it. A node may be a
/// node, a collector and the share holder of one row at the same time.
enum class share_hop : std::uint8_t
{
    node_to_holder,
    node_to_collector,
    collector_to_holder
};

/// Demand for a limited row of the sheet, seen by the sender or by the nodes that report
/// to it.
struct demand_report_message
{
    std::uint32_t row = 0;
    domain_name domain;
    call_rate rate;
    share_hop hop = share_hop::node_to_holder;
    std::uint32_t nodes = 1; ///< Nodes behind the rate.
};

/// Share of a limited row that the receiver may use until the lease ends.
struct share_grant_message
{
    std::uint32_t row = 0;
    call_rate rate;
    milliseconds lease{0};
    share_hop hop = share_hop::node_to_holder; ///< That of the report it answers.
};

/// What the sender knows of a request that was running when a backend server died.
struct strike_message
{
    quarantine_record record;
};

/// The steps from one version of the sheet to a newer one, in order.
struct sheet_delta_message
{
    std::vector<sheet_step> steps;
};

/// Any message on a link between two nodes.
using link_message =
    std::variant<hello_message, call_message, reply_message, cancel_message, ping_message,
                 pong_message, sheet_pull_message, sheet_push_message,
                 demand_report_message, share_grant_message, strike_message,
                 sheet_delta_message, forward_message, forward_reply_message,
                 forward_cancel_message, node_report_message, config_pull_message,
                 config_push_message, known_nodes_message, suspect_message,
                 own_server_message, forward_recall_message, quota_ask_message,
                 quota_grant_message, departed_start_message, unknown_message>;

/// A message with the Lamport stamp of its sender.
struct link_frame
{
    std::uint64_t lamport = 0;
    link_message message;
};

/// Largest encoded frame in bytes: a body of the largest size and its envelope.
constexpr std::size_t max_frame_bytes = max_body_bytes + std::size_t{1024} * 1024;

/// Encodes a frame as CBOR.
std::string encode_frame(const link_frame& frame);

/// Decodes a frame. A type that is not known gives an unknown_message, so that newer
/// nodes can send more messages. Throws codec_error when the bytes are no CBOR, a field
/// is missing or has a wrong type, or a body or frame is too large.
link_frame decode_frame(const std::string& bytes);

} // namespace fescueridge
