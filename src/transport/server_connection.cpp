#include "server_connection.hpp"

#include <array>
#include <utility>

namespace fescueridge::detail
{
namespace
{

constexpr std::size_t read_size = std::size_t{16} * 1024;

/// How long a closing connection still takes input, so that unread input does not reset
/// the connection before the peer has read the answer.
constexpr milliseconds linger_time{1000};

/// An answer up to this size fits into the send buffer of a socket, so only larger ones
/// can wait for the peer and need a timer.
constexpr std::size_t untimed_answer = std::size_t{64} * 1024;

/// Transfer timeouts for which a peer may take no byte. The window of a slow peer opens
/// in steps of a sixteenth of its receive buffer, which may be several megabytes.
constexpr int transfer_timeouts_without_progress = 2;

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
    case http_fault_kind::timed_out:
        return 408;
    case http_fault_kind::no_room:
    case http_fault_kind::stalled:
        return 503;
    default:
        return 400;
    }
}

/// Copies of a request that exist on its way to a server and back, beside the one read.
constexpr std::size_t copies_under_way = 3;

/// Requests up to this size are read also where there is no room, so that a crowd of
/// large ones does not shut out ordinary ones.
constexpr std::size_t small_request = std::size_t{16} * 1024;

/// Stated to clients that are refused for lack of room, in seconds.
constexpr const char* no_room_retry_after = "0.5";

std::size_t bytes_of(const http_request& request)
{
    std::size_t bytes = request.target.size() + request.body.size();
    for (const auto& field : request.headers)
        bytes += field.name.size() + field.value.size();
    return bytes;
}

} // namespace

void server_connection::start()
{
    if (closed_)
        return;
    asio::error_code ec;
    socket_.set_option(asio::ip::tcp::no_delay(true), ec);
    socket_.non_blocking(true, ec);
    peer_ = from_asio(socket_.remote_endpoint(ec));
    wait_for_request();
    read();
}

// Reading goes on while requests wait for their answers, so that the close of the peer is
// seen.
void server_connection::read()
{
    if (reading_ || closed_ || ahead_.size() > max_header_bytes)
        return;
    reading_ = true;
    socket_.async_wait(strand_socket::wait_read,
                       [self = shared_from_this()](asio::error_code ec)
                       { self->on_readable(ec); });
}

// Idle connections hold no buffer: most connections are idle.
void server_connection::on_readable(asio::error_code ec)
{
    thread_local std::array<char, read_size> buffer;
    reading_ = false;
    if (closed_)
        return;
    const auto size = ec ? 0 : socket_.read_some(asio::buffer(buffer), ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again)
        return read();
    if (ec)
        return lost();
    if (phase_ == read_phase::lingering)
        return read();
    made_progress();
    if (may_hand_over() && ahead_.empty())
        process(buffer.data(), size);
    else
        ahead_.append(buffer.data(), size);
    update_held();
    read();
}

bool server_connection::may_hand_over() const
{
    return !last_request_ && pending_.size() < server_->max_pipelined();
}

void server_connection::process(const char* data, std::size_t size)
{
    if (!parser_.started())
        parser_.set_limits(server_->limits());
    while (size > 0 && !closed_)
    {
        if (!may_hand_over())
        {
            ahead_.append(data, size);
            return;
        }
        std::size_t used = 0;
        const auto status = parser_.feed(data, size, used);
        data += used;
        size -= used;
        if (status == parse_status::complete)
            hand_over();
        else if (status != parse_status::need_more)
            return refuse(fault_of(status), parser_.problem());
        else if (!has_room_for_request())
            return refuse(http_fault_kind::no_room, "no room for the request");
    }
    if (closed_ || !parser_.started())
        return;
    if (phase_ != read_phase::request)
        start_read_timer(read_phase::request, server_->transfer_timeout());
    if (parser_.take_expects_continue() && pending_.empty())
        send_continue();
}

