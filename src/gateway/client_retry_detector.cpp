#include "fescueridge/gateway/client_retry_detector.hpp"

#include <algorithm>

namespace fescueridge::gateway
{
namespace
{

/// Number of requests after which the full timeout of a route is determined again.
constexpr unsigned requests_per_update = 128;

/// Minimum fraction of the requests that must state a timeout for it to be the full
/// timeout. A few clients may have longer timeouts than the others.
constexpr double min_full_timeout_fraction = 0.08;

/// Tolerance for the rounding of stated timeouts.
constexpr milliseconds timeout_rounding{2};

} // namespace

bool client_retry_detector::is_client_retry(const route_name& route,
                                            milliseconds time_left)
{
    record& history = routes_[route];
    if (history.full_timeout == milliseconds{0})
        history.full_timeout = time_left;
    ++history.timeout_counts[time_left];
    if (++history.request_count >= requests_per_update)
        update_full_timeout(history);
    return time_left + timeout_rounding < history.full_timeout;
}

void client_retry_detector::update_full_timeout(record& history)
{
    const auto is_common = [&](const auto& entry)
    {
        return entry.second >= min_full_timeout_fraction * history.request_count;
    };
    const auto longest = std::find_if(history.timeout_counts.rbegin(),
                                      history.timeout_counts.rend(), is_common);
    // When no timeout is common, client retries cannot be detected: every request counts
    // as new.
    history.full_timeout = longest == history.timeout_counts.rend()
                               ? milliseconds{0} + timeout_rounding
                               : longest->first;
    history.timeout_counts.clear();
    history.request_count = 0;
}

} // namespace fescueridge::gateway
