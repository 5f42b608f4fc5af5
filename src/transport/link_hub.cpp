#include "fescueridge/transport/link_hub.hpp"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <set>

#include "net.hpp"
#include "websocket_config.hpp"

namespace fescueridge
{
namespace detail
{
namespace
{

/// Most bytes that may wait to be sent on one link. A peer that does not read must not
/// fill the memory: 4 of the largest frames are about half of the 128 MB of a node.
constexpr std::size_t max_backlog_bytes = 4 * max_frame_bytes;

/// Step of the timer that sends pings and finds silent links.
constexpr milliseconds tick_time{100};

/// How long a closed hub keeps its endpoints for handlers that are still queued.
constexpr milliseconds release_delay{200};

} // namespace

class link_hub_impl;

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
    const hello_message& peer() const noexcept override { return peer_; }
    endpoint remote() const override { return remote_; }
    bool dialled() const noexcept override { return dialled_; }
    bool is_open() const noexcept override { return state_ == state::open; }
    void close() override { end_soon({}); }

    void attach();
    void on_websocket_open();
    void tick(time_point now);

    std::vector<link_hub::dial_callback> waiters_; ///< Guarded by the hub's mutex.

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
    time_point next_ping_{};
};

class link_hub_impl : public std::enable_shared_from_this<link_hub_impl>
{
public:
    link_hub_impl(asio::io_context& io, link_hub::hello_source hello, event_log& events,
                  link_callbacks callbacks, link_options options)
        : io_(io), hello_(std::move(hello)), events_(events),
          callbacks_(std::move(callbacks)), options_(options), timer_(io), release_(io)
    {
        client_.clear_access_channels(websocketpp::log::alevel::all);
        client_.clear_error_channels(websocketpp::log::elevel::all);
        server_.clear_access_channels(websocketpp::log::alevel::all);
        server_.clear_error_channels(websocketpp::log::elevel::all);
        client_.init_asio(&io_);
        server_.init_asio(&io_);
    }

