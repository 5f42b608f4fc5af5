#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "fescueridge/transport/http_client_pool.hpp"
#include "http_message.hpp"
#include "net.hpp"

namespace fescueridge::detail
{

class client_connection;
class http_client_pool_impl;

/// One request on its way through a pool.
class client_call
{
public:
    client_call(asio::io_context& io, std::string bytes, bool head,
                http_client_pool::callback done, answer_filter belongs)
        : bytes_(std::move(bytes)), head_(head), belongs_(std::move(belongs)), timer_(io),
          done_(std::move(done))
    {
    }

    /// Calls the callback, unless that has happened already.
    void finish(http_result result);

    /// Tells whether the callback has been called or is being called.
    bool ended() const noexcept { return ended_; }

    std::string bytes_;
    bool head_;
    answer_filter belongs_; ///< May be empty: every answer belongs to the request.
    asio::steady_timer timer_;
    std::weak_ptr<http_client_pool_impl> pool_;

    /// Set while the call is assigned to a connection; guarded by the pool's mutex.
    std::shared_ptr<client_connection> connection_;

    /// Set under the pool's mutex when an assigned call is to end. A connection that has
    /// not started the call yet must not start it any more.
    std::atomic<bool> aborted_{false};
    std::atomic<http_failure_kind> abort_kind_{http_failure_kind::cancelled};

private:
    http_client_pool::callback done_;
    std::atomic<bool> ended_{false};
};

using call_ptr = std::shared_ptr<client_call>;

/// What a connection reports to its pool.
class connection_owner
{
public:
    connection_owner() = default;
    connection_owner(const connection_owner&) = delete;
    connection_owner& operator=(const connection_owner&) = delete;
    virtual ~connection_owner() = default;

    /// The connection is open and free for the next call.
    virtual void became_idle(const std::shared_ptr<client_connection>& connection) = 0;

    /// The connection could not be opened.
    virtual void failed_to_open(const std::shared_ptr<client_connection>& connection,
                                const std::string& reason) = 0;

    /// The connection is closed.
    virtual void closed(const std::shared_ptr<client_connection>& connection) = 0;

    /// The bytes of incomplete answers held by a connection have changed from `before` to
    /// `now`. Returns false when the connection holds too many.
    virtual bool buffered(std::size_t before, std::size_t now) = 0;

    /// The connection was found closed before anything of the call was written.
    virtual void give_back(const call_ptr& call) = 0;
};

/// One connection of a pool. Members are used from its strand only.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    client_connection(asio::io_context& io, std::shared_ptr<connection_owner> owner,
                      const http_client_options& options);

    void open(const asio::ip::tcp::endpoint& target);
    void start(const call_ptr& call);
    void abort(const call_ptr& call, http_failure_kind kind);
    void close();

private:
    void on_connected(asio::error_code ec);
    void run(const call_ptr& call);
    bool readable_or_closed();
    void read();
    void on_readable(asio::error_code ec);
    void on_written(asio::error_code ec, std::size_t size);
    void on_answer_bytes(const char* data, std::size_t size);
    bool is_answer_bounded(std::size_t size);
    void release_buffered();
    void on_answer(bool reusable, const char* rest = nullptr, std::size_t size = 0);
    void on_end();
    void skip_answer(const char* rest, std::size_t size);
    void note_idle_timeout(const http_response& response);
    void reuse();
    void become_idle();
    void fail(http_failure_kind kind, bool sent, std::string detail);
    void shut();

    std::shared_ptr<connection_owner> owner_;
    strand_socket socket_;
    http_client_options options_;
    milliseconds idle_timeout_;
    asio::steady_timer open_timer_;
    asio::steady_timer idle_timer_;
    message_parser parser_;
    call_ptr call_;
    call_ptr writing_;
    std::size_t received_bytes_ = 0; ///< Since the call was started.
    std::size_t buffered_bytes_ = 0; ///< Reported to the owner.
    bool reading_ = false;
    bool idle_after_write_ = false;
    bool end_after_write_ = false; ///< The answer has ended, with the peer's side.
    connection_use use_ = connection_use::first_request;
    bool connected_ = false;
    bool closed_ = false;
};

} // namespace fescueridge::detail