// Checked before the body is read where its length is stated, and again with each part.
bool server_connection::has_room_for_request()
{
    const auto expected = parser_.expected_bytes();
    if (expected <= small_request)
        return true;
    const auto held = std::min(held_bytes_.load(), expected);
    return server_->make_room((1 + copies_under_way) * expected - held);
}

// What is held for this peer: input, requests under way and answers that it has not read.
void server_connection::update_held()
{
    std::size_t held = 0;
    if (!closed_)
    {
        held = parser_.held_bytes() + ahead_.capacity() + out_.size();
        for (const auto& pending : pending_)
            held += pending->request_bytes +
                    (pending->response ? pending->response->body.size() : 0);
    }
    idle_ = pending_.empty() && !parser_.started();
    waits_for_peer_ =
        pending_.empty() ? parser_.started() : pending_.front()->response.has_value();
    server_->charge(held_bytes_.exchange(held), held);
}

void server_connection::evict(const std::string& reason)
{
    asio::dispatch(
        strand(),
        [self = shared_from_this(), reason]
        {
            if (self->closed_)
                return;
            self->server_->report({http_fault_kind::stalled, self->peer_, reason});
            const bool reads =
                self->phase_ == read_phase::request && self->pending_.empty();
            if (!reads)
                return self->lost();
            self->refuse(http_fault_kind::stalled, reason);
        });
}

void server_connection::process_ahead()
{
    if (ahead_.empty() || !may_hand_over())
        return;
    const auto next = std::exchange(ahead_, {});
    process(next.data(), next.size());
}

void server_connection::send_continue()
{
    static const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(socket_, asio::buffer(interim),
                      [self = shared_from_this()](asio::error_code, std::size_t) {});
}

void server_connection::hand_over()
{
    stop_read_timer();
    ++server_->exchanges_;
    auto pending = std::make_shared<pending_answer>();
    pending->keep_alive = parser_.keep_alive();
    last_request_ = !pending->keep_alive;
    auto request = parser_.take_request();
    pending->head = request.method == "HEAD";
    pending->request_bytes = (1 + copies_under_way) * bytes_of(request);
    parser_.reset();
    auto exchange = std::make_shared<exchange_impl>(shared_from_this(), pending);
    pending->exchange = exchange;
    pending_.push_back(std::move(pending));
    if (!server_->closed_)
        server_->request(std::move(request), std::move(exchange));
}

void server_connection::refuse(http_fault_kind kind, const std::string& problem)
{
    stop_read_timer();
    if (kind != http_fault_kind::stalled)
        server_->report({kind, peer_, problem});
    last_request_ = true;
    auto pending = std::make_shared<pending_answer>();
    pending->keep_alive = false;
    pending->counted = false;
    pending->response = plain_response(status_of(kind), problem);
    const bool lacks_room =
        kind == http_fault_kind::no_room || kind == http_fault_kind::stalled;
    if (lacks_room)
        pending->response->headers.push_back({"Retry-After", no_room_retry_after});
    pending_.push_back(std::move(pending));
    parser_.reset();
    update_held();
    write_next();
}

void server_connection::answer(const pending_ptr& to, http_response response)
{
    if (closed_ || to->response)
        return;
    to->exchange.reset();
    to->response = std::move(response);
    to->request_bytes = 0;
    // An answer cannot be refused: the request has run.
    if (to->response->body.size() > untimed_answer &&
        !server_->make_room(2 * to->response->body.size()))
    {
        server_->report({http_fault_kind::no_room, peer_, "no room for the answer"});
        return lost();
    }
    update_held();
    write_next();
}

void server_connection::write_next()
{
    if (writing_ || closed_ || pending_.empty() || !pending_.front()->response)
        return;
    write(*pending_.front());
}

void server_connection::write(pending_answer& answer)
{
    writing_ = true;
    // Requests that were handed over get their answers before the connection closes.
    last_request_ = last_request_ || !server_->keep_alive_;
    const bool more_follow = pending_.size() > 1;
    const bool keep_alive = answer.keep_alive && (!last_request_ || more_follow);
    out_ = write_response(*answer.response, keep_alive, !answer.head);
    std::string().swap(answer.response->body);
    made_progress(); // The peer could not read before.
    update_held();
    pending_.front()->keep_alive = keep_alive;
    written_bytes_ = 0;
    write_rest();
}

