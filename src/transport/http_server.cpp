#include "fescueridge/transport/http_server.hpp"

#include <algorithm>

#include "server_connection.hpp"

namespace fescueridge
{
namespace detail
{
namespace
{

/// Pause after a failed accept, for example when no file descriptor is free.
constexpr milliseconds accept_retry_time{50};

/// Time without progress after which a peer may lose its room to others.
constexpr milliseconds stalled_time{200};

bool is_stalled(const server_connection& connection, time_point now)
{
    return connection.waits_for_peer() && connection.stalled_for(now) >= stalled_time;
}

} // namespace

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
            if (const auto surplus = self->surplus_connection(connection))
                surplus->abort();
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
    keep_alive_ = false;
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

bool http_server_impl::make_room(std::size_t bytes)
{
    const auto& account = options_.account;
    while (account && !account->has_room(bytes))
    {
        const auto largest = largest_stalled();
        if (!largest)
            return false;
        const auto before = account->used();
        largest->evict("no progress while others need room");
        // On another thread the eviction takes a moment: later requests gain by it.
        if (account->used() >= before)
            return false;
    }
    return true;
}

std::shared_ptr<server_connection> http_server_impl::largest_stalled()
{
    const std::lock_guard lock(mutex_);
    std::shared_ptr<server_connection> largest;
    const auto now = clock::now();
    for (const auto& connection : open_)
        if (connection->held_bytes() > 0 && is_stalled(*connection, now) &&
            (!largest || connection->held_bytes() > largest->held_bytes()))
            largest = connection;
    return largest;
}

void http_server_impl::charge(std::size_t before, std::size_t after) const
{
    if (options_.account)
        options_.account->change(before, after);
}

// Returns the connection that gives its place to a new one: the one that has been idle
// longest, else the one that has stalled longest, else the new one.
std::shared_ptr<server_connection>
http_server_impl::surplus_connection(const std::shared_ptr<server_connection>& added)
{
    const std::lock_guard lock(mutex_);
    if (options_.max_connections == 0 || open_.size() <= options_.max_connections)
        return nullptr;
    std::shared_ptr<server_connection> surplus;
    const auto now = clock::now();
    const auto goes_before = [now](const auto& a, const auto& b)
    {
        if (a->is_idle() != b->is_idle())
            return a->is_idle();
        return a->stalled_for(now) > b->stalled_for(now);
    };
    for (const auto& connection : open_)
        if (connection != added &&
            (connection->is_idle() || is_stalled(*connection, now)) &&
            (!surplus || goes_before(connection, surplus)))
            surplus = connection;
    return surplus ? surplus : added;
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

void http_server::set_limits(message_limits limits)
{
    impl_->set_limits(limits);
}

void http_server::set_timeouts(milliseconds transfer, milliseconds idle)
{
    impl_->set_timeouts(transfer, idle);
}

void http_server::close_after_answers()
{
    impl_->keep_alive_ = false;
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
