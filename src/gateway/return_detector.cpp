#include "fescueridge/gateway/return_detector.hpp"

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

bool return_detector::is_returned(const route_name& route, milliseconds time_left)
{
    record& history = routes_[route];
    if (history.full_time == milliseconds{0})
        history.full_time = time_left;
    ++history.seen[time_left];
    if (++history.count >= requests_per_update)
        update(history);
    return time_left + timeout_rounding < history.full_time;
}

void return_detector::update(record& history)
{
    const auto is_common = [&](const auto& entry)
    {
        return entry.second >= min_full_timeout_fraction * history.count;
    };
    const auto longest =
        std::find_if(history.seen.rbegin(), history.seen.rend(), is_common);
    // When no timeout is common, returns cannot be detected: every request counts as new.
    history.full_time = longest == history.seen.rend()
                            ? milliseconds{0} + timeout_rounding
                            : longest->first;
    history.seen.clear();
    history.count = 0;
}

} // namespace fescueridge::gateway
