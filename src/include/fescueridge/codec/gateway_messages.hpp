#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/endpoint.hpp"
#include "fescueridge/base/request_rank.hpp"
#include "fescueridge/base/server_state.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/header_field.hpp"

namespace fescueridge
{

/// Messages between the gateway nodes: requests on their way to the node beside a backend
/// server, and what the nodes tell each other about themselves.

/// Revision of these messages that a node reads, which it states in its hello. The first
/// one has compact ranks, and times of an hour at most.
enum class link_revision : std::uint8_t
{
    compact_values, ///< Nodes until December 2026.
    wide_values
};

/// Whether a request may run again after an attempt that may have run.
enum class repeat_rule : std::uint8_t
{
    idempotent,  ///< May run more than once.
    at_most_once ///< Must not run a second time.
};

/// A request for the backend server beside the receiver.
struct forward_message
{
    std::uint64_t number = 0; ///< Chosen by the sender; unique on its link.
    request_id request;
    route_name route;
    service_name service;
    service_name caller; ///< Service of the VM where the request began.
    tenant_name tenant;  ///< Of the client; empty for calls and without tenants.
    milliseconds time_left{0};
    milliseconds target_latency{0};
    request_rank rank; ///< Of the request of a client that it is part of, where known.
    bool from_server = false; ///< A backend server's own call, part of a running request.
    repeat_rule repeat = repeat_rule::at_most_once;
    std::string method;
    std::string target;
    std::string authority;
    std::vector<header_field> headers;
    std::string body;
};

/// What became of a forwarded request.
enum class forward_result : std::uint8_t
{
    answered, ///< The backend server answered; status, headers and body are its answer.
    not_run,  ///< It did not run and never will.
    unknown   ///< It may have run; there is no whole answer.
};

/// Why a forwarded request has no answer.
enum class forward_failure : std::uint8_t
{
    none,
    queue_full,       ///< It would have waited too long for a slot.
    deadline,         ///< Its time ran out.
    server_leaving,   ///< The backend server is draining or gone, or the node stops.
    server_down,      ///< No connection to the backend server.
    server_rejected,  ///< The backend server turned it away without running it.
    server_broke_off, ///< The connection ended or spoiled the answer.
    quarantined,      ///< Earlier runs of this request crashed backend servers.
    link_lost,        ///< The link between the nodes broke.
    cancelled         ///< The client left, or the request was taken back.
};

/// How busy the backend server beside a node is.
struct server_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// The outcome of a forwarded request, with the load at its end.
struct forward_reply_message
{
    std::uint64_t number = 0;
    forward_result result = forward_result::unknown;
    forward_failure failure = forward_failure::none;
    int status = 0;
    std::vector<header_field> headers;
    std::string body;
    server_load load;
};

/// The client of a forwarded request has left.
struct forward_cancel_message
{
    std::uint64_t number = 0;
};

/// The sender takes a forwarded request back unless it was sent to the backend server.
/// One that still waits is replied to as not run; the others get their usual reply.
struct forward_recall_message
{
    std::uint64_t number = 0;
};

/// The backend server beside a node, as it announced itself.
struct server_record
{
    instance_id id;
    service_name service;
    slot_count slots;
    server_state state = server_state::gone;
    std::int64_t born_ms = 0;   ///< Wall-clock time of its start by its own clock.
    std::uint64_t sequence = 0; ///< Grows with each announcement of one start.
};

/// Requests per second of a route and priority that begin at a node. Those of clients
/// that come back after an attempt that failed are counted apart.
struct route_arrivals
{
    route_name route;
    double new_per_s = 0;
    double returned_per_s = 0;
    std::optional<request_rank> rank; ///< Null stands for the priority of the route.
};

/// How long a request of a route holds a slot at the backend server beside a node.
struct route_slot_time
{
    route_name route;
    double ms = 0;
};

/// How often a run of one route calls another route.
struct call_edge
{
    route_name from;
    route_name to;
    double calls_per_run = 0;
};

/// What a node tells the others about itself, a few times a second and on each change.
struct node_report_message
{
    config_version version;
    /// Time since it was certain that the log had no newer version.
    milliseconds config_unconfirmed_for{0};
    std::optional<server_record> server;
    bool accepting = false; ///< The node takes forwarded requests for its server.
    server_load load;
    std::uint32_t limit = 0;           ///< Requests that it lets run at the same time.
    std::optional<call_rate> max_rate; ///< Requests a second that the server accepts.
    double queue_wait_share = 0; ///< Mean wait for a slot, of late, as a part of the
    ///< target latencies.
    double service_ms = 0; ///< Mean time at the server, of late.
    std::vector<route_arrivals> arrivals;
    /// The rest changes slowly: only some reports carry it.
    bool with_learned = false;
    std::vector<route_slot_time> slot_times;
    std::vector<call_edge> calls;
    /// Fraction of the requests that the server turned away of late without running them.
    double rejected_share = 0;
    /// Time that the requests at the server are still likely to need; 0 when unknown.
    double running_work_ms = 0;
    double waiting_work_ms = 0;
};

/// Asks for the routing configuration if it is newer than `have`.
struct config_pull_message
{
    config_version have;
};

/// The whole routing configuration as its operators wrote it.
struct config_push_message
{
    config_version version;
    std::string content;
};

/// Where a node can be reached.
struct node_record
{
    node_id node;
    std::int64_t started_ms = 0; ///< Wall-clock time of the start of its process.
    domain_name domain;
    endpoint link;
};

/// The nodes that the sender knows.
struct known_nodes_message
{
    std::vector<node_record> nodes;
};

/// What the sender last heard of the receiver's own backend server. A process that was
/// restarted learns from it what its predecessor acknowledged.
struct own_server_message
{
    server_record server;
    std::optional<call_rate> max_rate; ///< Requests a second that the server accepts.
};

/// Departure of a backend server, as stored in the log: the starts under this id up to
/// `until_ms`, the wall-clock time of the last of them, have left.
struct departed_start_message
{
    node_id node; ///< The node beside the server.
    instance_id id;
    std::int64_t until_ms = 0;
    std::int64_t recorded_ms = 0; ///< Wall-clock time at which the record was written.
};

/// Asks a home of a quota for tokens.
struct quota_ask_message
{
    quota_name quota;
    std::uint32_t tokens = 1;
};

/// The answer: tokens that the receiver may spend, or the time until there are some.
struct quota_grant_message
{
    quota_name quota;
    std::uint32_t tokens = 0;
    milliseconds retry_after{0};
};

/// A message of a type that this version does not know. It is ignored.
struct unknown_message
{
    int type = 0;
};

/// A request that was running when the backend server beside the sender crashed.
struct suspect_message
{
    fingerprint request;
    std::uint64_t crash = 0; ///< Identifies the crash.
};

} // namespace fescueridge
