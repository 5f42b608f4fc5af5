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
class return_detector
{
public:
    /// Records a request and returns whether it is a client retry.
    bool is_returned(const route_name& route, milliseconds time_left);

private:
    struct record
    {
        milliseconds full_time{0};
        std::map<milliseconds, unsigned>
            seen; ///< Requests by time since the last update.
        unsigned count = 0;
    };

    static void update(record& history);

    std::unordered_map<route_name, record> routes_;
};

} // namespace fescueridge::gateway
