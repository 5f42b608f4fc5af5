#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include "faults.hpp"

namespace fault_proxy
{

/// Forwards datagrams to a target and its answers back, one socket for each client
/// address, and applies the faults in force. To be used on the thread of the io_context.
class udp_proxy
{
public:
    /// Throws std::system_error when the address cannot be listened on.
    udp_proxy(asio::io_context& context, const asio::ip::udp::endpoint& listen,
              const asio::ip::udp::endpoint& target, faults& active);

    /// Returns the port listened on.
    std::uint16_t port() const { return socket_.local_endpoint().port(); }

private:
    static constexpr std::size_t buffer_size = 65'536;

    /// Socket towards the target on behalf of one client.
    struct session
    {
        session(asio::io_context& context, const asio::ip::udp::endpoint& from)
            : socket(context, asio::ip::udp::endpoint(from.protocol(), 0)), client(from),
              source(from.address().to_string())
        {
        }
        asio::ip::udp::socket socket;
        asio::ip::udp::endpoint client;
        std::string source; ///< Address of the client.
        asio::ip::udp::endpoint sender;
        std::array<char, buffer_size> buffer{};
    };

    void receive_next();
    void receive_answer(session& client);
    session& session_of(const asio::ip::udp::endpoint& client);
    void forward(session& client, direction way, std::vector<char> bytes);

    asio::io_context& context_;
    asio::ip::udp::socket socket_;
    asio::ip::udp::endpoint target_;
    faults& faults_;
    asio::ip::udp::endpoint sender_;
    std::array<char, buffer_size> buffer_{};
    std::map<asio::ip::udp::endpoint, std::unique_ptr<session>> sessions_;
};

} // namespace fault_proxy
