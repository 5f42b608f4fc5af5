#include "fescueridge/transport/link_hub.hpp"

#include <algorithm>

#include "link_impl.hpp"

namespace fescueridge
{
namespace detail
{
namespace
{

/// Step of the timer that sends pings and finds silent links.
constexpr milliseconds tick_time{100};

/// Pause after a failed accept, for example when no file descriptor is free.
constexpr milliseconds accept_retry_time{50};

} // namespace

void link_hub_impl::listen(const endpoint& where)
{
    const std::weak_ptr<link_hub_impl> weak = shared_from_this();
    server_.set_open_handler(
        [weak](const websocketpp::connection_hdl& handle)
        {
            const auto self = weak.lock();
            if (!self)
                drop(handle);
            else
                self->accepted(self->server_.get_con_from_hdl(handle));
        });
    server_.set_fail_handler(
        [weak](const websocketpp::connection_hdl& handle)
        {
            const auto self = weak.lock();
            if (!self)
                return;
            const auto connection = self->server_.get_con_from_hdl(handle);
            asio::error_code ec;
            const auto remote = connection->get_raw_socket().remote_endpoint(ec);
            self->report({link_fault_kind::handshake_failed, from_asio(remote),
                          connection->get_ec().message()});
        });
    const auto target = to_asio(where);
    asio::error_code ec;
    acceptor_.open(target.protocol(), ec);
    if (!ec)
        acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
        acceptor_.bind(target, ec);
    if (!ec)
        acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        throw address_error("cannot listen on " + to_string(where) + ": " + ec.message());
    bound_ = from_asio(acceptor_.local_endpoint());
    // The peers' side sees the address that this node listens on.
    client_.set_source(target.address());
}

// The accept loop of websocketpp is not used: it touches its acceptor without a lock, so
// it could not be closed from another thread.
void link_hub_impl::accept()
{
    const std::lock_guard lock(mutex_);
    if (closed_)
        return;
    const auto connection = server_.get_connection();
    const auto on_accepted = [self = shared_from_this(), connection](asio::error_code ec)
    {
        if (self->closed_)
            return;
        if (ec)
            return self->accept_later();
        connection->start();
        self->accept();
    };
    acceptor_.async_accept(connection->get_raw_socket(),
                           asio::bind_executor(*connection->get_strand(), on_accepted));
}

void link_hub_impl::accept_later()
{
    const std::lock_guard lock(mutex_);
    accept_timer_.expires_after(accept_retry_time);
    accept_timer_.async_wait([self = shared_from_this()](asio::error_code)
                             { self->accept(); });
}

void link_hub_impl::accepted(const websocket_ptr& connection)
{
    asio::error_code ec;
    const auto remote = connection->get_raw_socket().remote_endpoint(ec);
    const auto link = std::make_shared<link_impl>(shared_from_this(), connection,
                                                  from_asio(remote), false);
    {
        const std::lock_guard lock(mutex_);
        links_.insert(link);
    }
    link->attach();
    link->on_websocket_open();
    if (closed_)
        link->close();
}

// Returns whether a large message may be added to what waits to be sent.
bool link_hub_impl::may_wait(std::size_t bytes) const
{
    if (options_.max_waiting_bytes == 0)
        return true;
    std::size_t waiting = 0;
    const std::lock_guard lock(mutex_);
    for (const auto& link : links_)
        waiting += link->waiting_bytes();
    return waiting == 0 || waiting + bytes <= options_.max_waiting_bytes;
}

std::shared_ptr<link_impl> link_hub_impl::find_dialled(const endpoint& target) const
{
    const auto found = std::find_if(
        links_.begin(), links_.end(),
        [&](const auto& link) { return link->dialled() && link->remote() == target; });
    return found == links_.end() ? nullptr : *found;
}

void link_hub_impl::dial(const endpoint& target, const link_hub::dial_callback& done)
{
    websocketpp::lib::error_code ec;
    websocket_ptr connection;
    std::shared_ptr<link_impl> link;
    {
        const std::lock_guard lock(mutex_);
        link = closed_ ? nullptr : find_dialled(target);
        if (link && !link->is_open())
        {
            link->waiters_.push_back(done);
            return;
        }
        if (!link && !closed_)
            connection =
                client_.get_connection("ws://" + to_string(target) + "/link", ec);
        if (connection)
        {
            link =
                std::make_shared<link_impl>(shared_from_this(), connection, target, true);
            link->waiters_.push_back(done);
            links_.insert(link);
        }
    }
    if (connection)
        return connect(link, connection);
    if (!link)
        return dial_failed(target, ec ? ec.message() : "closed", done);
    if (done)
        asio::post(io_, [done, link] { done(link); });
}

void link_hub_impl::connect(const std::shared_ptr<link_impl>& link,
                            const websocket_ptr& connection)
{
    link->attach();
    client_.connect(connection);
}

void link_hub_impl::dial_failed(const endpoint& target, const std::string& reason,
                                const link_hub::dial_callback& done)
{
    asio::post(io_,
               [self = shared_from_this(), target, reason, done]
               {
                   self->report({link_fault_kind::connect_failed, target, reason});
                   if (done)
                       done(nullptr);
               });
}

void link_hub_impl::opened(const std::shared_ptr<link_impl>& link)
{
    std::vector<link_hub::dial_callback> waiters;
    {
        const std::lock_guard lock(mutex_);
        waiters.swap(link->waiters_);
    }
    if (callbacks_.on_open && !closed_)
        callbacks_.on_open(link, link->peer());
    for (const auto& done : waiters)
        if (done)
            done(link);
}

void link_hub_impl::ended(const std::shared_ptr<link_impl>& link)
{
    std::vector<link_hub::dial_callback> waiters;
    {
        const std::lock_guard lock(mutex_);
        links_.erase(link);
        waiters.swap(link->waiters_);
    }
    for (const auto& done : waiters)
        if (done)
            done(nullptr);
}

link_ptr link_hub_impl::find(const node_id& node) const
{
    const std::lock_guard lock(mutex_);
    link_ptr best;
    for (const auto& link : links_)
    {
        const bool candidate = link->is_open() && link->peer().node == node;
        if (candidate && (!best || best->peer().number < link->peer().number))
            best = link;
    }
    return best;
}

std::vector<link_ptr> link_hub_impl::links() const
{
    const std::lock_guard lock(mutex_);
    std::vector<link_ptr> open;
    for (const auto& link : links_)
        if (link->is_open())
            open.push_back(link);
    return open;
}

void link_hub_impl::start_timer()
{
    timer_.expires_after(tick_time);
    timer_.async_wait(
        [weak = weak_from_this()](asio::error_code ec)
        {
            const auto self = weak.lock();
            if (!ec && self && !self->closed_)
                self->tick();
        });
}

void link_hub_impl::tick()
{
    link_set all;
    {
        const std::lock_guard lock(mutex_);
        all = links_;
    }
    const auto now = clock::now();
    for (const auto& link : all)
        link->tick(now);
    start_timer();
}

void link_hub_impl::close()
{
    if (closed_.exchange(true))
        return;
    link_set all;
    {
        const std::lock_guard lock(mutex_);
        asio::error_code ec;
        acceptor_.close(ec);
        accept_timer_.cancel();
        all = links_;
    }
    for (const auto& link : all)
        link->close();
}

} // namespace detail

link_hub::link_hub(asio::io_context& io, const endpoint& listen, hello_source hello,
                   event_log& events, link_callbacks callbacks, link_options options)
    : impl_(std::make_shared<detail::link_hub_impl>(io, std::move(hello), events,
                                                    std::move(callbacks), options))
{
    impl_->listen(listen);
    impl_->accept();
    impl_->start_timer();
}

link_hub::~link_hub()
{
    impl_->close();
}

endpoint link_hub::bound() const
{
    return impl_->bound_;
}

void link_hub::dial(const endpoint& target, const dial_callback& done)
{
    impl_->dial(target, done);
}

link_ptr link_hub::find(const node_id& node) const
{
    return impl_->find(node);
}

encoded_message link_hub::encode(const link_message& message) const
{
    return {encode_frame({impl_->events_.stamp(), message})};
}

std::vector<link_ptr> link_hub::links() const
{
    return impl_->links();
}

link_counters link_hub::counters() const noexcept
{
    return {impl_->bytes_sent_, impl_->bytes_received_, impl_->unknown_messages_};
}

void link_hub::close()
{
    impl_->close();
}

} // namespace fescueridge
