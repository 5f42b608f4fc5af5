#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/endpoint.hpp"
#include "fescueridge/transport/http.hpp"

namespace asio
{
class io_context;
}

namespace fescueridge
{

namespace detail
{
class http_client_pool_impl;
class client_call;
} // namespace detail

/// Why a request got no whole answer.
enum class http_failure_kind : std::uint8_t
{
    connect_failed, ///< No connection could be opened (refused, unreachable).
    not_sent,       ///< The connection failed before the first byte was written.
    timed_out,      ///< No whole answer in time.
    cut,            ///< The connection ended before the answer was whole.
    malformed,      ///< The answer is not HTTP/1.x or does not state its length.
    too_large,      ///< The answer is over the limits.
    cancelled,      ///< cancel() was called, or the pool was closed.
    no_connection   ///< Time ran out while all connections were busy or being opened.
};

/// Returns the stable name of a kind, for events.
std::string_view to_string(http_failure_kind value) noexcept;

/// Failure of one request.
struct http_failure
{
    http_failure_kind kind = http_failure_kind::cut;

    /// False only when certainly no byte of the request was written.
    bool sent = true;

    std::string detail;
};

/// A whole answer or a failure.
using http_result = std::variant<http_response, http_failure>;

/// Handle of a request under way; does not own it.
class http_call_handle
{
public:
    http_call_handle() = default;
    explicit http_call_handle(std::weak_ptr<detail::client_call> call)
        : call_(std::move(call))
    {
    }

    /// Ends the request: its callback gets `cancelled`, and its connection is closed.
    /// Without effect when the request has ended. Safe from every thread.
    void cancel();

private:
    std::weak_ptr<detail::client_call> call_;
};

/// How a pool treats its connections and the answers on them.
struct http_client_options
{
    /// Takes an answer without a stated length as whole when the connection ends in an
    /// orderly way after it. Without this such an answer is malformed.
    bool answers_until_end = false;

    /// Idle time after which a connection is closed when the peer's Keep-Alive field says
    /// nothing; 0 for none.
    milliseconds idle_timeout{0};

    /// How much sooner than the peer's own idle timeout a connection is closed, so that
    /// no request crosses the close of the peer.
    milliseconds idle_margin{1'000};

    /// Closes all idle connections when a request that was sent times out: they may have
    /// fallen silent together. For peers that answer every request within its timeout.
    bool close_idle_after_timeout = false;

    /// Bytes of incomplete answers that all connections may hold together; 0 for no
    /// limit. Above it, an answer that holds more than an equal share of its connection
    /// fails as too large when it grows.
    std::size_t max_buffered_bytes = 0;
};

/// Whether an answer can be a late one to an earlier request.
enum class connection_use : std::uint8_t
{
    first_request, ///< The connection has carried no request before.
    reused
};

/// Tells whether an answer belongs to the request that waits on its connection. One that
/// does not is dropped, and the next one is read.
using answer_filter = std::function<bool(const http_response&, connection_use)>;

/// Connections to one endpoint. Never holds more than `limit` connections, those being
/// opened included. A connection that saw a timeout, a cut, a partial or malformed answer
/// or a cancel is closed and never reused. Safe for use from several threads.
class http_client_pool
{
public:
    /// Called exactly once for each request, on an io thread, never from inside send().
    using callback = std::function<void(http_result)>;

    http_client_pool(asio::io_context& io, const endpoint& target, connection_count limit,
                     http_client_options options = {});

    /// Closes the pool.
    ~http_client_pool();

    http_client_pool(const http_client_pool&) = delete;
    http_client_pool& operator=(const http_client_pool&) = delete;

    /// Sends a request on an idle connection, on a new one, or, when all are busy, as
    /// soon as one is free (first come, first served). The timeout covers the waiting
    /// time as well.
    http_call_handle send(const http_request& request, milliseconds timeout,
                          callback done, answer_filter belongs = {});

    /// Opens connections in the background until n (at most the limit) are open.
    void warm(std::size_t n);

    /// Changes the limit. Connections over it are closed when they become idle.
    void set_limit(connection_count limit);

    /// Returns the number of connections, those being opened included.
    std::size_t connections() const;

    /// Returns the number of connections opened since the start, failed ones included.
    std::uint64_t opened() const;

    /// Returns the number of requests that wait for a connection.
    std::size_t waiting() const;

    /// Closes all connections; requests under way get `cancelled`.
    void close();

private:
    std::shared_ptr<detail::http_client_pool_impl> impl_;
};

} // namespace fescueridge
