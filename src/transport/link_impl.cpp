#include "link_impl.hpp"

#include <algorithm>

namespace fescueridge::detail
{
namespace
{

/// Most bytes that may wait to be sent on one link. A peer that does not read must not
/// fill the memory: 4 of the largest frames are about half of the 128 MB of a node.
constexpr std::size_t max_backlog_bytes = 4 * max_frame_bytes;

/// Messages up to this size are sent whatever waits on other links.
constexpr std::size_t small_message = std::size_t{64} * 1024;

} // namespace

void drop(const websocketpp::connection_hdl& handle)
{
    const auto connection = std::static_pointer_cast<websocket_connection>(handle.lock());
    websocketpp::lib::error_code ignored;
    if (connection)
        connection->close(websocketpp::close::status::going_away, "", ignored);
}

// The handlers keep the hub alive, because a connection that is being closed still uses
// its endpoint; they do not keep the link alive, which owns the connection.
void link_impl::attach()
{
    const std::weak_ptr<link_impl> weak = shared_from_this();
    if (dialled_)
        connection_->set_open_handler(
            [weak, hub = hub_](const auto& handle)
            {
                if (const auto self = weak.lock())
                    self->on_websocket_open();
                else
                    drop(handle);
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

bool link_impl::send_encoded(const encoded_message& message)
{
    return state_ == state::open && write_bytes(message.bytes);
}

void link_impl::expect_reply(milliseconds timeout)
{
    in_use_until_ = std::max(in_use_until_.load(), clock::now() + timeout);
}

milliseconds link_impl::unanswered_for() const
{
    const auto since = unanswered_ping_.load();
    return since == time_point{} ? milliseconds{0} : clock::now() - since;
}

bool link_impl::write(const link_message& message)
{
    return write_bytes(encode_frame({hub_->events_.stamp(), message}));
}

bool link_impl::write_bytes(const std::string& bytes)
{
    if (connection_->get_buffered_amount() > max_backlog_bytes)
        return false;
    if (bytes.size() > small_message && !hub_->may_wait(bytes.size()))
        return false;
    if (bytes.size() > max_frame_bytes)
        return false;
    if (connection_->send(bytes, websocketpp::frame::opcode::binary))
        return false;
    hub_->bytes_sent_ += bytes.size();
    return true;
}

void link_impl::on_frame(const websocket_client::message_ptr& frame)
{
    if (state_ == state::closed)
        return;
    last_received_ = clock::now();
    unanswered_ping_ = time_point{};
    if (frame->get_opcode() != websocketpp::frame::opcode::binary)
        return end(fault(link_fault_kind::bad_frame, "frame is not binary"));
    hub_->bytes_received_ += frame->get_payload().size();
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
    if (std::holds_alternative<unknown_message>(message))
    {
        ++hub_->unknown_messages_;
        return;
    }
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
    if (connection_->get_buffered_amount() <= max_backlog_bytes)
        last_not_full_ = now;
    if (now - last_not_full_ > hub_->options_.silence_limit)
        return end_soon(fault(link_fault_kind::backlog, "peer does not read"));
    ping_if_due(now, silent_for);
}

// What arrives shows that the peer lives; a peer that hears nothing asks itself.
void link_impl::ping_if_due(time_point now, milliseconds silent_for)
{
    const auto& options = hub_->options_;
    const bool in_use = now < in_use_until_.load();
    const auto interval =
        in_use ? options.ping_interval
               : options.idle_ping_interval.value_or(options.ping_interval);
    if (now < next_ping_ || silent_for < interval)
        return;
    next_ping_ = now + options.ping_interval;
    if (unanswered_ping_.load() == time_point{})
        unanswered_ping_ = now;
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
    if (before == state::open && hub_->callbacks_.on_close && !hub_->closed_)
        hub_->callbacks_.on_close(shared_from_this());
}

} // namespace fescueridge::detail
