#include "fescueridge/transport/http_server.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <set>

#include "http_message.hpp"
#include "net.hpp"

namespace fescueridge
{
namespace detail
{

namespace
{

constexpr std::size_t read_size = 8192;

/// How long a closing connection still takes input, so that unread input does not reset
/// the connection before the peer has read the answer.
constexpr milliseconds linger_time{1000};

/// Pause after a failed accept, for example when no file descriptor is free.
constexpr milliseconds accept_retry_time{50};

http_fault_kind fault_of(parse_status status)
{
    switch (status)
    {
    case parse_status::header_too_large:
        return http_fault_kind::header_too_large;
    case parse_status::body_too_large:
        return http_fault_kind::body_too_large;
    default:
        return http_fault_kind::malformed;
    }
}

int status_of(http_fault_kind kind)
{
    switch (kind)
    {
    case http_fault_kind::header_too_large:
        return 431;
    case http_fault_kind::body_too_large:
        return 413;
    default:
        return 400;
    }
}

} // namespace

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

namespace
{

class exchange_impl;

} // namespace

/// One accepted connection. All members are used from its strand only.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(std::shared_ptr<http_server_impl> server, strand_socket socket)
        : server_(std::move(server)), socket_(std::move(socket)),
          linger_(socket_.get_executor()), parser_(HTTP_REQUEST, server_->max_body())
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
    void refuse(parse_status status);
    void write(const http_response& response, bool keep_alive);
    void on_written(asio::error_code ec);
    void lost();
    void end_exchange();
    void linger();
    void shut();

    std::shared_ptr<http_server_impl> server_;
    strand_socket socket_;
    asio::steady_timer linger_;
    message_parser parser_;
    std::array<char, read_size> buffer_{};
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
    bool closed_ = false;
};

namespace
{

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

} // namespace

void server_connection::start()
{
    asio::error_code ec;
    socket_.set_option(asio::ip::tcp::no_delay(true), ec);
    peer_ = from_asio(socket_.remote_endpoint(ec));
    read();
}

void server_connection::read()
{
    if (reading_ || closed_ || ahead_.size() > max_header_bytes)
        return;
    reading_ = true;
    socket_.async_read_some(asio::buffer(buffer_), [self = shared_from_this()](
                                                       asio::error_code ec, std::size_t n)
                            { self->on_read(ec, n); });
}

void server_connection::on_read(asio::error_code ec, std::size_t size)
{
    reading_ = false;
    if (closed_)
        return;
    if (ec)
        return lost();
    if (lingering_)
        return read();
    if (!waiting_)
        return process(buffer_.data(), size);
    ahead_.append(buffer_.data(), size);
    read();
}

void server_connection::process(const char* data, std::size_t size)
{
    std::size_t used = 0;
    const auto status = parser_.feed(data, size, used);
    if (status == parse_status::complete)
    {
        ahead_.assign(data + used, size - used);
        return hand_over();
    }
    if (status != parse_status::need_more)
        return refuse(status);
    if (parser_.take_expects_continue())
        send_continue();
    read();
}

void server_connection::send_continue()
{
    static const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(socket_, asio::buffer(interim),
                      [self = shared_from_this()](asio::error_code, std::size_t) {});
}

void server_connection::hand_over()
{
    waiting_ = true;
    counted_ = true;
    ++server_->exchanges_;
    keep_alive_ = parser_.keep_alive();
    auto request = parser_.take_request();
    head_request_ = request.method == "HEAD";
    auto exchange = std::make_shared<exchange_impl>(shared_from_this());
    exchange_ = exchange;
    read();
    if (!server_->closed_)
        server_->request(std::move(request), std::move(exchange));
}

void server_connection::refuse(parse_status status)
{
    const auto kind = fault_of(status);
    server_->report({kind, peer_, parser_.problem()});
    waiting_ = true;
    write(plain_response(status_of(kind), parser_.problem()), false);
}

void server_connection::answer(const http_response& response)
{
    if (closed_ || writing_)
        return;
    exchange_.reset();
    write(response, keep_alive_ && server_->accepting_);
}

void server_connection::write(const http_response& response, bool keep_alive)
{
    keep_alive_ = keep_alive;
    writing_ = true;
    out_ = write_response(response, keep_alive, !head_request_);
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](asio::error_code ec, std::size_t)
                      { self->on_written(ec); });
}

