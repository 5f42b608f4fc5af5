#include "client_connection.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include <sys/socket.h>

namespace fescueridge::detail
{
namespace
{

/// A connection that takes longer to open counts as failed. Opening takes about 1 ms
/// (section 1.1 of the design page); a lost SYN is sent again after 1 s.
constexpr milliseconds open_timeout{1500};

constexpr std::size_t read_size = std::size_t{64} * 1024;

/// Bytes beyond the body of the answer that a call may receive, and their ratio to the
/// body: header block, framing of chunks, interim answers and answers of other requests.
constexpr std::size_t max_overhead_bytes = std::size_t{1024} * 1024;
constexpr std::size_t max_overhead_ratio = 8;

/// Shortest time for which an idle connection is kept, whatever its peer states.
constexpr milliseconds least_idle_time{200};

/// Returns the idle timeout in a Keep-Alive field ("timeout=5, max=100"), if it has one.
std::optional<std::chrono::seconds> stated_timeout(const std::string& value)
{
    constexpr std::string_view key = "timeout=";
    constexpr int longest_s = 86'400;
    const auto place = value.find(key);
    if (place == std::string::npos)
        return std::nullopt;
    int seconds = 0;
    const auto* first = value.data() + place + key.size();
    const auto parsed = std::from_chars(first, value.data() + value.size(), seconds);
    if (parsed.ec != std::errc{} || seconds < 0 || seconds > longest_s)
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

http_failure_kind failure_of(parse_status status)
{
    return status == parse_status::malformed ? http_failure_kind::malformed
                                             : http_failure_kind::too_large;
}

} // namespace

void client_call::finish(http_result result)
{
    if (ended_.exchange(true))
        return;
    timer_.cancel();
    const auto done = std::exchange(done_, nullptr);
    if (done)
        done(std::move(result));
}

client_connection::client_connection(asio::io_context& io,
                                     std::shared_ptr<connection_owner> owner,
                                     const http_client_options& options)
    : owner_(std::move(owner)), socket_(asio::make_strand(io)), options_(options),
      idle_timeout_(options.idle_timeout), open_timer_(socket_.get_executor()),
      idle_timer_(socket_.get_executor()),
      parser_(HTTP_RESPONSE, message_limits{},
              options.answers_until_end ? answer_length::stated_or_until_end
                                        : answer_length::stated)
{
}

void client_connection::open(const asio::ip::tcp::endpoint& target)
{
    asio::dispatch(socket_.get_executor(),
                   [self = shared_from_this(), target]
                   {
                       if (self->closed_)
                           return;
                       self->open_timer_.expires_after(open_timeout);
                       self->open_timer_.async_wait(
                           [self](asio::error_code ec)
                           {
                               if (!ec && !self->connected_)
                                   self->on_connected(asio::error::timed_out);
                           });
                       self->socket_.async_connect(target, [self](asio::error_code ec)
                                                   { self->on_connected(ec); });
                   });
}

void client_connection::on_connected(asio::error_code ec)
{
    if (closed_)
        return;
    open_timer_.cancel();
    if (ec)
    {
        closed_ = true;
        asio::error_code ignored;
        socket_.close(ignored);
        return owner_->failed_to_open(shared_from_this(), ec.message());
    }
    connected_ = true;
    socket_.set_option(asio::ip::tcp::no_delay(true), ec);
    socket_.non_blocking(true, ec);
    read();
    become_idle();
}

void client_connection::start(const call_ptr& call)
{
    asio::dispatch(socket_.get_executor(),
                   [self = shared_from_this(), call] { self->run(call); });
}

void client_connection::run(const call_ptr& call)
{
    if (call->ended() || call->aborted_)
    {
        const http_failure_kind kind = call->abort_kind_;
        if (!closed_)
            become_idle();
        return call->finish(http_failure{kind, false, std::string(to_string(kind))});
    }
    if (!closed_ && readable_or_closed())
        shut();
    if (closed_)
        return owner_->give_back(call);
    idle_timer_.cancel();
    call_ = call;
    writing_ = call;
    received_bytes_ = 0;
    parser_.reset(call->head_);
    asio::async_write(socket_, asio::buffer(call->bytes_),
                      [self = shared_from_this()](asio::error_code ec, std::size_t size)
                      { self->on_written(ec, size); });
}

// The pending wait reports the end of an idle connection, or bytes that belong to no
// request, only after the event loop has seen them; this asks the kernel right before the
// write.
bool client_connection::readable_or_closed()
{
    char byte = 0;
    const auto got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

// Waits without taking bytes from the kernel, so that readable_or_closed() sees bytes
// that arrived before the request was written.
void client_connection::read()
{
    if (reading_ || closed_)
        return;
    reading_ = true;
    socket_.async_wait(strand_socket::wait_read,
                       [self = shared_from_this()](asio::error_code ec)
                       { self->on_readable(ec); });
}

void client_connection::on_readable(asio::error_code ec)
{
    reading_ = false;
    if (closed_)
        return;
    // A wait may end without data when an earlier read has taken it already.
    if (!call_ && !ec && !readable_or_closed())
        return read();
    if (!call_)
        return shut();
    thread_local std::array<char, read_size> buffer;
    const auto size = ec ? 0 : socket_.read_some(asio::buffer(buffer), ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again)
        return read();
    if (ec == asio::error::eof)
        return on_end();
    if (ec)
        return fail(http_failure_kind::cut, true, ec.message());
    received_bytes_ += size;
    on_answer_bytes(buffer.data(), size);
}

// A faulty server may send bytes without end that complete no answer.
bool client_connection::is_answer_bounded(std::size_t size)
{
    const auto overhead_bytes = received_bytes_ - std::min(received_bytes_, size);
    if (overhead_bytes > max_overhead_bytes + max_overhead_ratio * size)
        return false;
    const auto before = std::exchange(buffered_bytes_, size);
    return owner_->buffered(before, size);
}

void client_connection::release_buffered()
{
    owner_->buffered(std::exchange(buffered_bytes_, 0), 0);
}

// A reset can look like an orderly end, as the kernel reports its error only once, and
// the write may get it. So the end completes an answer only once the request is written.
void client_connection::on_end()
{
    const bool whole = parser_.finish() == parse_status::complete;
    if (!whole || parser_.status_code() / 100 == 1)
        return fail(http_failure_kind::cut, true, "closed before the answer was whole");
    if (writing_)
        end_after_write_ = true;
    else
        on_answer(false);
}

void client_connection::on_answer_bytes(const char* data, std::size_t size)
{
    std::size_t used = 0;
    auto status = parser_.feed(data, size, used);
    if (status == parse_status::need_more && !is_answer_bounded(parser_.body_bytes()))
        return fail(http_failure_kind::too_large, true, "bytes without an answer");
    if (status == parse_status::need_more)
        return read();
    if (status != parse_status::complete)
        return fail(failure_of(status), true, parser_.problem());
    if (parser_.status_code() == 101)
        return fail(http_failure_kind::malformed, true, "unexpected protocol switch");
    // An interim answer (100, 102, 103) precedes the real one.
    if (parser_.status_code() / 100 == 1)
        return skip_answer(data + used, size - used);
    on_answer(used == size && parser_.keep_alive(), data + used, size - used);
}

// Reads on after an answer that is not the one waited for.
void client_connection::skip_answer(const char* rest, std::size_t size)
{
    parser_.reset(call_->head_);
    if (!is_answer_bounded(0))
        return fail(http_failure_kind::too_large, true, "bytes without an answer");
    if (size == 0)
        return read();
    on_answer_bytes(rest, size);
}

void client_connection::on_answer(bool reusable, const char* rest, std::size_t size)
{
    auto response = parser_.take_response();
    if (call_->belongs_ && !call_->belongs_(response, use_))
    {
        if (!parser_.keep_alive())
            return fail(http_failure_kind::cut, true,
                        "answer belongs to another request");
        return skip_answer(rest, size);
    }
    use_ = connection_use::reused;
    release_buffered();
    const auto call = std::exchange(call_, nullptr);
    note_idle_timeout(response);
    if (reusable)
        reuse();
    else
        shut();
    call->finish(std::move(response));
}

// The answer can be read before the event loop reports the end of the write. The
// connection is free only after that report.
void client_connection::reuse()
{
    read();
    if (!writing_)
        return become_idle();
    idle_after_write_ = true;
    open_timer_.expires_after(open_timeout);
    open_timer_.async_wait(
        [self = shared_from_this()](asio::error_code ec)
        {
            if (!ec && self->idle_after_write_)
                self->shut();
        });
}

void client_connection::on_written(asio::error_code ec, std::size_t size)
{
    writing_.reset();
    if (closed_)
        return;
    if (ec)
        return fail(size == 0 ? http_failure_kind::not_sent : http_failure_kind::cut,
                    size != 0, ec.message());
    if (end_after_write_)
        return on_answer(false);
    if (!std::exchange(idle_after_write_, false))
        return;
    open_timer_.cancel();
    become_idle();
}

void client_connection::note_idle_timeout(const http_response& response)
{
    const auto* field = find_header(response.headers, "Keep-Alive");
    const auto stated = field ? stated_timeout(*field) : std::nullopt;
    if (stated)
        idle_timeout_ =
            std::max(least_idle_time, milliseconds(*stated) - options_.idle_margin);
}

void client_connection::become_idle()
{
    if (idle_timeout_ > milliseconds{0})
    {
        idle_timer_.expires_after(idle_timeout_);
        idle_timer_.async_wait(
            [weak = weak_from_this()](asio::error_code ec)
            {
                const auto self = weak.lock();
                if (!ec && self && !self->call_)
                    self->shut();
            });
    }
    owner_->became_idle(shared_from_this());
}

void client_connection::abort(const call_ptr& call, http_failure_kind kind)
{
    asio::dispatch(socket_.get_executor(),
                   [self = shared_from_this(), call, kind]
                   {
                       if (self->call_ == call)
                           self->fail(kind, true, std::string(to_string(kind)));
                   });
}

void client_connection::fail(http_failure_kind kind, bool sent, std::string detail)
{
    const auto call = std::exchange(call_, nullptr);
    shut();
    if (call)
        call->finish(http_failure{kind, sent, std::move(detail)});
}

void client_connection::close()
{
    asio::dispatch(socket_.get_executor(),
                   [self = shared_from_this()]
                   {
                       if (!self->closed_)
                           self->fail(http_failure_kind::cancelled, true, "pool closed");
                   });
}

void client_connection::shut()
{
    if (std::exchange(closed_, true))
        return;
    release_buffered();
    open_timer_.cancel();
    idle_timer_.cancel();
    asio::error_code ec;
    socket_.close(ec);
    owner_->closed(shared_from_this());
}

} // namespace fescueridge::detail
