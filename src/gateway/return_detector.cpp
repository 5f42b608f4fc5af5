#include "fescueridge/gateway/return_detector.hpp"

#include <algorithm>

namespace fescueridge::gateway
{
namespace
{

/// Requests after which the full time of a route is determined anew.
constexpr unsigned update_count = 128;

/// Part of the requests that must state a time for it to be the full time. A few clients
/// may have more patience than the others.
constexpr double least_part = 0.08;

/// Rounding of stated times.
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
    // Times that all differ tell nothing; then every request counts as new.
    held.full_time =
        longest == held.seen.rend() ? milliseconds{0} + rounding : longest->first;
    held.seen.clear();
    held.count = 0;
}

} // namespace fescueridge::gateway
