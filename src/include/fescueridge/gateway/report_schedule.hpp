#pragma once

#include <cstddef>
#include <optional>

#include "fescueridge/base/clock.hpp"

namespace fescueridge::gateway
{

/// A report that is due.
struct due_report
{
    bool with_learned = false; ///< Calls and slot times, which change slowly.
};

/// Decides when a node reports to all others. Every report goes to every node, so the
/// interval grows with their number; what a node sends and reads then grows with it only,
/// not with its square, up to the longest interval.
class report_schedule
{
public:
    explicit report_schedule(time_point start) : start_(start) {}

    /// Returns the report that is due now, or null.
    std::optional<due_report> poll(time_point now, std::size_t peers);

private:
    time_point start_;
    time_point next_report_{};
    time_point next_learned_{};
};

} // namespace fescueridge::gateway
