#include "announcer.hpp"

namespace fescueridge::standin
{
namespace
{

constexpr milliseconds announce_interval{1000};
constexpr milliseconds announce_timeout{900};

} // namespace

announcer::announcer(asio::io_context& io, const endpoint& node,
                     std::function<std::string()> body)
    : pool_(io, node, connection_count(2)), timer_(io), body_(std::move(body))
{
}

void announcer::start()
{
    announce();
    timer_.expires_after(announce_interval);
    timer_.async_wait(
        [this](asio::error_code ec)
        {
            if (!ec)
                start();
        });
}

void announcer::announce(std::function<void()> done)
{
    pool_.send({"POST", "/v1/server", {{"Content-Type", "application/json"}}, body_()},
               announce_timeout,
               [done = std::move(done)](const http_result&)
               {
                   if (done)
                       done();
               });
}

} // namespace fescueridge::standin
