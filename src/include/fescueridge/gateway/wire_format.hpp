#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "fescueridge/gateway/routing_config.hpp"
#include "fescueridge/transport/http.hpp"

namespace fescueridge::gateway
{

/// What the gateway reads from the head of a client's request.
struct client_call
{
    request_id id;
    std::optional<milliseconds> time_left; ///< How long the client still waits.
    std::string authority;                 ///< Host that the request is for.
};

/// What the answer of a backend server says about the request.
enum class server_verdict : std::uint8_t
{
    answered,     ///< The server's answer to the request.
    not_run,      ///< The server turned the request away and did not run it.
    wrong_server, ///< Another start of a server has the address; it did not run it.
    misleading    ///< Says that nothing ran, without the server's own mark for that.
};

/// Why the gateway itself answers a request.
enum class rejection : std::uint8_t
{
    bad_request,   ///< A field that the gateway needs is missing or unreadable.
    no_route,      ///< No route leads anywhere.
    no_config,     ///< The node does not know any configuration yet; not run.
    overload,      ///< The services behind the route lack the capacity; not run.
    no_server,     ///< No backend server could take the request; not run.
    stopping,      ///< The node ends soon; not run.
    quarantined,   ///< Earlier runs of the request crashed backend servers; not run.
    server_failed, ///< The server broke off; the request may have run.
    link_failed,   ///< The node beside the server was lost; the request may have run.
    timeout        ///< Time ran out; the request may have run.
};

/// Returns the stable name of a rejection, for logs and metrics.
std::string_view to_string(rejection value) noexcept;

/// Tells whether the rejection promises that the request has not run and never will.
bool promises_not_run(rejection value) noexcept;

/// An announcement of a backend server to the node beside it.
struct server_heartbeat
{
    server_record server;
    endpoint address;
    domain_name domain;
    milliseconds cold_left{0}; ///< How much longer the server is slow after its start.
};

/// A backend server leaves.
struct server_departure
{
    instance_id id;
    std::optional<std::int64_t> born_ms;
};

using server_announcement = std::variant<server_heartbeat, server_departure>;

/// Port to the words of clients, backend servers and operators: names of fields, codes
/// and formats. Implementations translate and decide nothing.
class wire_format
{
public:
    wire_format() = default;
    wire_format(const wire_format&) = delete;
    wire_format& operator=(const wire_format&) = delete;
    virtual ~wire_format() = default;

    /// Reads the head of a client's request. Missing fields are left empty.
    virtual client_call read_client_request(const http_request& request) const = 0;

    /// Removes the fields that only the gateway may set.
    virtual void remove_reserved_fields(std::vector<header_field>& headers) const = 0;

    /// Returns the request to send to the backend server with this start.
    virtual http_request make_server_request(const forward_message& call,
                                             const instance_id& server,
                                             milliseconds time_left) const = 0;

    /// Tells whether an answer on a connection belongs to the request.
    virtual bool belongs_to(const http_response& answer, const request_id& id) const = 0;

    /// Returns what an answer says about the request.
    virtual server_verdict judge(const http_response& answer) const = 0;

    /// Returns the answer for a request that the gateway rejects. `retry_after` says when
    /// the client may come back.
    virtual http_response
    make_rejection(rejection why, const request_id& id,
                   std::optional<milliseconds> retry_after) const = 0;

    /// Returns the start of the server that answered a health check, if it is healthy.
    virtual std::optional<instance_id>
    healthy_instance(const http_response& answer) const = 0;

    /// Reads an announcement. Throws codec_error when it names no usable server.
    virtual server_announcement read_announcement(const http_request& request) const = 0;

    /// Returns the answer to an announcement that was taken.
    virtual http_response make_acknowledgement() const = 0;

    /// Reads a configuration. Throws codec_error when it is not valid.
    virtual routing_config read_config(const std::string& content) const = 0;
};

} // namespace fescueridge::gateway
