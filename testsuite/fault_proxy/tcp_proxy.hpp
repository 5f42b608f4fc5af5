#pragma once

#include <cstdint>
#include <memory>
#include <set>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "faults.hpp"

namespace fault_proxy
{

class tcp_connection;

/// Forwards TCP connections to a target and applies the faults in force. To be used on
/// the thread of the io_context.
class tcp_proxy
{
public:
    /// Throws std::system_error when the address cannot be listened on.
    tcp_proxy(asio::io_context& context, const asio::ip::tcp::endpoint& listen,
              const asio::ip::tcp::endpoint& target, faults& active);

    /// Returns the port listened on.
    std::uint16_t port() const noexcept { return listen_.port(); }

    /// Takes over a changed mode: closes or opens the port, resets connections.
    void faults_changed();

private:
    void open();
    void accept_next();
    void take(asio::ip::tcp::socket client);

    asio::io_context& context_;
    asio::ip::tcp::endpoint listen_;
    asio::ip::tcp::endpoint target_;
    faults& faults_;
    asio::ip::tcp::acceptor acceptor_;
    std::set<std::weak_ptr<tcp_connection>, std::owner_less<>> connections_;
};

} // namespace fault_proxy
