#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <type_traits>
#include <vector>

#include "fescueridge/sheet/sheet.hpp"

// JSON bodies of the operator port, shared by the node and the tool. Reading ignores
// members that it does not know, so that a newer node can answer an older tool.

namespace fescueridge
{

/// Answer to POST /v1/sheet/check, whose body is the sheet itself (text/csv).
struct check_result
{
    bool ok = false;
    std::vector<sheet_fault> faults;
};

/// Body of POST /v1/sheet/submit.
struct submit_request
{
    std::string author;
    std::uint64_t base = 0; ///< Version that the author edited.
    std::string content;
    /// Chosen by the sender, so that the same submit can be sent again through any node
    /// without a second record. The node chooses one when it is empty.
    std::string submit_id;
};

/// How a submit ended.
enum class submit_status : std::uint8_t
{
    accepted,   ///< In the log as `version`.
    lost,       ///< Another submit on the same base was first.
    pending,    ///< Sent to the log; not known yet whether it was accepted.
    refused,    ///< The sheet has faults; nothing was sent to the log.
    unavailable ///< The log cannot be reached; nothing was accepted.
};

/// Returns the protocol name, for example "accepted".
std::string_view to_string(submit_status value) noexcept;

/// Answer to POST /v1/sheet/submit.
struct submit_result
{
    submit_status status = submit_status::unavailable;
    std::uint64_t version = 0;         ///< Accepted version; with `lost`, the winner's.
    std::string winner_author;         ///< With `lost`.
    std::string winner_submit;         ///< With `lost`: submit id of the winner.
    std::uint64_t current_version = 0; ///< Version in force at the node.
    std::vector<sheet_fault> faults;   ///< With `refused`.
};

/// Answer to GET /v1/sheet. Version 0 with empty content when no sheet is known.
struct sheet_view
{
    std::uint64_t version = 0;
    std::string content;
    std::string author;
};

/// One failure domain as a node sees it.
struct domain_view
{
    std::string name;
    std::uint32_t nodes = 0;
    std::uint64_t lowest_version = 0;
    bool reachable = false;
};

/// The backend server of a node.
struct server_status
{
    std::string service;
    std::string state; ///< "none", "cold", "ready", "draining" or "gone".
    std::uint32_t slots = 0;
    std::uint32_t limit = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
};

/// The log service as a node sees it.
struct log_view
{
    bool reachable = false;   ///< Whether the last read was answered.
    std::uint64_t offset = 0; ///< Next offset of the config stream to read.
};

/// Answer to GET /v1/status.
struct status_view
{
    std::string node;
    std::uint64_t incarnation = 0;
    std::string domain;
    std::string region;
    std::uint64_t version = 0;
    bool ready = false;
    std::vector<domain_view> domains;
    server_status server;
    log_view log;
};

/// One member of the fleet.
struct member_status
{
    std::string node;
    std::uint64_t incarnation = 0;
    std::string domain;
    std::string region;
    std::string service;
    std::string state;    ///< State of the server, as in server_status.
    std::string liveness; ///< "alive", "suspect" or "dead".
    std::uint32_t slots = 0;
    std::uint64_t version = 0;
};

/// Answer to GET /v1/members.
struct members_view
{
    std::vector<member_status> members;
};

/// Admission level of a service as a node knows it.
struct service_pressure
{
    std::string service;
    std::uint32_t cut_priority = 0;
    std::uint32_t cut_fraction = 0;
    bool cut_resends = false; ///< The fraction is one of the resends of the priority.
    std::uint64_t age_ms = 0; ///< Since the last report; 0 for the own server's level.
};

/// Answer to GET /v1/pressure.
struct pressure_view
{
    std::vector<service_pressure> services;
};

/// Answer to POST /v1/drain.
struct drain_result
{
    std::string state;
    std::uint32_t in_flight = 0;
};

/// Answer to GET /v1/explain/<token>.
struct explain_view
{
    std::string text;
};

/// Answer to GET /v1/events is text with one JSON object a line, as to_json_line writes
/// it; `since` is the sequence after which events are wanted. This is one such line, with
/// the line itself kept for its fields.
struct event_view
{
    std::int64_t time_ms = 0;
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t lamport = 0;
    std::string name;
    std::string line;
};

/// Whether T is one of the structs that this header and sheet_fault define.
template <class T>
inline constexpr bool is_operator_type =
    (std::is_same_v<T, sheet_fault> || std::is_same_v<T, check_result> ||
     std::is_same_v<T, submit_request> || std::is_same_v<T, submit_result> ||
     std::is_same_v<T, sheet_view> || std::is_same_v<T, domain_view> ||
     std::is_same_v<T, server_status> || std::is_same_v<T, log_view> ||
     std::is_same_v<T, status_view> || std::is_same_v<T, member_status> ||
     std::is_same_v<T, members_view> || std::is_same_v<T, service_pressure> ||
     std::is_same_v<T, pressure_view> || std::is_same_v<T, drain_result> ||
     std::is_same_v<T, explain_view>);

/// Writes a struct as a JSON object. Instantiated for every operator type.
template <class T, std::enable_if_t<is_operator_type<T>, int> = 0>
void to_json(nlohmann::json& out, const T& value);

/// Reads a struct from a JSON object. Throws codec_error that names the member at fault.
template <class T, std::enable_if_t<is_operator_type<T>, int> = 0>
void from_json(const nlohmann::json& in, T& value);

/// Returns a struct as JSON text. Bytes that are no UTF-8 are replaced.
template <class Body>
std::string to_body(const Body& value);

/// Reads a struct from JSON text. Throws codec_error that names the member at fault.
template <class Body>
Body parse_body(const std::string& text);

/// Reads one line of GET /v1/events. Throws codec_error.
event_view parse_event_line(const std::string& line);

} // namespace fescueridge
