#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/messages.hpp"

namespace fescueridge
{

/// Largest request line, status line and header block in bytes.
constexpr std::size_t max_header_bytes = std::size_t{64} * 1024;

/// Largest sizes of one message, in bytes.
struct message_limits
{
    /// Target, names and values of the fields together.
    std::size_t header = max_header_bytes;
    std::size_t body = max_body_bytes;
};

/// A whole HTTP request. `target` is the part of the request line between method and
/// version, undecoded.
struct http_request
{
    std::string method;
    std::string target;
    std::vector<header_field> headers;
    std::string body;

    /// Value of the Host field to send; empty for the address of the connection.
    std::string authority{};
};

/// A whole HTTP answer. The writer adds Content-Length; Content-Length,
/// Transfer-Encoding, Connection and Keep-Alive fields in `headers` are not sent.
struct http_response
{
    int status = 200;
    std::vector<header_field> headers;
    std::string body;
};

/// Returns the value of the first field with this name (case does not matter), or null.
const std::string* find_header(const std::vector<header_field>& headers,
                               std::string_view name) noexcept;

/// Tells whether the field concerns one connection only, so that it must not be passed on
/// from one hop to the next (Connection, Keep-Alive, Transfer-Encoding, Content-Length,
/// Host, Upgrade, TE, Trailer, Expect, Proxy-Connection).
bool is_hop_header(std::string_view name) noexcept;

/// Compares two field names without regard to case.
bool same_field_name(std::string_view a, std::string_view b) noexcept;

/// Tells whether a field must reach the other end, by its name.
using end_to_end_field = std::function<bool(std::string_view)>;

/// Removes the fields that concern one connection only: those of is_hop_header() and
/// those that a Connection field lists, except the fields that must reach the other end.
void remove_hop_headers(std::vector<header_field>& headers,
                        const end_to_end_field& is_kept);

} // namespace fescueridge
