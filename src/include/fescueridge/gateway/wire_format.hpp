#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "fescueridge/base/error.hpp"
#include "fescueridge/gateway/routing_config.hpp"
#include "fescueridge/transport/http.hpp"
#include "fescueridge/transport/http_client_pool.hpp"

namespace fescueridge::gateway
{

/// Fields that the gateway reads from the header of a client's request.
struct client_request_head
{
    request_id id;
    std::optional<milliseconds> time_left; ///< Remaining time that the client waits.
    std::string authority;                 ///< Requested host.
    std::vector<client_key> keys;          ///< Each one that the request carries.
};

/// Outcome of a request according to the answer of the backend server.
enum class server_verdict : std::uint8_t
{
    answered,     ///< The server ran the request and answered it.
    not_run,      ///< The server rejected the request without running it.
    wrong_server, ///< Another start of a server has the address; the request was not run.
    /// The answer claims that the request was not run but lacks the server's mark.
    unmarked_not_run,
    unmarked_success ///< The answer is a success but lacks the server's mark.
};

/// What a backend server states about itself in any of its answers.
struct server_notice
{
    std::optional<call_rate> max_rate; ///< Accepted requests per second of all nodes.
    bool max_rate_unusable = false; ///< A rate is stated that is not a positive number.
    bool leaving = false;           ///< The server will end and takes no new requests.
};

/// Reason for which the gateway rejects a request.
enum class rejection : std::uint8_t
{
    bad_request,   ///< A required field is missing or malformed.
    no_route,      ///< No route matches the request.
    unauthorized,  ///< The request needs exactly one key that a tenant holds.
    unusable,      ///< The configuration's entry for it cannot be used; not run.
    no_config,     ///< The node has no routing configuration yet; not run.
    quota,         ///< The tenant has used up its quota; not run.
    overload,      ///< The services behind the route lack capacity; not run.
    no_server,     ///< No backend server is available for the request; not run.
    stopping,      ///< The node is shutting down; not run.
    quarantined,   ///< Earlier runs of the request crashed backend servers; not run.
    server_failed, ///< The server failed or closed the connection; may have run.
    link_failed,   ///< The link to the node beside the server failed; may have run.
    interrupted,   ///< The node ends before the server has answered; may have run.
    timeout        ///< The deadline passed; may have run.
};

/// Returns the name of a rejection in logs and metrics; stable across versions.
std::string_view to_string(rejection value) noexcept;

/// Returns whether the rejection guarantees that the request has not run and never will.
bool guarantees_not_run(rejection value) noexcept;

/// An announcement of a backend server to the node beside it.
struct server_heartbeat
{
    server_record server;
    endpoint address;
    domain_name domain;
    milliseconds cold_left{0}; ///< Remaining time of slow operation after the start.
};

/// Notice that a backend server leaves.
struct server_departure
{
    instance_id id;
    std::optional<std::int64_t> born_ms;
};

using server_announcement = std::variant<server_heartbeat, server_departure>;

/// Returns whether the server states that it leaves.
bool states_leaving(const server_announcement& announcement);

/// A version of the configuration of which no part can be applied.
class unusable_config : public codec_error
{
public:
    unusable_config(config_version version, const std::string& detail)
        : codec_error(detail), version_(version)
    {
    }

    config_version version() const noexcept { return version_; }

private:
    config_version version_;
};

/// Interface to the formats used by clients, backend servers and operators: field names,
/// status codes and encodings. Implementations only translate; they make no decisions.
class wire_format
{
public:
    wire_format() = default;
    wire_format(const wire_format&) = delete;
    wire_format& operator=(const wire_format&) = delete;
    virtual ~wire_format() = default;

    /// Reads the header of a client's request. Missing fields are left empty.
    virtual client_request_head
    read_client_request(const http_request& request) const = 0;

    /// Returns whether the protocol needs a field of this name from end to end, so that a
    /// Connection field cannot remove it.
    virtual bool is_end_to_end(std::string_view field) const = 0;

    /// Removes header fields that only the gateway may set.
    virtual void remove_reserved_fields(std::vector<header_field>& headers) const = 0;

    /// Returns the request to send to the backend server with this instance id.
    virtual http_request make_server_request(const forward_message& call,
                                             const instance_id& server,
                                             milliseconds time_left) const = 0;

    /// Returns whether an answer on a connection belongs to the request. One that names
    /// no request does only if it can be no other's.
    virtual bool belongs_to(const http_response& answer, const request_id& id,
                            connection_use use) const = 0;

    /// Returns the outcome of the request according to an answer. An answer that does not
    /// name the request never proves that it was not run: the server may have written an
    /// earlier refusal once more.
    virtual server_verdict classify_answer(const http_response& answer,
                                           const request_id& id) const = 0;

    /// Returns what the server states about itself in an answer.
    virtual server_notice read_notice(const http_response& answer) const = 0;

    /// Returns the answer to a request that the gateway rejects. `retry_after` is the
    /// time after which the client may retry.
    virtual http_response
    make_rejection(rejection reason, const request_id& id,
                   std::optional<milliseconds> retry_after) const = 0;

    /// Returns the instance id of the server that answered a health check, or null if it
    /// is not healthy.
    virtual std::optional<instance_id>
    healthy_instance(const http_response& answer) const = 0;

    /// Reads an announcement. Throws codec_error when it does not describe a usable
    /// server.
    virtual server_announcement read_announcement(const http_request& request) const = 0;

    /// Returns the answer to an accepted announcement.
    virtual http_response make_acknowledgement() const = 0;

    /// Reads a routing configuration; values that cannot be used are among its faults.
    /// Throws unusable_config when no part can be applied, and codec_error when not even
    /// its version can be read.
    virtual routing_config read_config(const std::string& content) const = 0;
};

} // namespace fescueridge::gateway
