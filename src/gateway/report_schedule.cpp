#include "fescueridge/gateway/report_schedule.hpp"

#include <algorithm>

namespace fescueridge::gateway
{
namespace
{

constexpr milliseconds min_report_interval{250};
constexpr milliseconds interval_per_peer{10};

constexpr milliseconds estimates_interval{1'000};

/// Time after the start during which every report includes the estimates, because the
/// other nodes have no calls from this process yet.
constexpr milliseconds startup_time{15'000};

} // namespace

milliseconds report_schedule::interval(std::size_t peers)
{
    const auto wanted = interval_per_peer * static_cast<std::int64_t>(peers);
    return std::clamp(wanted, min_report_interval, max_interval);
}

std::optional<due_report> report_schedule::poll(time_point now, std::size_t peers)
{
    if (now < next_report_)
        return std::nullopt;
    next_report_ = now + interval(peers);
    const bool with_learned = now - start_ < startup_time || now >= next_learned_;
    if (with_learned)
        next_learned_ = now + estimates_interval;
    return due_report{with_learned};
}

} // namespace fescueridge::gateway
