#pragma once

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "fescueridge/codec/messages.hpp"

namespace fescueridge::detail
{

/// Settings of websocketpp for links. One configuration serves both ends, so that both
/// have the same connection type. Compression is off in the library's defaults.
struct websocket_config : public websocketpp::config::asio_client
{
    using type = websocket_config;
    using base = websocketpp::config::asio_client;

    static const std::size_t max_message_size = max_frame_bytes;

    /// Handshakes and closes that take longer are given up, in milliseconds.
    static const long timeout_open_handshake = 1500;
    static const long timeout_close_handshake = 500;

    struct transport_config : public base::transport_config
    {
        static const long timeout_connect = 1500;
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;
};

using websocket_server = websocketpp::server<websocket_config>;
using websocket_client = websocketpp::client<websocket_config>;
using websocket_connection = websocket_server::connection_type;
using websocket_ptr = websocket_server::connection_ptr;

} // namespace fescueridge::detail
