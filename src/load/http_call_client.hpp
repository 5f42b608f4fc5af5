#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "fescueridge/base/endpoint.hpp"

namespace load
{

using steady = std::chrono::steady_clock;

/// How an attempt ended on the wire.
enum class wire_result : std::uint8_t
{
    answered,
    timed_out,
    connect_failed,
    broken ///< The connection ended or sent no HTTP before the answer was whole.
};

/// Answer to one attempt; the texts are empty unless it was answered.
struct call_answer
{
    wire_result result = wire_result::answered;
    int status = 0;
    std::string outcome; ///< Fescue-Outcome.
    std::string reason;  ///< Fescue-Reason.
    std::string body;
};

class client_connection;

/// HTTP/1.1 client with one pool of keep-alive connections for each target. A connection
/// carries one request at a time; one whose request failed is closed. Used on the thread
/// of the io_context.
class http_call_client
{
public:
    using handler = std::function<void(call_answer&&)>;

    http_call_client(asio::io_context& context,
                     const std::vector<fescueridge::endpoint>& targets);
    ~http_call_client();

    /// Sends a whole request (head and body) to the target with this number. The handler
    /// is called exactly once, at the deadline at the latest.
    void send(std::size_t target, std::string request, steady::time_point deadline,
              handler done);

private:
    friend class client_connection;

    struct pool
    {
        asio::ip::tcp::endpoint address;
        std::vector<std::shared_ptr<client_connection>> idle;
    };

    asio::io_context& context_;
    std::shared_ptr<std::vector<pool>> pools_; ///< Shared with the connections.
};

} // namespace load
