#pragma once

#include <cstdint>
#include <string>

#include "fescueridge/base/strong_type.hpp"

namespace fescueridge
{

/// Name of a node; unique in the fleet, from its settings.
using node_id = strong_type<std::string, struct node_id_tag>;

/// Number of one start of a node process: 64 random bits drawn at the start.
using incarnation = strong_type<std::uint64_t, struct incarnation_tag>;

/// Name of a service, as in the sheet.
using service_name = strong_type<std::string, struct service_name_tag>;

/// Name of a caller, as in the sheet.
using caller_name = strong_type<std::string, struct caller_name_tag>;

/// Name of a failure domain.
using domain_name = strong_type<std::string, struct domain_name_tag>;

/// Identifies a root request and everything done for it.
using root_id = strong_type<std::string, struct root_id_tag>;

/// Identifies one call between two processes. Never reused: it holds the incarnation of
/// the node that made it and a counter.
using call_id = strong_type<std::string, struct call_id_tag>;

/// The key under which a call must run at most once.
using idempotency_key = strong_type<std::string, struct idempotency_key_tag>;

/// Hash of the service, method, path and body of a request; equal for resends.
using fingerprint = strong_type<std::uint64_t, struct fingerprint_tag>;

/// Version of the sheet; 0 means that no sheet is known.
using sheet_version = strong_type<std::uint64_t, struct sheet_version_tag>;

/// Identifies one request of a client; each of its attempts has an id of its own.
using request_id = strong_type<std::string, struct request_id_tag>;

/// Identifies one start of a backend server.
using instance_id = strong_type<std::string, struct instance_id_tag>;

/// Name of a route in the routing configuration.
using route_name = strong_type<std::string, struct route_name_tag>;

/// Name of a tenant in the routing configuration.
using tenant_name = strong_type<std::string, struct tenant_name_tag>;

/// Secret by which a client shows that it belongs to a tenant. Never logged and never
/// sent to a backend server.
using client_key = strong_type<std::string, struct client_key_tag>;

/// Name of a quota: of a tenant, or of a limited row of the sheet.
using quota_name = strong_type<std::string, struct quota_name_tag>;

/// Version of the routing configuration; 0 means that none is known.
using config_version = strong_type<std::uint64_t, struct config_version_tag>;

/// Position of a record in a stream of the log service.
using log_offset = strong_type<std::uint64_t, struct log_offset_tag>;

/// Priority of a call: 0 is the most important, 9 the least.
using priority = strong_type<std::uint8_t, struct priority_tag>;

/// Executions that a root may still spend on retries.
using retry_allowance = strong_type<std::uint32_t, struct retry_allowance_tag>;

/// Number of calls that a backend server can run at the same time.
using slot_count = strong_type<std::uint32_t, struct slot_count_tag>;

/// Number of connections.
using connection_count = strong_type<std::uint32_t, struct connection_count_tag>;

/// Calls per second.
using call_rate = strong_type<double, struct call_rate_tag>;

/// Least important priority that exists.
constexpr std::uint8_t lowest_priority = 9;

/// Longest chain of calls under one root, as the design size states.
constexpr std::uint32_t max_call_depth = 13;

/// Spare executions of a root when the sheet says nothing else; with the first execution
/// this bounds the executions at any service to 4.
constexpr std::uint32_t default_retry_allowance = 3;

/// Largest request or answer body in bytes.
constexpr std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;

} // namespace fescueridge
