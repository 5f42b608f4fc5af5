#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace fescueridge
{

/// An IP number and a port.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint& a, const endpoint& b)
    {
        return a.port == b.port && a.address == b.address;
    }
    friend bool operator!=(const endpoint& a, const endpoint& b) { return !(a == b); }
    friend bool operator<(const endpoint& a, const endpoint& b)
    {
        return a.address != b.address ? a.address < b.address : a.port < b.port;
    }
};

/// Returns "address:port".
std::string to_string(const endpoint& value);

/// Parses "address:port" with an IPv4 number. Throws address_error on anything else.
endpoint parse_endpoint(std::string_view text);

} // namespace fescueridge
