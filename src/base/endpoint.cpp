#include "fescueridge/base/endpoint.hpp"

#include <charconv>
#include <fmt/format.h>

#include "fescueridge/base/error.hpp"

namespace fescueridge
{

namespace
{

bool is_ipv4(std::string_view text)
{
    int parts = 0;
    while (true)
    {
        unsigned value = 0;
        const auto [end, status] =
            std::from_chars(text.data(), text.data() + text.size(), value);
        if (status != std::errc() || value > 255)
        {
            return false;
        }
        ++parts;
        text.remove_prefix(static_cast<std::size_t>(end - text.data()));
        if (text.empty())
        {
            return parts == 4;
        }
        if (text.front() != '.' || parts == 4)
        {
            return false;
        }
        text.remove_prefix(1);
    }
}

} // namespace

std::string to_string(const endpoint& value)
{
    return fmt::format("{}:{}", value.address, value.port);
}

endpoint parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || !is_ipv4(text.substr(0, colon)))
    {
        throw address_error(fmt::format("\"{}\" is not an address:port", text));
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, status] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (status != std::errc() || end != digits.data() + digits.size())
    {
        throw address_error(fmt::format("\"{}\" has no valid port", text));
    }
    return endpoint{std::string(text.substr(0, colon)), port};
}

} // namespace fescueridge
