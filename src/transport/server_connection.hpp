#pragma once

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "fescueridge/transport/http_server.hpp"
#include "http_message.hpp"
#include "net.hpp"

namespace fescueridge::detail
{

constexpr std::size_t server_read_size = 8192;

class server_connection;

class http_server_impl : public std::enable_shared_from_this<http_server_impl>
{
public:
    http_server_impl(asio::io_context& io, const endpoint& listen,
                     http_server::handler on_request, http_server_options options)
        : io_(io), acceptor_(io), retry_(io), on_request_(std::move(on_request)),
          options_(std::move(options))
    {
        open(listen);
    }

    void accept();
    void stop_accepting();
    void close();
    void add(const std::shared_ptr<server_connection>& connection);
    void remove(const std::shared_ptr<server_connection>& connection);
    void report(const http_fault& fault) const;

    void request(http_request request, std::shared_ptr<http_exchange> exchange)
    {
        on_request_(std::move(request), std::move(exchange));
    }

    endpoint bound_;
    std::atomic<std::size_t> exchanges_{0};
    std::atomic<std::size_t> connections_{0};
    std::atomic<std::size_t> peak_{0};
    std::atomic<bool> accepting_{true};
    std::atomic<bool> closed_{false};

    std::size_t max_body() const { return options_.max_body; }
    milliseconds transfer_timeout() const { return options_.transfer_timeout; }

private:
    void open(const endpoint& listen);
    void accept_later();

    asio::io_context& io_;
    std::mutex mutex_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer retry_;
    std::set<std::shared_ptr<server_connection>> open_;
    http_server::handler on_request_;
    http_server_options options_;
};

class exchange_impl;

/// One accepted connection. All members are used from its strand only.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(std::shared_ptr<http_server_impl> server, strand_socket socket)
        : server_(std::move(server)), socket_(std::move(socket)),
          timer_(socket_.get_executor()), parser_(HTTP_REQUEST, server_->max_body())
    {
    }

    void start();
    void answer(const http_response& response);
    void abort();
    strand_type strand() { return socket_.get_executor(); }

private:
    void read();
    void on_read(asio::error_code ec, std::size_t size);
    void process(const char* data, std::size_t size);
    void send_continue();
    void hand_over();
    void refuse(http_fault_kind kind, const std::string& problem);
    void write(const http_response& response, bool keep_alive);
    void on_written(asio::error_code ec);
    void lost();
    void end_exchange();
    void start_timer(milliseconds time);
    void stop_timer();
    void on_timer();
    void linger();
    void shut();

    std::shared_ptr<http_server_impl> server_;
    strand_socket socket_;
    asio::steady_timer timer_; // bounds the transfer of a message, or the lingering
    message_parser parser_;
    std::array<char, server_read_size> buffer_{};
    std::string ahead_;
    std::string out_;
    std::weak_ptr<exchange_impl> exchange_;
    endpoint peer_;
    bool reading_ = false;
    bool waiting_ = false; ///< A request is with the handler or its answer is written.
    bool writing_ = false;
    bool counted_ = false;
    bool head_request_ = false;
    bool keep_alive_ = true;
    bool lingering_ = false;
    bool timing_ = false;
    bool closed_ = false;
};

class exchange_impl : public http_exchange
{
public:
    explicit exchange_impl(std::shared_ptr<server_connection> connection)
        : connection_(std::move(connection))
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
        asio::dispatch(connection_->strand(),
                       [connection = connection_, response = std::move(response)]
                       { connection->answer(response); });
    }

    std::shared_ptr<server_connection> connection_;
    std::mutex mutex_;
    std::function<void()> callback_;
    bool answered_ = false;
    bool closed_ = false;
};

} // namespace fescueridge::detail
