#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <http_parser.h>

#include "fescueridge/transport/http.hpp"

namespace fescueridge::detail
{

/// State of the message after some bytes.
enum class parse_status : std::uint8_t
{
    need_more,
    complete,
    malformed,
    header_too_large,
    body_too_large
};

/// Whether an answer may leave its length open and end with its connection.
enum class answer_length : std::uint8_t
{
    stated,             ///< Content-Length or chunked; anything else is malformed.
    stated_or_until_end ///< An orderly end of the connection ends the answer too.
};

/// Reads one HTTP message at a time with http-parser.
class message_parser
{
public:
    explicit message_parser(http_parser_type type, message_limits limits = {},
                            answer_length length = answer_length::stated);
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;

    /// Starts a new message. `head_answer` says that the answer has no body although it
    /// states a length.
    void reset(bool head_answer = false);

    /// Changes the limits, for the bytes that are read from now on.
    void set_limits(message_limits limits) noexcept { limits_ = limits; }

    /// Reads bytes up to the end of the message; `used` is the number of bytes read.
    parse_status feed(const char* data, std::size_t size, std::size_t& used);

    /// Takes an orderly end of the connection: completes an answer without a stated
    /// length and is a cut for everything else.
    parse_status finish();

    /// Returns the bytes of the body that were read so far.
    std::size_t body_bytes() const noexcept { return body_.size(); }

    /// Returns the bytes that the message holds so far, and those that it will hold where
    /// it states the length of its body.
    std::size_t held_bytes() const noexcept { return header_bytes_ + body_.capacity(); }
    std::size_t expected_bytes() const noexcept;

    /// Tells whether any byte of the current message was read.
    bool started() const noexcept { return started_; }

    /// Tells whether the connection may carry another message after this one.
    bool keep_alive() const noexcept { return keep_alive_; }

    /// Returns the status of an answer whose status line was read.
    int status_code() const noexcept { return static_cast<int>(parser_.status_code); }

    /// Tells once whether the peer waits for an interim answer before it sends the body.
    bool take_expects_continue() noexcept;

    /// Describes why the message was not accepted.
    const std::string& problem() const noexcept { return problem_; }

    /// Takes the complete message.
    http_request take_request();
    http_response take_response();

private:
    static message_parser& self(http_parser* parser);
    static int on_url(http_parser* parser, const char* data, std::size_t size);
    static int on_header_field(http_parser* parser, const char* data, std::size_t size);
    static int on_header_value(http_parser* parser, const char* data, std::size_t size);
    static int on_headers_complete(http_parser* parser);
    static int on_body(http_parser* parser, const char* data, std::size_t size);
    static int on_message_complete(http_parser* parser);
    static const http_parser_settings& settings();

    int headers_complete();
    bool take_header_bytes(std::size_t size);
    bool accept_field_names();
    bool states_framing_twice() const;
    bool lacks_length() const;
    void keep_status_line(const char* data, std::size_t size);
    bool has_valid_status() const;
    parse_status fail(parse_status status, std::string problem);

    http_parser parser_{};
    http_parser_type type_;
    message_limits limits_;
    std::size_t header_bytes_ = 0;
    std::uint64_t body_length_ = 0; ///< As stated in the header; ~0 where it is not.
    answer_length length_;
    parse_status status_ = parse_status::need_more;
    bool head_answer_ = false;
    bool started_ = false;
    bool keep_alive_ = false;
    bool in_value_ = false;
    bool expects_continue_ = false;
    std::string problem_;
    std::string status_line_; ///< The start of an answer, up to the end of its status.
    std::string target_;
    std::vector<header_field> headers_;
    std::string body_;
};

/// Returns the bytes of an answer. `with_body` is false for the answer to a HEAD request.
/// Fields with a control character in name or value are left out, so that a value cannot
/// add fields or a second answer.
std::string write_response(const http_response& response, bool keep_alive,
                           bool with_body);

/// Returns the bytes of a request; empty when method or target cannot be sent.
std::string write_request(const http_request& request, const std::string& host);

/// Returns an answer with a short plain-text body.
http_response plain_response(int status, const std::string& text);

} // namespace fescueridge::detail
