#include "udp_proxy.hpp"

#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>

namespace fault_proxy
{

using asio::ip::udp;

udp_proxy::udp_proxy(asio::io_context& context, const udp::endpoint& listen,
                     const udp::endpoint& target, faults& active)
    : context_(context), socket_(context, listen), target_(target), faults_(active)
{
    receive_next();
}

void udp_proxy::receive_next()
{
    socket_.async_receive_from(asio::buffer(buffer_), sender_,
                               [this](const std::error_code& problem, std::size_t size)
                               {
                                   if (problem == asio::error::operation_aborted)
                                   {
                                       return;
                                   }
                                   if (!problem)
                                   {
                                       session& client = session_of(sender_);
                                       forward(client, direction::to_target,
                                               {buffer_.data(), buffer_.data() + size});
                                   }
                                   receive_next();
                               });
}

udp_proxy::session& udp_proxy::session_of(const udp::endpoint& client)
{
    std::unique_ptr<session>& place = sessions_[client];
    if (!place)
    {
        place = std::make_unique<session>(context_, client);
        receive_answer(*place);
    }
    return *place;
}

void udp_proxy::receive_answer(session& client)
{
    client.socket.async_receive_from(
        asio::buffer(client.buffer), client.sender,
        [this, &client](const std::error_code& problem, std::size_t size)
        {
            if (problem == asio::error::operation_aborted)
            {
                return;
            }
            if (!problem)
            {
                const char* start = client.buffer.data();
                forward(client, direction::to_client, {start, start + size});
            }
            receive_answer(client);
        });
}

void udp_proxy::forward(session& client, direction way, std::vector<char> bytes)
{
    const bool towards_target = way == direction::to_target;
    udp::socket& socket = towards_target ? client.socket : socket_;
    const udp::endpoint to = towards_target ? target_ : client.client;
    if (faults_.loses_datagram(way, client.source))
    {
        return;
    }
    std::error_code ignored;
    if (faults_.delay.count() == 0)
    {
        socket.send_to(asio::buffer(bytes), to, 0, ignored);
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(context_, faults_.delay);
    timer->async_wait(
        [timer, &socket, to, kept = std::move(bytes)](const std::error_code& problem)
        {
            std::error_code unsent;
            if (!problem)
            {
                socket.send_to(asio::buffer(kept), to, 0, unsent);
            }
        });
}

} // namespace fault_proxy
