#pragma once

#include "fescueridge/gateway/request_router.hpp"

namespace fescueridge::gateway
{

/// State of a client request or a backend server's call, from its arrival to its answer.
struct request_router::request_state
{
    explicit request_state(asio::io_context& io) : timer(io) {}

    std::uint64_t number = 0;
    std::shared_ptr<http_exchange> exchange;
    std::shared_ptr<const route_table> table;
    const route* matched_route = nullptr;
    forward_message message;
    time_point arrival{};
    time_point client_deadline{};
    time_point answer_deadline{};
    asio::steady_timer timer;
    std::vector<node_id> tried_nodes;
    node_id current_node;
    unsigned placements = 0;
    unsigned sends = 0; ///< Attempts that may have reached a backend server.
    bool client_retry = false;
    bool was_rejected = false;               ///< By a server, without running.
    const tenant_settings* tenant = nullptr; ///< Of the client; null without keys.
    bool waits_for_quota = false;
    bool has_quota_token = false;
    milliseconds min_retry_after{0};  ///< Known time until there can be room.
    std::uint64_t forward_number = 0; ///< Number of the forwarded request; 0 for none.
    run_number local_run;
    bool ended = false;

    admission_class request_class() const
    {
        return {message.route, message.rank, client_retry};
    }
};

} // namespace fescueridge::gateway
