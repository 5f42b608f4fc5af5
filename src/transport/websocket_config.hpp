#pragma once

#include <optional>

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "fescueridge/codec/messages.hpp"

namespace fescueridge::detail
{

/// Connection that starts a write at once when it is asked to from an io thread. The
/// library's own dispatch always posts, so that each frame waits for a turn of the event
/// loop.
template <class Config>
class direct_connection : public websocketpp::transport::asio::connection<Config>
{
public:
    using base = websocketpp::transport::asio::connection<Config>;
    using type = direct_connection<Config>;
    using ptr = std::shared_ptr<type>;
    using base::base;

    websocketpp::lib::error_code dispatch(websocketpp::transport::dispatch_handler step)
    {
        asio::dispatch(*base::get_strand(), std::move(step));
        return {};
    }
};

/// Transport that can bind outgoing connections to a source address. The library's own
/// async_connect closes a socket that was bound before, so it is replaced. Targets are IP
/// numbers, as everywhere in the project.
template <class Config>
class bound_transport : public websocketpp::transport::asio::endpoint<Config>
{
public:
    using base = websocketpp::transport::asio::endpoint<Config>;
    using transport_con_type = direct_connection<Config>;
    using transport_con_ptr = typename transport_con_type::ptr;

    void set_source(const asio::ip::address& source) { source_ = source; }

protected:
    void async_connect(const transport_con_ptr& connection,
                       const websocketpp::uri_ptr& target,
                       const websocketpp::transport::connect_handler& done)
    {
        using websocketpp::transport::error::make_error_code;
        namespace error = websocketpp::transport::error;
        connection->set_uri(target);
        auto& socket = connection->get_raw_socket();
        asio::error_code ec;
        const auto address = asio::ip::make_address(target->get_host(), ec);
        const asio::ip::tcp::endpoint remote(address, target->get_port());
        if (!ec)
            socket.open(remote.protocol(), ec);
        if (!ec && source_)
            socket.bind({*source_, 0}, ec);
        if (ec)
        {
            asio::post(*connection->get_strand(), [done, ec] { done(ec); });
            return;
        }
        const auto timer = connection->set_timer(
            Config::timeout_connect,
            [connection, done](const websocketpp::lib::error_code& e)
            {
                if (e)
                    return;
                asio::error_code ignored;
                connection->get_raw_socket().cancel(ignored);
                done(make_error_code(error::timeout));
            });
        socket.async_connect(remote,
                             connection->get_strand()->wrap(
                                 [timer, done](const asio::error_code& e)
                                 {
                                     if (e == asio::error::operation_aborted ||
                                         timer->expires_from_now() < milliseconds(0))
                                         return; // the timer has reported it
                                     timer->cancel();
                                     done(e);
                                 }));
    }

private:
    std::optional<asio::ip::address> source_;
};

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
    using transport_type = bound_transport<transport_config>;
};

using websocket_server = websocketpp::server<websocket_config>;
using websocket_client = websocketpp::client<websocket_config>;
using websocket_connection = websocket_server::connection_type;
using websocket_ptr = websocket_server::connection_ptr;

} // namespace fescueridge::detail
