#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "fescueridge/base/endpoint.hpp"
#include "fescueridge/transport/byte_account.hpp"
#include "fescueridge/transport/http.hpp"

namespace asio
{
class io_context;
}

namespace fescueridge
{

namespace detail
{
class http_server_impl;
}

/// Input of a peer that the server did not accept.
enum class http_fault_kind : std::uint8_t
{
    malformed,        ///< Not HTTP/1.x; answered 400.
    body_too_large,   ///< Body over the limit; answered 413.
    header_too_large, ///< Header block over the limit; answered 431.
    no_room,          ///< Too many bytes are held for peers; answered 503, not run.
    stalled,          ///< Lost its room: it made no progress while others needed it.
    cut,              ///< The peer closed in the middle of a request.
    timed_out         ///< The rest of a request did not come in time; answered 408.
};

/// Returns the stable name of a kind, for events.
std::string_view to_string(http_fault_kind value) noexcept;

/// Reports input that the server did not accept. The connection is closed afterwards.
struct http_fault
{
    http_fault_kind kind = http_fault_kind::malformed;
    endpoint peer;
    std::string detail;
};

/// One request that waits for its answer. Safe for use from several threads. When the
/// last owner lets go of it without an answer, the server answers 500.
class http_exchange
{
public:
    http_exchange() = default;
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    virtual ~http_exchange() = default;

    /// Sends the answer. Only the first call has an effect; it has none once the peer has
    /// closed.
    virtual void respond(http_response response) = 0;

    /// Sets the function that is called once, on an io thread, when the peer closes its
    /// side before the answer or when the server is closed. Called soon, never from
    /// inside on_closed, if that has already happened. A peer that only shuts down its
    /// sending side counts as closed.
    virtual void on_closed(std::function<void()> callback) = 0;

    /// Returns the address of the peer.
    virtual endpoint peer() const = 0;
};

/// Limits and callbacks of an http_server.
struct http_server_options
{
    /// Larger requests are refused with 431 or 413.
    message_limits limits;

    /// Longest time from the first byte of a request to its last one. A peer may take no
    /// byte of an answer for twice that. Without it a peer that stops in the middle holds
    /// its connection and up to limits.body bytes for ever.
    milliseconds transfer_timeout{30'000};

    /// Time after which a connection without a request is closed; 0 for none.
    milliseconds idle_timeout{0};

    /// Most requests of one connection that are with the handler at the same time. Their
    /// answers are sent in the order of the requests.
    std::size_t max_pipelined = 1;

    /// Counts what is held for the peers of this and other servers; may be null. When it
    /// is full, peers without progress lose their connections, the largest first, and
    /// requests that need room are refused with 503 before they are handed over.
    std::shared_ptr<byte_account> account;

    /// Most open connections; 0 for no limit. Beyond it the connection that has been idle
    /// longest is closed, else one whose peer makes no progress, else the new one.
    std::size_t max_connections = 0;

    /// Called on an io thread for each fault; may be empty.
    std::function<void(const http_fault&)> on_fault;
};

/// HTTP/1.1 server with keep-alive. Requests sent ahead of an answer (pipelining) go to
/// the handler up to max_pipelined at a time; others wait in the connection.
class http_server
{
public:
    /// Called on an io thread for each whole request. Must not block.
    using handler = std::function<void(http_request, std::shared_ptr<http_exchange>)>;

    /// Listens at once; port 0 picks a free port. Throws address_error when the address
    /// is in use or not usable.
    http_server(asio::io_context& io, const endpoint& listen, handler on_request,
                http_server_options options = {});

    /// Closes the server. A handler that runs at that moment on another thread may still
    /// finish, and the on_closed functions of waiting requests follow on io threads.
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Returns the address listened on, with the real port.
    endpoint bound() const;

    /// Changes the size limits, for requests that begin from now on.
    void set_limits(message_limits limits);

    /// Changes the time limits, for requests and idle times that start from now on.
    void set_timeouts(milliseconds transfer, milliseconds idle);

    /// Lets each answer from now on carry Connection: close; new connections are still
    /// accepted.
    void close_after_answers();

    /// Closes the listening socket. Connections stay; each answer from now on carries
    /// Connection: close.
    void stop_accepting();

    /// Returns the number of requests handed to the handler whose peer still waits for
    /// the end of the answer.
    std::size_t open_exchanges() const noexcept;

    /// Returns the number of open connections.
    std::size_t open_connections() const noexcept;

    /// Returns the largest number of connections that were open at the same time.
    std::size_t peak_connections() const noexcept;

    /// Closes the listening socket and all connections at once.
    void close();

private:
    std::shared_ptr<detail::http_server_impl> impl_;
};

} // namespace fescueridge
