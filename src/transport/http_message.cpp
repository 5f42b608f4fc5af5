#include "http_message.hpp"

#include <algorithm>
#include <mutex>
#include <string_view>

#include <fmt/format.h>

namespace fescueridge::detail
{
namespace
{

/// Makes http-parser stop at the current byte.
constexpr int refuse = -1;

constexpr std::uint64_t no_content_length = ~std::uint64_t{0};

/// Position behind the status in "HTTP/1.1 200 OK".
constexpr std::size_t status_end = 12;

bool has_control_character(std::string_view text)
{
    return std::any_of(text.begin(), text.end(),
                       [](char c) {
                           return (static_cast<unsigned char>(c) < 0x20 && c != '\t') ||
                                  c == 0x7f;
                       });
}

bool is_field_name(std::string_view name)
{
    return !name.empty() && !has_control_character(name) &&
           name.find_first_of(" \t:") == std::string_view::npos;
}

bool is_request_word(std::string_view word)
{
    return !word.empty() && !has_control_character(word) &&
           word.find_first_of(" \t") == std::string_view::npos;
}

void append_fields(std::string& out, const std::vector<header_field>& headers)
{
    for (const auto& field : headers)
    {
        if (is_hop_header(field.name) || !is_field_name(field.name) ||
            has_control_character(field.value))
            continue;
        out.append(field.name).append(": ").append(field.value).append("\r\n");
    }
}

const char* status_text(int status)
{
    switch (status)
    {
#define FESCUERIDGE_STATUS(number, name, text)                                           \
    case number:                                                                         \
        return #text;
        HTTP_STATUS_MAP(FESCUERIDGE_STATUS)
#undef FESCUERIDGE_STATUS
    default:
        return "Status";
    }
}

} // namespace

message_parser::message_parser(http_parser_type type, message_limits limits,
                               answer_length length)
    : type_(type), limits_(limits), length_(length)
{
    static std::once_flag limit_set;
    std::call_once(limit_set, [] { http_parser_set_max_header_size(max_header_bytes); });
    reset();
}

void message_parser::reset(bool head_answer)
{
    http_parser_init(&parser_, type_);
    parser_.data = this;
    status_ = parse_status::need_more;
    head_answer_ = head_answer;
    started_ = false;
    keep_alive_ = false;
    in_value_ = false;
    expects_continue_ = false;
    header_bytes_ = 0;
    body_length_ = no_content_length;
    problem_.clear();
    status_line_.clear();
    target_.clear();
    headers_.clear();
    std::string().swap(body_); // clear() would keep its memory
}

parse_status message_parser::feed(const char* data, std::size_t size, std::size_t& used)
{
    used = 0;
    if (status_ != parse_status::need_more || size == 0)
        return status_;
    started_ = true;
    keep_status_line(data, size);
    used = http_parser_execute(&parser_, &settings(), data, size);
    if (status_ != parse_status::need_more)
        return status_;
    const auto code = HTTP_PARSER_ERRNO(&parser_);
    if (code == HPE_HEADER_OVERFLOW)
        return fail(parse_status::header_too_large, "header block over the limit");
    if (code != HPE_OK)
        return fail(parse_status::malformed, http_errno_description(code));
    return status_;
}

std::size_t message_parser::expected_bytes() const noexcept
{
    const bool has_length = body_length_ != no_content_length;
    return header_bytes_ +
           (has_length ? std::max(body_length_, body_.size()) : body_.size());
}

parse_status message_parser::finish()
{
    if (status_ == parse_status::need_more && started_)
        http_parser_execute(&parser_, &settings(), nullptr, 0);
    return status_;
}

parse_status message_parser::fail(parse_status status, std::string problem)
{
    status_ = status;
    problem_ = std::move(problem);
    return status_;
}

bool message_parser::take_expects_continue() noexcept
{
    return std::exchange(expects_continue_, false);
}

http_request message_parser::take_request()
{
    return {http_method_str(static_cast<http_method>(parser_.method)), std::move(target_),
            std::move(headers_), std::move(body_)};
}

http_response message_parser::take_response()
{
    return {static_cast<int>(parser_.status_code), std::move(headers_), std::move(body_)};
}

message_parser& message_parser::self(http_parser* parser)
{
    return *static_cast<message_parser*>(parser->data);
}

/// Counts bytes of the header block; false when they exceed its limit.
bool message_parser::take_header_bytes(std::size_t size)
{
    header_bytes_ += size;
    if (header_bytes_ <= limits_.header)
        return true;
    fail(parse_status::header_too_large, "header block over the limit");
    return false;
}

int message_parser::on_url(http_parser* parser, const char* data, std::size_t size)
{
    auto& me = self(parser);
    if (!me.take_header_bytes(size))
        return refuse;
    me.target_.append(data, size);
    return 0;
}

int message_parser::on_header_field(http_parser* parser, const char* data,
                                    std::size_t size)
{
    auto& me = self(parser);
    if (!me.take_header_bytes(size))
        return refuse;
    if (me.headers_.empty() || me.in_value_)
        me.headers_.emplace_back();
    me.in_value_ = false;
    me.headers_.back().name.append(data, size);
    return 0;
}

int message_parser::on_header_value(http_parser* parser, const char* data,
                                    std::size_t size)
{
    auto& me = self(parser);
    if (!me.take_header_bytes(size))
        return refuse;
    me.in_value_ = true;
    me.headers_.back().value.append(data, size);
    return 0;
}

int message_parser::on_headers_complete(http_parser* parser)
{
    return self(parser).headers_complete();
}

int message_parser::headers_complete()
{
    constexpr int skip_body = 1;
    parser_.upgrade = 0;
    if (!accept_field_names())
    {
        fail(parse_status::malformed, "white space before the colon of a field");
        return refuse;
    }
    if (states_framing_twice())
    {
        fail(parse_status::malformed, "more than one statement of the length");
        return refuse;
    }
    if (!has_valid_status())
    {
        fail(parse_status::malformed, "status is not a number of three digits from 100");
        return refuse;
    }
    if (lacks_length())
    {
        fail(parse_status::malformed, "answer does not state its length");
        return refuse;
    }
    if (head_answer_)
        return skip_body;
    body_length_ = parser_.content_length;
    if (parser_.content_length != no_content_length &&
        parser_.content_length > limits_.body)
    {
        fail(parse_status::body_too_large, "body over the limit");
        return refuse;
    }
    const auto* expect = find_header(headers_, "Expect");
    expects_continue_ = type_ == HTTP_REQUEST && expect && *expect == "100-continue";
    return 0;
}

/// Applies RFC 9112, section 5.1: white space between the name of a field and its colon
/// makes a request malformed and is removed from an answer.
bool message_parser::accept_field_names()
{
    constexpr const char* white_space = " \t";
    for (auto& field : headers_)
    {
        const auto last = field.name.find_last_not_of(white_space);
        if (last == std::string::npos || last + 1 == field.name.size())
            continue;
        if (type_ == HTTP_REQUEST)
            return false;
        field.name.resize(last + 1);
    }
    return true;
}

bool message_parser::states_framing_twice() const
{
    const auto count =
        std::count_if(headers_.begin(), headers_.end(),
                      [](const header_field& field)
                      {
                          return same_field_name(field.name, "Content-Length") ||
                                 same_field_name(field.name, "Transfer-Encoding");
                      });
    return type_ == HTTP_REQUEST && count > 1;
}

// http-parser gives the number only, and takes any count of digits.
void message_parser::keep_status_line(const char* data, std::size_t size)
{
    const std::string_view bytes(data, type_ == HTTP_RESPONSE ? size : 0);
    std::size_t at = status_line_.empty() ? bytes.find_first_not_of("\r\n") : 0;
    for (; at < bytes.size() && status_line_.size() <= status_end; ++at)
        status_line_.push_back(bytes[at]);
}

bool message_parser::has_valid_status() const
{
    constexpr unsigned lowest_status = 100;
    if (type_ != HTTP_RESPONSE)
        return true;
    const bool ends_after_three_digits =
        status_line_.size() > status_end &&
        std::string_view(" \r\n").find(status_line_[status_end]) !=
            std::string_view::npos;
    return ends_after_three_digits && parser_.status_code >= lowest_status;
}

bool message_parser::lacks_length() const
{
    if (type_ != HTTP_RESPONSE || head_answer_ ||
        length_ == answer_length::stated_or_until_end)
        return false;
    if (parser_.status_code / 100 == 1 || parser_.status_code == 204 ||
        parser_.status_code == 304)
        return false;
    return (parser_.flags & F_CHUNKED) == 0 &&
           parser_.content_length == no_content_length;
}

int message_parser::on_body(http_parser* parser, const char* data, std::size_t size)
{
    auto& me = self(parser);
    if (me.body_.size() + size > me.limits_.body)
    {
        me.fail(parse_status::body_too_large, "body over the limit");
        return refuse;
    }
    me.body_.append(data, size);
    return 0;
}

int message_parser::on_message_complete(http_parser* parser)
{
    auto& me = self(parser);
    me.status_ = parse_status::complete;
    me.keep_alive_ = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings& message_parser::settings()
{
    static const http_parser_settings value = []
    {
        http_parser_settings result;
        http_parser_settings_init(&result);
        result.on_url = on_url;
        result.on_header_field = on_header_field;
        result.on_header_value = on_header_value;
        result.on_headers_complete = on_headers_complete;
        result.on_body = on_body;
        result.on_message_complete = on_message_complete;
        return result;
    }();
    return value;
}

std::string write_response(const http_response& response, bool keep_alive, bool with_body)
{
    auto out =
        fmt::format("HTTP/1.1 {} {}\r\n", response.status, status_text(response.status));
    out.reserve(out.size() + response.body.size() + 512);
    append_fields(out, response.headers);
    if (response.status != 204 && response.status != 304)
        out.append(fmt::format("Content-Length: {}\r\n", response.body.size()));
    if (!keep_alive)
        out.append("Connection: close\r\n");
    out.append("\r\n");
    if (with_body && response.status != 204 && response.status != 304)
        out.append(response.body);
    return out;
}

std::string write_request(const http_request& request, const std::string& host)
{
    if (!is_request_word(request.method) || !is_request_word(request.target))
        return {};
    auto out = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", request.method,
                           request.target, host);
    out.reserve(out.size() + request.body.size() + 512);
    append_fields(out, request.headers);
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
        out.append(fmt::format("Content-Length: {}\r\n", request.body.size()));
    out.append("\r\n").append(request.body);
    return out;
}

http_response plain_response(int status, const std::string& text)
{
    return {status, {{"Content-Type", "text/plain"}}, text + "\n"};
}

} // namespace fescueridge::detail
