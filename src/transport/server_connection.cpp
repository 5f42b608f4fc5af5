#include "server_connection.hpp"

#include <utility>

namespace fescueridge::detail
{
namespace
{

/// How long a closing connection still takes input, so that unread input does not reset
/// the connection before the peer has read the answer.
constexpr milliseconds linger_time{1000};

/// An answer up to this size fits into the send buffer of a socket, so only larger ones
/// can wait for the peer and need a timer.
constexpr std::size_t untimed_answer = std::size_t{64} * 1024;

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
    default:
        return 400;
    }
}

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
        return refuse(fault_of(status), parser_.problem());
    if (parser_.started() && !timing_)
        start_timer(server_->transfer_timeout());
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
    stop_timer();
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

void server_connection::refuse(http_fault_kind kind, const std::string& problem)
{
    server_->report({kind, peer_, problem});
    waiting_ = true;
    write(plain_response(status_of(kind), problem), false);
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
    if (out_.size() > untimed_answer)
        start_timer(server_->transfer_timeout());
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](asio::error_code ec, std::size_t)
                      { self->on_written(ec); });
}

void server_connection::on_written(asio::error_code ec)
{
    writing_ = false;
    stop_timer();
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

void server_connection::start_timer(milliseconds time)
{
    timing_ = true;
    timer_.expires_after(time);
    timer_.async_wait(
        [self = shared_from_this()](asio::error_code ec)
        {
            if (!ec)
                self->on_timer();
        });
}

void server_connection::stop_timer()
{
    if (std::exchange(timing_, false))
        timer_.cancel();
}

void server_connection::on_timer()
{
    // The timer may have run out just before it was stopped.
    if (!std::exchange(timing_, false) || closed_)
        return;
    if (lingering_)
        return shut();
    if (writing_)
        return lost();
    refuse(http_fault_kind::timed_out, "the request did not come whole in time");
}

void server_connection::linger()
{
    asio::error_code ec;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    if (ec)
        return shut();
    lingering_ = true;
    ahead_.clear();
    start_timer(linger_time);
    read();
}

void server_connection::shut()
{
    if (std::exchange(closed_, true))
        return;
    asio::error_code ec;
    socket_.close(ec);
    stop_timer();
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

} // namespace fescueridge::detail
