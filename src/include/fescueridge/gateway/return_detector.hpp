#pragma once

#include <map>
#include <unordered_map>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"

namespace fescueridge::gateway
{

/// Tells requests of clients that come back after a failed attempt from new ones. A
/// client gives a new request its full time, the same for each request of a route; one
/// that comes back has less left, by what its first attempt and the pause took.
class return_detector
{
public:
    /// Records a request and tells whether its client has come back.
    bool is_returned(const route_name& route, milliseconds time_left);

private:
    struct record
    {
        milliseconds full_time{0};
        std::map<milliseconds, unsigned> seen; ///< Since the last update.
        unsigned count = 0;
    };

    static void update(record& held);

    std::unordered_map<route_name, record> routes_;
};

} // namespace fescueridge::gateway
