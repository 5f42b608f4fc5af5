#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/transport/http_server.hpp"
#include "http_message.hpp"
#include "net.hpp"

namespace fescueridge::detail
{

class server_connection;

class http_server_impl : public std::enable_shared_from_this<http_server_impl>
{
public:
    http_server_impl(asio::io_context& io, const endpoint& listen,
                     http_server::handler on_request, http_server_options options)
        : io_(io), acceptor_(io), retry_(io), on_request_(std::move(on_request)),
          options_(std::move(options)), header_limit_(options_.limits.header),
          body_limit_(options_.limits.body), transfer_timeout_(options_.transfer_timeout),
          idle_timeout_(options_.idle_timeout)
    {
        open(listen);
    }

    void accept();
    void stop_accepting();
    void close();
    void add(const std::shared_ptr<server_connection>& connection);
    void remove(const std::shared_ptr<server_connection>& connection);
    void report(const http_fault& fault) const;

    /// Returns whether `bytes` more may be held; else lets the peers that make no
    /// progress go, for the benefit of later requests.
    bool make_room(std::size_t bytes);
    void charge(std::size_t before, std::size_t after) const;

    void request(http_request request, std::shared_ptr<http_exchange> exchange)
    {
        on_request_(std::move(request), std::move(exchange));
    }

    void set_limits(message_limits limits)
    {
        header_limit_ = limits.header;
        body_limit_ = limits.body;
    }

    void set_timeouts(milliseconds transfer, milliseconds idle)
    {
        transfer_timeout_ = transfer;
        idle_timeout_ = idle;
    }

    endpoint bound_;
    std::atomic<std::size_t> exchanges_{0};
    std::atomic<std::size_t> connections_{0};
    std::atomic<std::size_t> peak_{0};
    std::atomic<bool> accepting_{true};
    std::atomic<bool> keep_alive_{true};
    std::atomic<bool> closed_{false};

    message_limits limits() const { return {header_limit_, body_limit_}; }
    std::size_t max_pipelined() const { return options_.max_pipelined; }
    milliseconds transfer_timeout() const { return transfer_timeout_; }
    milliseconds idle_timeout() const { return idle_timeout_; }

private:
    void open(const endpoint& listen);
    void accept_later();
    std::shared_ptr<server_connection> largest_stalled();
    std::shared_ptr<server_connection>
    surplus_connection(const std::shared_ptr<server_connection>& added);

    asio::io_context& io_;
    std::mutex mutex_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer retry_;
    std::set<std::shared_ptr<server_connection>> open_;
    http_server::handler on_request_;
    http_server_options options_;
    std::atomic<std::size_t> header_limit_;
    std::atomic<std::size_t> body_limit_;
    std::atomic<milliseconds> transfer_timeout_;
    std::atomic<milliseconds> idle_timeout_;
};

class exchange_impl;

/// A request that was handed over and whose answer has not been written yet.
struct pending_answer
{
    std::weak_ptr<exchange_impl> exchange;
    std::optional<http_response> response;
    std::size_t request_bytes = 0; ///< Charged until the answer is written.
    bool head = false;
    bool keep_alive = true;
    bool counted = true; ///< Counts as an open exchange; an error answer does not.
};

using pending_ptr = std::shared_ptr<pending_answer>;

/// One accepted connection. All members are used from its strand only.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(std::shared_ptr<http_server_impl> server, strand_socket socket)
        : server_(std::move(server)), socket_(std::move(socket)),
          read_timer_(socket_.get_executor()), write_timer_(socket_.get_executor()),
          parser_(HTTP_REQUEST)
    {
    }

    void start();
    void answer(const pending_ptr& to, http_response response);
    void abort();
    strand_type strand() { return socket_.get_executor(); }
    const endpoint& peer() const { return peer_; }

    /// These may be called from any thread.
    std::size_t held_bytes() const noexcept { return held_bytes_; }
    milliseconds stalled_for(time_point now) const noexcept
    {
        return now - moved_at_.load();
    }
    bool is_idle() const noexcept { return idle_; }
    bool waits_for_peer() const noexcept { return waits_for_peer_; }
    void evict(const std::string& reason);

private:
    /// What the read timer bounds.
    enum class read_phase : std::uint8_t
    {
        none,
        idle,
        request,
        lingering
    };

    void read();
    void on_readable(asio::error_code ec);
    void process(const char* data, std::size_t size);
    void process_ahead();
    bool may_hand_over() const;
    void send_continue();
    void hand_over();
    void refuse(http_fault_kind kind, const std::string& problem);
    bool has_room_for_request();
    void update_held();
    void made_progress() noexcept { moved_at_ = clock::now(); }
    void write_next();
    void write(pending_answer& answer);
    void write_rest();
    void start_write_timer();
    void on_written(asio::error_code ec);
    void lost();
    void end_exchange(const pending_answer& answer);
    void drop_pending();
    void start_read_timer(read_phase phase, milliseconds time);
    void stop_read_timer();
    void on_read_timer();
    void wait_for_request();
    void linger();
    void shut();

    std::shared_ptr<http_server_impl> server_;
    strand_socket socket_;
    asio::steady_timer read_timer_;
    asio::steady_timer write_timer_;
    message_parser parser_;
    std::string ahead_;
    std::string out_;
    std::size_t written_bytes_ = 0; ///< Of out_.
    std::deque<pending_ptr> pending_;
    endpoint peer_;
    read_phase phase_ = read_phase::none;
    bool reading_ = false;
    bool writing_ = false;
    bool last_request_ = false; ///< No request after this one is taken.
    bool closed_ = false;
    std::atomic<std::size_t> held_bytes_{0};
    std::atomic<time_point> moved_at_{clock::now()}; ///< Last bytes in either direction.
    std::atomic<bool> idle_{true};
    /// For the rest of a request, or for the peer to take an answer.
    std::atomic<bool> waits_for_peer_{false};
};

class exchange_impl : public http_exchange
{
public:
    exchange_impl(std::shared_ptr<server_connection> connection, pending_ptr pending)
        : connection_(std::move(connection)), pending_(std::move(pending))
    {
    }

    ~exchange_impl() override
    {
        if (!answered_)
            give(plain_response(500, "no answer"));
    }

    void respond(http_response response) override
    {
        std::function<void()> dropped;
        {
            const std::lock_guard lock(mutex_);
            if (answered_ || closed_)
                return;
            answered_ = true;
            dropped = std::move(callback_);
            callback_ = nullptr;
        }
        give(std::move(response));
    }

    void on_closed(std::function<void()> callback) override
    {
        const std::lock_guard lock(mutex_);
        if (answered_)
            return;
        if (closed_)
            asio::post(connection_->strand(), std::move(callback));
        else
            callback_ = std::move(callback);
    }

    endpoint peer() const override { return connection_->peer(); }

    void peer_closed()
    {
        std::function<void()> callback;
        {
            const std::lock_guard lock(mutex_);
            if (answered_ || closed_)
                return;
            closed_ = true;
            callback = std::move(callback_);
            callback_ = nullptr;
        }
        if (callback)
            callback();
    }

private:
    void give(http_response response)
    {
        asio::dispatch(connection_->strand(), [connection = connection_, to = pending_,
                                               response = std::move(response)]() mutable
                       { connection->answer(to, std::move(response)); });
    }

    std::shared_ptr<server_connection> connection_;
    pending_ptr pending_;
    std::mutex mutex_;
    std::function<void()> callback_;
    bool answered_ = false;
    bool closed_ = false;
};

} // namespace fescueridge::detail
