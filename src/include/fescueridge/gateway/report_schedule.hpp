#pragma once

#include <cstddef>
#include <optional>

#include "fescueridge/base/clock.hpp"

namespace fescueridge::gateway
{

/// A report that is due.
struct due_report
{
    bool with_learned = false; ///< Includes calls and slot times, which change slowly.
};

/// Decides when a node reports to all others. Each report is sent to every node, so the
/// interval grows with the number of peers, up to a maximum. Until that maximum is
/// reached, the report traffic of all nodes grows linearly with their number instead of
/// quadratically.
class report_schedule
{
public:
    /// At most half the lifetime of a report (see fleet_view), so that losing one report
    /// does not make a node's data expire.
    static constexpr milliseconds max_interval{700};

    /// Returns the time between two reports of a node with this number of peers.
    static milliseconds interval(std::size_t peers);

    explicit report_schedule(time_point start) : start_(start) {}

    /// Returns the report that is due at `now`, or null.
    std::optional<due_report> poll(time_point now, std::size_t peers);

private:
    time_point start_;
    time_point next_report_{};
    time_point next_learned_{};
};

} // namespace fescueridge::gateway
