#pragma once

#include <map>

#include "fescueridge/base/types.hpp"
#include "fescueridge/gateway/window_counter.hpp"

namespace fescueridge::gateway
{

/// The requests of all nodes by which the retries at each service are counted. Handles a
/// service that turns requests away: fewer begin then, while the retries stay at the rate
/// of the requests before.
class retry_supply
{
public:
    /// Records the requests per second to each service since the last call.
    void record(const std::map<service_name, double>& requests_per_s, time_point now);

    /// Returns the requests per second that count at a service: those recorded last, or
    /// while the inflow of retries is `kept`, the mean of the window before that began.
    double counted_per_s(const service_name& service, bool kept, time_point now);

private:
    struct service_rate
    {
        window_counter requests;
        double last_per_s = 0;
        double kept_per_s = 0;
        bool kept = false;
    };

    std::map<service_name, service_rate> rates_;
    time_point recorded_at_{};
};

} // namespace fescueridge::gateway