    void listen(const endpoint& where);
    void start_timer();
    void dial(const endpoint& target, link_hub::dial_callback done);
    void accepted(const websocket_ptr& connection);
    void opened(const std::shared_ptr<link_impl>& link);
    void ended(const std::shared_ptr<link_impl>& link);
    link_ptr find(const node_id& node) const;
    std::vector<link_ptr> links() const;
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
    asio::steady_timer release_;
    mutable std::mutex mutex_;
    link_set links_;
};

// The handlers keep the hub alive, because a connection that is being closed still uses
// its endpoint; they do not keep the link alive, which owns the connection.
void link_impl::attach()
{
    const std::weak_ptr<link_impl> weak = shared_from_this();
    if (dialled_)
        connection_->set_open_handler(
            [weak, hub = hub_](const auto&)
            {
                if (const auto self = weak.lock())
                    self->on_websocket_open();
            });
    connection_->set_message_handler(
        [weak, hub = hub_](const auto&, const auto& frame)
        {
            if (const auto self = weak.lock())
                self->on_frame(frame);
        });
    const auto on_end = [weak, hub = hub_](const auto&)
    {
        if (const auto self = weak.lock())
            self->on_end();
    };
    connection_->set_close_handler(on_end);
    connection_->set_fail_handler(on_end);
}

void link_impl::on_websocket_open()
{
    if (state_ == state::closed)
    {
        websocketpp::lib::error_code ignored;
        connection_->close(websocketpp::close::status::normal, "", ignored);
        return;
    }
    asio::error_code ec;
    connection_->get_raw_socket().set_option(asio::ip::tcp::no_delay(true), ec);
    upgraded_ = true;
    last_received_ = clock::now();
    write(hub_->hello_());
}

bool link_impl::send(const link_message& message)
{
    return state_ == state::open && write(message);
}

bool link_impl::write(const link_message& message)
{
    if (connection_->get_buffered_amount() > max_backlog_bytes)
    {
        end_soon(fault(link_fault_kind::backlog, "peer does not read"));
        return false;
    }
    const auto bytes = encode_frame({hub_->events_.stamp(), message});
    if (bytes.size() > max_frame_bytes)
        return false;
    return !connection_->send(bytes, websocketpp::frame::opcode::binary);
}

void link_impl::on_frame(const websocket_client::message_ptr& frame)
{
    if (state_ == state::closed)
        return;
    last_received_ = clock::now();
    if (frame->get_opcode() != websocketpp::frame::opcode::binary)
        return end(fault(link_fault_kind::bad_frame, "frame is not binary"));
    link_frame decoded;
    try
    {
        decoded = decode_frame(frame->get_payload());
    }
    catch (const codec_error& problem)
    {
        return end(fault(link_fault_kind::bad_frame, problem.what()));
    }
    hub_->events_.observe(decoded.lamport);
    if (state_ == state::opening)
        on_first(std::move(decoded.message));
    else
        on_message(std::move(decoded.message));
}

void link_impl::on_first(link_message message)
{
    auto* hello = std::get_if<hello_message>(&message);
    if (!hello)
        return end(fault(link_fault_kind::bad_frame, "first message is not hello"));
    peer_ = std::move(*hello);
    state_ = state::open;
    hub_->opened(shared_from_this());
}

void link_impl::on_message(link_message message)
{
    if (std::holds_alternative<hello_message>(message))
        return end(fault(link_fault_kind::bad_frame, "second hello"));
    if (const auto* ping = std::get_if<ping_message>(&message))
    {
        write(pong_message{ping->sent_ms});
        return;
    }
    if (std::holds_alternative<pong_message>(message) || hub_->closed_)
        return;
    if (hub_->callbacks_.on_message)
        hub_->callbacks_.on_message(shared_from_this(), std::move(message));
}

// Called by websocketpp when the connection has ended or could not be opened.
void link_impl::on_end()
{
    if (state_ == state::closed)
        return;
    const auto ec = connection_->get_ec();
    const auto detail = ec ? ec.message() : connection_->get_remote_close_reason();
    if (!upgraded_)
    {
        const bool reached = connection_->get_response_code() !=
                             websocketpp::http::status_code::uninitialized;
        return end(fault(reached ? link_fault_kind::handshake_failed
                                 : link_fault_kind::connect_failed,
                         detail));
    }
    namespace status = websocketpp::close::status;
    const auto local = connection_->get_local_close_code();
    if (local == status::message_too_big)
        return end(fault(link_fault_kind::frame_too_large, detail));
    // The library's code for a length that is not encoded in the least bytes.
    const bool bad_length = local == status::internal_endpoint_error;
    if (local == status::protocol_error || local == status::invalid_payload || bad_length)
        return end(
            fault(link_fault_kind::bad_frame,
                  detail.empty() ? connection_->get_local_close_reason() : detail));
    if (connection_->get_remote_close_code() == status::abnormal_close)
        return end(fault(link_fault_kind::cut, detail));
    end({});
}

void link_impl::tick(time_point now)
{
    const auto silent_for = now - last_received_.load();
    if (state_ == state::opening && silent_for > hub_->options_.open_timeout)
        return end_soon(fault(upgraded_ ? link_fault_kind::handshake_failed
                                        : link_fault_kind::connect_failed,
                              "not open in time"));
    if (state_ != state::open)
        return;
    if (silent_for > hub_->options_.silence_limit)
        return end_soon(fault(link_fault_kind::silent, "nothing received in time"));
    if (now < next_ping_)
        return;
    next_ping_ = now + hub_->options_.ping_interval;
    write(ping_message{now.time_since_epoch().count()});
}

link_fault link_impl::fault(link_fault_kind kind, std::string detail) const
{
    return {kind, remote_, std::move(detail)};
}

// Ends the link on its strand, so that on_close comes after the on_message that may be
// running.
void link_impl::end_soon(std::optional<link_fault> fault)
{
    asio::post(*connection_->get_strand(),
               [self = shared_from_this(), fault = std::move(fault)]
               { self->end(fault); });
}

void link_impl::end(const std::optional<link_fault>& fault)
{
    const auto before = state_.exchange(state::closed);
    if (before == state::closed)
        return;
    websocketpp::lib::error_code ec;
    namespace status = websocketpp::close::status;
    connection_->close(fault ? status::policy_violation : status::normal, "", ec);
    if (fault)
        hub_->report(*fault);
    hub_->ended(shared_from_this());
    if (before == state::open && hub_->callbacks_.on_close)
        hub_->callbacks_.on_close(shared_from_this());
}

void link_hub_impl::listen(const endpoint& where)
{
    const std::weak_ptr<link_hub_impl> weak = shared_from_this();
    server_.set_open_handler(
        [weak](const websocketpp::connection_hdl& handle)
        {
            const auto self = weak.lock();
            if (self)
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
    server_.set_reuse_addr(true);
    websocketpp::lib::error_code ec;
    server_.listen(to_asio(where), ec);
    if (ec)
        throw address_error("cannot listen on " + to_string(where) + ": " + ec.message());
    asio::error_code local_ec;
    bound_ = from_asio(server_.get_local_endpoint(local_ec));
    // The peers' side sees the address that this node listens on.
    client_.set_source(to_asio(where).address());
    server_.start_accept();
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

std::shared_ptr<link_impl> link_hub_impl::find_dialled(const endpoint& target) const
{
    const auto found = std::find_if(
        links_.begin(), links_.end(),
        [&](const auto& link) { return link->dialled() && link->remote() == target; });
    return found == links_.end() ? nullptr : *found;
}

void link_hub_impl::dial(const endpoint& target, link_hub::dial_callback done)
{
    websocketpp::lib::error_code ec;
    websocket_ptr connection;
    std::shared_ptr<link_impl> link;
    {
        const std::lock_guard lock(mutex_);
        link = closed_ ? nullptr : find_dialled(target);
        if (link && !link->is_open())
        {
            link->waiters_.push_back(std::move(done));
            return;
        }
        if (!link && !closed_)
            connection =
                client_.get_connection("ws://" + to_string(target) + "/link", ec);
        if (connection)
        {
            link =
                std::make_shared<link_impl>(shared_from_this(), connection, target, true);
            link->waiters_.push_back(std::move(done));
            links_.insert(link);
        }
    }
    if (connection)
        return connect(link, connection);
    if (!link)
        return dial_failed(target, ec ? ec.message() : "closed", done);
    if (done)
        asio::post(io_, [done = std::move(done), link] { done(link); });
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
    websocketpp::lib::error_code ec;
    server_.stop_listening(ec);
    link_set all;
    {
        const std::lock_guard lock(mutex_);
        all = links_;
    }
    for (const auto& link : all)
        link->close();
    release_.expires_after(release_delay);
    release_.async_wait([self = shared_from_this()](asio::error_code) {});
}

} // namespace detail

link_hub::link_hub(asio::io_context& io, const endpoint& listen, hello_source hello,
                   event_log& events, link_callbacks callbacks, link_options options)
    : impl_(std::make_shared<detail::link_hub_impl>(io, std::move(hello), events,
                                                    std::move(callbacks), options))
{
    impl_->listen(listen);
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

void link_hub::dial(const endpoint& target, dial_callback done)
{
    impl_->dial(target, std::move(done));
}

link_ptr link_hub::find(const node_id& node) const
{
    return impl_->find(node);
}

std::vector<link_ptr> link_hub::links() const
{
    return impl_->links();
}

void link_hub::close()
{
    impl_->close();
}

} // namespace fescueridge
