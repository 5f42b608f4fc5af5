#include "http_call_client.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <http_parser.h>
#include <strings.h>

namespace load
{

using asio::ip::tcp;

namespace
{

constexpr std::size_t read_size = 16'384;

bool same_name(const std::string& a, const char* b)
{
    return strcasecmp(a.c_str(), b) == 0;
}

} // namespace

/// One keep-alive connection.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    using pool_list = std::vector<http_call_client::pool>;

    client_connection(asio::io_context& context, std::weak_ptr<pool_list> pools,
                      std::size_t target)
        : socket_(context), timer_(context), pools_(std::move(pools)), target_(target)
    {
    }

    void open(const tcp::endpoint& address)
    {
        opening_ = true;
        socket_.async_connect(address,
                              [self = shared_from_this()](const std::error_code& problem)
                              { self->opened(problem); });
    }

    void send(std::string request, steady::time_point deadline,
              http_call_client::handler done)
    {
        request_ = std::move(request);
        done_ = std::move(done);
        answer_ = call_answer{};
        complete_ = false;
        ++serial_;
        http_parser_init(&parser_, HTTP_RESPONSE);
        parser_.data = this;
        timer_.expires_at(deadline);
        timer_.async_wait(
            [self = shared_from_this(), serial = serial_](const std::error_code& problem)
            {
                if (!problem && serial == self->serial_)
                {
                    self->fail(wire_result::timed_out);
                }
            });
        if (!opening_)
        {
            write();
        }
    }

private:
    void opened(const std::error_code& problem)
    {
        opening_ = false;
        if (problem)
        {
            fail(wire_result::connect_failed);
            return;
        }
        std::error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        read();
        write();
    }

    void write()
    {
        writing_ = true;
        asio::async_write(
            socket_, asio::buffer(request_),
            [self = shared_from_this()](const std::error_code& problem, std::size_t)
            {
                self->writing_ = false;
                if (problem)
                {
                    self->fail(wire_result::broken);
                }
            });
    }

    // A read is pending all the time, so that a close of an idle connection is seen.
    void read()
    {
        socket_.async_read_some(
            asio::buffer(buffer_),
            [self = shared_from_this()](const std::error_code& problem, std::size_t size)
            { self->take(problem, size); });
    }

    void take(const std::error_code& problem, std::size_t size)
    {
        if (problem || !done_)
        {
            fail(wire_result::broken);
            return;
        }
        const std::size_t parsed =
            http_parser_execute(&parser_, &callbacks(), buffer_.data(), size);
        if (parsed != size || HTTP_PARSER_ERRNO(&parser_) != HPE_OK)
        {
            fail(wire_result::broken);
            return;
        }
        if (complete_)
        {
            finish();
        }
        if (socket_.is_open())
        {
            read();
        }
    }

    void finish()
    {
        ++serial_;
        timer_.cancel();
        answer_.status = static_cast<int>(parser_.status_code);
        // An answer that comes before the request is sent whole leaves bytes behind.
        if (http_should_keep_alive(&parser_) != 0 && !writing_)
        {
            give_back();
        }
        else
        {
            close();
        }
        const auto done = std::exchange(done_, nullptr);
        done(std::move(answer_));
    }

    void fail(wire_result result)
    {
        ++serial_;
        close();
        timer_.cancel();
        forget();
        if (const auto done = std::exchange(done_, nullptr))
        {
            call_answer answer;
            answer.result = result;
            done(std::move(answer));
        }
    }

    void close()
    {
        std::error_code ignored;
        socket_.close(ignored);
    }

    void give_back()
    {
        if (const auto pools = pools_.lock())
        {
            (*pools)[target_].idle.push_back(shared_from_this());
        }
    }

    // Takes an idle connection that the server has closed out of the pool.
    void forget()
    {
        const auto pools = pools_.lock();
        if (pools && !done_)
        {
            auto& idle = (*pools)[target_].idle;
            idle.erase(std::remove(idle.begin(), idle.end(), shared_from_this()),
                       idle.end());
        }
    }

    static client_connection& of(http_parser* parser)
    {
        return *static_cast<client_connection*>(parser->data);
    }

    static int on_field(http_parser* parser, const char* text, std::size_t size)
    {
        client_connection& self = of(parser);
        if (self.in_value_)
        {
            self.end_header();
        }
        self.field_.append(text, size);
        return 0;
    }

    static int on_value(http_parser* parser, const char* text, std::size_t size)
    {
        of(parser).in_value_ = true;
        of(parser).value_.append(text, size);
        return 0;
    }

    static int on_head_end(http_parser* parser)
    {
        of(parser).end_header();
        return 0;
    }

    static int on_body(http_parser* parser, const char* text, std::size_t size)
    {
        of(parser).answer_.body.append(text, size);
        return 0;
    }

    static int on_end(http_parser* parser)
    {
        of(parser).complete_ = true;
        return 0;
    }

    void end_header()
    {
        if (same_name(field_, "Fescue-Outcome"))
        {
            answer_.outcome = value_;
        }
        else if (same_name(field_, "Fescue-Reason"))
        {
            answer_.reason = value_;
        }
        field_.clear();
        value_.clear();
        in_value_ = false;
    }

    static const http_parser_settings& callbacks()
    {
        static const http_parser_settings settings = []
        {
            http_parser_settings result;
            http_parser_settings_init(&result);
            result.on_header_field = on_field;
            result.on_header_value = on_value;
            result.on_headers_complete = on_head_end;
            result.on_body = on_body;
            result.on_message_complete = on_end;
            return result;
        }();
        return settings;
    }

    tcp::socket socket_;
    asio::steady_timer timer_;
    std::weak_ptr<pool_list> pools_;
    std::size_t target_;
    std::array<char, read_size> buffer_{};
    http_parser parser_{};
    std::string request_;
    std::string field_;
    std::string value_;
    call_answer answer_;
    http_call_client::handler done_;
    std::uint64_t serial_ = 0; ///< Tells a late time-out from that of the next request.
    bool opening_ = false;
    bool writing_ = false;
    bool in_value_ = false;
    bool complete_ = false;
};

http_call_client::http_call_client(asio::io_context& context,
                                   const std::vector<fescueridge::endpoint>& targets)
    : context_(context), pools_(std::make_shared<std::vector<pool>>())
{
    for (const fescueridge::endpoint& target : targets)
    {
        pools_->push_back({{asio::ip::make_address(target.address), target.port}, {}});
    }
}

http_call_client::~http_call_client() = default;

void http_call_client::send(std::size_t target, std::string request,
                            steady::time_point deadline, handler done)
{
    pool& place = (*pools_)[target];
    if (!place.idle.empty())
    {
        const auto connection = place.idle.back();
        place.idle.pop_back();
        connection->send(std::move(request), deadline, std::move(done));
        return;
    }
    const auto connection = std::make_shared<client_connection>(context_, pools_, target);
    connection->open(place.address);
    connection->send(std::move(request), deadline, std::move(done));
}

} // namespace load
