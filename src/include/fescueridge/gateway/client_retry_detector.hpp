#pragma once

#include <map>
#include <unordered_map>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"

namespace fescueridge::gateway
{

/// Distinguishes client retries from new client requests. A client sets the same full
/// timeout on every new request of a route. A retry has less time left, reduced by the
/// duration of the first attempt and of the pause after it.
class client_retry_detector
{
public:
    /// Records a request and returns whether it is a client retry.
    bool is_client_retry(const route_name& route, milliseconds time_left);

private:
    struct record
    {
        milliseconds full_timeout{0};
        std::map<milliseconds, unsigned>
            timeout_counts; ///< Requests by time since the last update.
        unsigned request_count = 0;
    };

    static void update_full_timeout(record& history);

    std::unordered_map<route_name, record> routes_;
};

} // namespace fescueridge::gateway
