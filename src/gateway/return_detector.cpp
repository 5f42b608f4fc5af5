#include "fescueridge/gateway/return_detector.hpp"

#include <algorithm>

namespace fescueridge::gateway
{
namespace
{

/// Number of requests after which the full timeout of a route is determined again.
constexpr unsigned update_count = 128;

/// Minimum fraction of the requests that must state a timeout for it to be the full
/// timeout. A few clients may have longer timeouts than the others.
constexpr double least_part = 0.08;

/// Tolerance for the rounding of stated timeouts.
constexpr milliseconds rounding{2};

} // namespace

bool return_detector::is_returned(const route_name& route, milliseconds time_left)
{
    record& held = routes_[route];
    if (held.full_time == milliseconds{0})
        held.full_time = time_left;
    ++held.seen[time_left];
    if (++held.count >= update_count)
        update(held);
    return time_left + rounding < held.full_time;
}

void return_detector::update(record& held)
{
    const auto is_common = [&](const auto& entry)
    {
        return entry.second >= least_part * held.count;
    };
    const auto longest = std::find_if(held.seen.rbegin(), held.seen.rend(), is_common);
    // When no timeout is common, returns cannot be detected: every request counts as new.
    held.full_time =
        longest == held.seen.rend() ? milliseconds{0} + rounding : longest->first;
    held.seen.clear();
    held.count = 0;
}

} // namespace fescueridge::gateway
