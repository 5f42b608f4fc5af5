#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"

namespace fescueridge
{

/// Schedules the pulls of newer sheets from peers. At most one pull is active at a time.
class sheet_pull_scheduler
{
public:
    /// Starts a pull. Returns false if another pull is active.
    bool try_begin(time_point now);

    /// Ends the active pull, so that the next one may start.
    void end() noexcept { pull_started_.reset(); }

    /// Returns true if a newer version than `current_version` has been known for longer
    /// than the distribution tree needs to deliver it, or at once if the node has no
    /// sheet. Must be called periodically.
    bool is_overdue(sheet_version current_version, bool newer_is_known, time_point now);

private:
    // A peer that is gone, unreachable or busy does not answer. After this time the next
    // pull may start and asks another peer.
    static constexpr milliseconds answer_timeout{1000};
    static constexpr milliseconds tree_delivery_time{400};

    std::optional<time_point> pull_started_;
    std::optional<time_point> newer_known_since_;
    sheet_version current_version_;
};

/// Token bucket for the bytes with which a node answers pulls. It limits the processor
/// time and network bandwidth used when many nodes pull at once, as after a rejoin. A
/// node that gets no answer asks another node.
class sheet_answer_budget
{
public:
    /// Returns true if an answer of this size may be sent now, and deducts it.
    bool try_consume(std::size_t bytes, time_point now);

private:
    // 12 sheets of 346,000 bytes per second. At this rate 1,380 nodes get the sheet in 3
    // rounds, because every node that has received it also answers pulls.
    static constexpr std::int64_t bytes_per_second = std::int64_t{4} * 1024 * 1024;

    std::int64_t available_bytes_ = bytes_per_second;
    std::optional<time_point> last_refill_;
};

} // namespace fescueridge
