#include "server_connection.hpp"

#include <utility>

namespace fescueridge::detail
{
namespace
{

/// How long a closing connection still takes input, so that unread input does not reset
/// the connection before the peer has read the answer.
constexpr milliseconds linger_time{1000};

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

} // namespace fescueridge::detail