void server_connection::on_written(asio::error_code ec)
{
    writing_ = false;
    out_.clear();
    out_.shrink_to_fit();
    end_exchange();
    if (closed_)
        return;
    if (ec)
        return lost();
    if (!keep_alive_)
        return linger();
    waiting_ = false;
    parser_.reset();
    if (ahead_.empty())
        return read();
    const auto next = std::exchange(ahead_, {});
    process(next.data(), next.size());
}

void server_connection::end_exchange()
{
    if (std::exchange(counted_, false))
        --server_->exchanges_;
}

void server_connection::lost()
{
    const bool mid_request = !waiting_ && parser_.started();
    const auto exchange = exchange_.lock();
    shut();
    if (mid_request && !server_->closed_)
        server_->report(
            {http_fault_kind::cut, peer_, "closed in the middle of a request"});
    if (exchange)
        exchange->peer_closed();
}

void server_connection::linger()
{
    asio::error_code ec;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    if (ec)
        return shut();
    lingering_ = true;
    ahead_.clear();
    linger_.expires_after(linger_time);
    linger_.async_wait([self = shared_from_this()](asio::error_code) { self->shut(); });
    read();
}

void server_connection::shut()
{
    if (std::exchange(closed_, true))
        return;
    asio::error_code ec;
    socket_.close(ec);
    linger_.cancel();
    if (!writing_)
        end_exchange();
    server_->remove(shared_from_this());
}

void server_connection::abort()
{
    asio::dispatch(strand(),
                   [self = shared_from_this()]
                   {
                       if (!self->closed_)
                           self->lost();
                   });
}

void http_server_impl::open(const endpoint& listen)
{
    const auto where = to_asio(listen);
    asio::error_code ec;
    acceptor_.open(where.protocol(), ec);
    if (!ec)
        acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
        acceptor_.bind(where, ec);
    if (!ec)
        acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        throw address_error("cannot listen on " + to_string(listen) + ": " +
                            ec.message());
    bound_ = from_asio(acceptor_.local_endpoint());
}

void http_server_impl::accept()
{
    const std::lock_guard lock(mutex_);
    if (!accepting_)
        return;
    acceptor_.async_accept(
        asio::make_strand(io_),
        [self = shared_from_this()](asio::error_code ec, strand_socket socket)
        {
            if (!self->accepting_)
                return;
            if (ec)
                return self->accept_later();
            auto connection =
                std::make_shared<server_connection>(self, std::move(socket));
            self->add(connection);
            if (self->closed_)
                return connection->abort();
            asio::dispatch(connection->strand(), [connection] { connection->start(); });
            self->accept();
        });
}

void http_server_impl::accept_later()
{
    const std::lock_guard lock(mutex_);
    retry_.expires_after(accept_retry_time);
    retry_.async_wait([self = shared_from_this()](asio::error_code) { self->accept(); });
}

void http_server_impl::stop_accepting()
{
    const std::lock_guard lock(mutex_);
    accepting_ = false;
    asio::error_code ec;
    acceptor_.close(ec);
    retry_.cancel();
}

void http_server_impl::close()
{
    stop_accepting();
    closed_ = true;
    std::set<std::shared_ptr<server_connection>> open;
    {
        const std::lock_guard lock(mutex_);
        open.swap(open_);
    }
    for (const auto& connection : open)
        connection->abort();
}

void http_server_impl::add(const std::shared_ptr<server_connection>& connection)
{
    const std::lock_guard lock(mutex_);
    open_.insert(connection);
    connections_ = open_.size();
    peak_ = std::max(peak_.load(), open_.size());
}

void http_server_impl::remove(const std::shared_ptr<server_connection>& connection)
{
    const std::lock_guard lock(mutex_);
    open_.erase(connection);
    connections_ = open_.size();
}

void http_server_impl::report(const http_fault& fault) const
{
    if (options_.on_fault)
        options_.on_fault(fault);
}

} // namespace detail

http_server::http_server(asio::io_context& io, const endpoint& listen, handler on_request,
                         http_server_options options)
    : impl_(std::make_shared<detail::http_server_impl>(io, listen, std::move(on_request),
                                                       std::move(options)))
{
    impl_->accept();
}

http_server::~http_server()
{
    impl_->close();
}

endpoint http_server::bound() const
{
    return impl_->bound_;
}

void http_server::stop_accepting()
{
    impl_->stop_accepting();
}

std::size_t http_server::open_exchanges() const noexcept
{
    return impl_->exchanges_;
}

std::size_t http_server::open_connections() const noexcept
{
    return impl_->connections_;
}

std::size_t http_server::peak_connections() const noexcept
{
    return impl_->peak_;
}

void http_server::close()
{
    impl_->close();
}

} // namespace fescueridge
