#include "fescueridge/transport/http.hpp"

#include <algorithm>
#include <array>
#include <cctype>

#include "fescueridge/transport/http_client_pool.hpp"
#include "fescueridge/transport/http_server.hpp"
#include "fescueridge/transport/link_hub.hpp"

namespace fescueridge
{

bool same_field_name(std::string_view a, std::string_view b) noexcept
{
    const auto lower = [](char c)
    {
        return std::tolower(static_cast<unsigned char>(c));
    };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [&](char x, char y) { return lower(x) == lower(y); });
}

namespace
{

constexpr std::array<std::string_view, 10> hop_headers = {"Connection",
                                                          "Keep-Alive",
                                                          "Transfer-Encoding",
                                                          "Content-Length",
                                                          "Host",
                                                          "Upgrade",
                                                          "TE",
                                                          "Trailer",
                                                          "Expect",
                                                          "Proxy-Connection"};

} // namespace

const std::string* find_header(const std::vector<header_field>& headers,
                               std::string_view name) noexcept
{
    for (const auto& field : headers)
        if (same_field_name(field.name, name))
            return &field.value;
    return nullptr;
}

bool is_hop_header(std::string_view name) noexcept
{
    return std::any_of(hop_headers.begin(), hop_headers.end(),
                       [&](std::string_view hop) { return same_field_name(hop, name); });
}

namespace
{

/// Returns the field names in the value of a Connection field.
std::vector<std::string> listed_names(std::string_view value)
{
    std::vector<std::string> names(1);
    for (const char c : value)
    {
        if (c == ',')
            names.emplace_back();
        else if (c != ' ' && c != '\t')
            names.back().push_back(c);
    }
    return names;
}

} // namespace

void remove_hop_headers(std::vector<header_field>& headers,
                        const end_to_end_field& is_kept)
{
    std::vector<std::string> listed;
    for (const auto& field : headers)
        if (same_field_name(field.name, "Connection"))
            for (auto& name : listed_names(field.value))
                listed.push_back(std::move(name));
    const auto concerns_connection = [&](const header_field& field)
    {
        if (is_hop_header(field.name))
            return true;
        const bool is_listed = std::any_of(listed.begin(), listed.end(),
                                           [&](const std::string& name)
                                           { return same_field_name(name, field.name); });
        return is_listed && !is_kept(field.name);
    };
    headers.erase(std::remove_if(headers.begin(), headers.end(), concerns_connection),
                  headers.end());
}

std::string_view to_string(http_fault_kind value) noexcept
{
    switch (value)
    {
    case http_fault_kind::malformed:
        return "malformed";
    case http_fault_kind::body_too_large:
        return "body_too_large";
    case http_fault_kind::header_too_large:
        return "header_too_large";
    case http_fault_kind::no_room:
        return "no_room";
    case http_fault_kind::stalled:
        return "stalled";
    case http_fault_kind::cut:
        return "cut";
    case http_fault_kind::timed_out:
        return "timed_out";
    }
    return "malformed";
}

std::string_view to_string(http_failure_kind value) noexcept
{
    switch (value)
    {
    case http_failure_kind::connect_failed:
        return "connect_failed";
    case http_failure_kind::not_sent:
        return "not_sent";
    case http_failure_kind::timed_out:
        return "timed_out";
    case http_failure_kind::cut:
        return "cut";
    case http_failure_kind::malformed:
        return "malformed";
    case http_failure_kind::too_large:
        return "too_large";
    case http_failure_kind::cancelled:
        return "cancelled";
    case http_failure_kind::no_connection:
        return "no_connection";
    }
    return "cut";
}

std::string_view to_string(link_fault_kind value) noexcept
{
    switch (value)
    {
    case link_fault_kind::connect_failed:
        return "connect_failed";
    case link_fault_kind::handshake_failed:
        return "handshake_failed";
    case link_fault_kind::bad_frame:
        return "bad_frame";
    case link_fault_kind::frame_too_large:
        return "frame_too_large";
    case link_fault_kind::silent:
        return "silent";
    case link_fault_kind::backlog:
        return "backlog";
    case link_fault_kind::cut:
        return "cut";
    }
    return "cut";
}

} // namespace fescueridge
