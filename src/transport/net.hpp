#pragma once

#include <asio.hpp>

#include "fescueridge/base/endpoint.hpp"
#include "fescueridge/base/error.hpp"

namespace fescueridge::detail
{

using strand_type = asio::strand<asio::io_context::executor_type>;

/// Socket whose handlers run on its strand.
using strand_socket = asio::basic_stream_socket<asio::ip::tcp, strand_type>;

/// Throws address_error when the address is not an IP number.
inline asio::ip::tcp::endpoint to_asio(const endpoint& value)
{
    asio::error_code ec;
    const auto address = asio::ip::make_address(value.address, ec);
    if (ec)
        throw address_error("address \"" + value.address + "\" is not an IP number");
    return {address, value.port};
}

inline endpoint from_asio(const asio::ip::tcp::endpoint& value)
{
    return {value.address().to_string(), value.port()};
}

} // namespace fescueridge::detail
