#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

#include "fescueridge/transport/link_hub.hpp"
#include "net.hpp"
#include "websocket_config.hpp"

namespace fescueridge::detail
{

class link_hub_impl;

/// Closes a connection whose link or hub has ended while it was being opened.
void drop(const websocketpp::connection_hdl& handle);

/// One link. The state changes only on the strand of its connection.
class link_impl : public link, public std::enable_shared_from_this<link_impl>
{
public:
    link_impl(std::shared_ptr<link_hub_impl> hub, websocket_ptr connection,
              endpoint remote, bool dialled)
        : hub_(std::move(hub)), connection_(std::move(connection)),
          remote_(std::move(remote)), dialled_(dialled)
    {
    }

    bool send(const link_message& message) override;
    bool send_encoded(const encoded_message& message) override;
    void expect_reply(milliseconds timeout) override;
    const hello_message& peer() const noexcept override { return peer_; }
    endpoint remote() const override { return remote_; }
    bool dialled() const noexcept override { return dialled_; }
    bool is_open() const noexcept override { return state_ == state::open; }
    milliseconds silent_for() const override
    {
        return clock::now() - last_received_.load();
    }
    milliseconds unanswered_for() const override;
    void close() override { end_soon({}); }

    void attach();
    void on_websocket_open();
    void tick(time_point now);

    std::vector<link_hub::dial_callback> waiters_; ///< Guarded by the hub's mutex.

    /// Returns the bytes that wait to be sent.
    std::size_t waiting_bytes() const { return connection_->get_buffered_amount(); }

private:
    enum class state : std::uint8_t
    {
        opening,
        open,
        closed
    };

    void on_frame(const websocket_client::message_ptr& frame);
    void on_message(link_message message);
    void on_first(link_message message);
    void on_end();
    bool write(const link_message& message);
    bool write_bytes(const std::string& bytes);
    void ping_if_due(time_point now, milliseconds silent_for);
    void end_soon(std::optional<link_fault> fault);
    void end(const std::optional<link_fault>& fault);
    link_fault fault(link_fault_kind kind, std::string detail) const;

    std::shared_ptr<link_hub_impl> hub_;
    websocket_ptr connection_;
    endpoint remote_;
    bool dialled_;
    hello_message peer_;
    std::atomic<state> state_{state::opening};
    std::atomic<bool> upgraded_{false};
    std::atomic<time_point> last_received_{clock::now()};
    std::atomic<time_point> in_use_until_{time_point{}};
    /// Of the first ping after which nothing was received; the epoch when there is none.
    std::atomic<time_point> unanswered_ping_{time_point{}};
    time_point next_ping_{};
    time_point last_not_full_ = clock::now();
};

class link_hub_impl : public std::enable_shared_from_this<link_hub_impl>
{
public:
    link_hub_impl(asio::io_context& io, link_hub::hello_source hello, event_log& events,
                  link_callbacks callbacks, link_options options)
        : io_(io), hello_(std::move(hello)), events_(events),
          callbacks_(std::move(callbacks)), options_(options), timer_(io), acceptor_(io),
          accept_timer_(io)
    {
        client_.clear_access_channels(websocketpp::log::alevel::all);
        client_.clear_error_channels(websocketpp::log::elevel::all);
        server_.clear_access_channels(websocketpp::log::alevel::all);
        server_.clear_error_channels(websocketpp::log::elevel::all);
        client_.init_asio(&io_);
        server_.init_asio(&io_);
    }

    void listen(const endpoint& where);
    void accept();
    void accept_later();
    void start_timer();
    void dial(const endpoint& target, const link_hub::dial_callback& done);
    void accepted(const websocket_ptr& connection);
    void opened(const std::shared_ptr<link_impl>& link);
    void ended(const std::shared_ptr<link_impl>& link);
    link_ptr find(const node_id& node) const;
    std::vector<link_ptr> links() const;
    bool may_wait(std::size_t bytes) const;
    void close();

    void report(const link_fault& fault) const
    {
        if (callbacks_.on_fault && !closed_)
            callbacks_.on_fault(fault);
    }

    asio::io_context& io_;
    link_hub::hello_source hello_;
    event_log& events_;
    link_callbacks callbacks_;
    link_options options_;
    endpoint bound_;
    std::atomic<bool> closed_{false};
    std::atomic<std::uint64_t> bytes_sent_{0};
    std::atomic<std::uint64_t> bytes_received_{0};
    std::atomic<std::uint64_t> unknown_messages_{0};

private:
    using link_set = std::set<std::shared_ptr<link_impl>>;

    std::shared_ptr<link_impl> find_dialled(const endpoint& target) const;
    void connect(const std::shared_ptr<link_impl>& link, const websocket_ptr& connection);
    void dial_failed(const endpoint& target, const std::string& reason,
                     const link_hub::dial_callback& done);
    void tick();

    websocket_client client_;
    websocket_server server_;
    asio::steady_timer timer_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer accept_timer_;
    mutable std::mutex mutex_;
    link_set links_;
};

} // namespace fescueridge::detail
