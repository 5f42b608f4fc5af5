#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"

namespace fescueridge
{

/// Decides when a node asks a peer for a newer sheet: one pull at a time.
class sheet_puller
{
public:
    /// Returns true if a pull may start now, and notes its start.
    bool begin(time_point now);

    /// A newer version is in force; the next pull may start.
    void end() noexcept { under_way_.reset(); }

    /// Returns true once a version newer than `have` has been known for the time in which
    /// the tree brings it; to be called periodically. A node without a sheet does not
    /// wait.
    bool is_overdue(sheet_version have, bool newer_is_known, time_point now);

private:
    // A peer that is gone, cut off or busy does not answer; then another one is asked.
    static constexpr milliseconds answer_time{1000};
    static constexpr milliseconds tree_time{400};

    std::optional<time_point> under_way_;
    std::optional<time_point> known_since_;
    sheet_version have_;
};

/// Bounds the bytes of sheets with which a node answers pulls, so a node that many ask at
/// once, as after a rejoin, does not spend its time and its network on them. Those who
/// get no answer ask another node.
class sheet_answer_budget
{
public:
    /// Returns true if an answer of this size may be sent now.
    bool take(std::size_t bytes, time_point now);

private:
    // 12 sheets of 346,000 bytes a second: 1,380 nodes are served in 3 rounds, since each
    // that got the sheet answers too.
    static constexpr std::int64_t bytes_per_second = std::int64_t{4} * 1024 * 1024;

    std::int64_t left_ = bytes_per_second;
    std::optional<time_point> filled_;
};

} // namespace fescueridge
