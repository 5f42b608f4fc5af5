#pragma once

#include <functional>
#include <string>

#include <asio.hpp>

#include "fescueridge/transport/http_client_pool.hpp"

namespace fescueridge::standin
{

/// Sends POST /v1/server to the operator port of the node every second.
class announcer
{
public:
    /// `body` returns the JSON of the announcement at the time of sending.
    announcer(asio::io_context& io, const endpoint& node,
              std::function<std::string()> body);

    /// Announces now and then every second.
    void start();

    /// Announces at once; `done` is called when the node has answered or the request has
    /// failed.
    void announce(std::function<void()> done = {});

private:
    http_client_pool pool_;
    asio::steady_timer timer_;
    std::function<std::string()> body_;
};

} // namespace fescueridge::standin