void server_connection::write_rest()
{
    if (out_.size() > untimed_answer)
        start_write_timer();
    socket_.async_write_some(
        asio::buffer(out_) + written_bytes_,
        [self = shared_from_this()](asio::error_code ec, std::size_t size)
        {
            self->written_bytes_ += size;
            if (size > 0)
                self->made_progress();
            if (ec || self->closed_ || self->written_bytes_ == self->out_.size())
                return self->on_written(ec);
            self->write_rest();
        });
}

// Bounds the time without progress: a peer that reads slowly gets its whole answer.
void server_connection::start_write_timer()
{
    write_timer_.expires_after(transfer_timeouts_without_progress *
                               server_->transfer_timeout());
    write_timer_.async_wait(
        [self = shared_from_this()](asio::error_code ec)
        {
            if (!ec && self->writing_)
                self->lost();
        });
}

void server_connection::on_written(asio::error_code ec)
{
    writing_ = false;
    write_timer_.cancel();
    out_.clear();
    out_.shrink_to_fit();
    const auto written = pending_.front();
    pending_.pop_front();
    end_exchange(*written);
    update_held();
    if (closed_)
        return drop_pending();
    if (ec)
        return lost();
    if (!written->keep_alive)
        return linger();
    write_next();
    process_ahead();
    if (pending_.empty() && !parser_.started())
        wait_for_request();
    read();
}

void server_connection::end_exchange(const pending_answer& answer)
{
    if (answer.counted)
        --server_->exchanges_;
}

// The answers that are left can no longer be sent: their requests end as closed by the
// peer. The one that is being written is ended by on_written().
void server_connection::drop_pending()
{
    const auto first = pending_.begin() + (writing_ ? 1 : 0);
    const std::deque<pending_ptr> dropped(first, pending_.end());
    pending_.erase(first, pending_.end());
    for (const auto& pending : dropped)
    {
        end_exchange(*pending);
        if (const auto exchange = pending->exchange.lock())
            exchange->peer_closed();
    }
}

void server_connection::lost()
{
    const bool mid_request = phase_ == read_phase::request;
    shut();
    if (mid_request && !server_->closed_)
        server_->report(
            {http_fault_kind::cut, peer_, "closed in the middle of a request"});
    drop_pending();
}

void server_connection::wait_for_request()
{
    if (server_->idle_timeout() > milliseconds{0})
        start_read_timer(read_phase::idle, server_->idle_timeout());
}

void server_connection::start_read_timer(read_phase phase, milliseconds time)
{
    phase_ = phase;
    read_timer_.expires_after(time);
    read_timer_.async_wait(
        [self = shared_from_this()](asio::error_code ec)
        {
            if (!ec)
                self->on_read_timer();
        });
}

void server_connection::stop_read_timer()
{
    if (std::exchange(phase_, read_phase::none) != read_phase::none)
        read_timer_.cancel();
}

void server_connection::on_read_timer()
{
    // The timer may have run out just before it was stopped or started anew.
    if (closed_ || read_timer_.expiry() > std::chrono::steady_clock::now())
        return;
    switch (phase_)
    {
    case read_phase::none:
        return;
    case read_phase::idle:
    case read_phase::lingering:
        return shut();
    case read_phase::request:
        return refuse(http_fault_kind::timed_out,
                      "the request did not come whole in time");
    }
}

void server_connection::linger()
{
    drop_pending();
    asio::error_code ec;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    if (ec)
        return shut();
    ahead_.clear();
    start_read_timer(read_phase::lingering, linger_time);
    read();
}

void server_connection::shut()
{
    if (std::exchange(closed_, true))
        return;
    asio::error_code ec;
    socket_.close(ec);
    stop_read_timer();
    write_timer_.cancel();
    update_held();
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

} // namespace fescueridge::detail
