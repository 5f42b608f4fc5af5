#pragma once

#include <chrono>
#include <cstdint>

namespace fescueridge
{

/// A length of time in milliseconds.
using milliseconds = std::chrono::milliseconds;

/// Longest time that is counted: ten years, more than any process runs. Longer ones are
/// cut to it, so that sums with instants of any clock cannot overflow.
constexpr milliseconds longest_time{std::int64_t{10} * 365 * 24 * 3'600'000};

/// The project's clock: monotonic, in milliseconds, unaffected by changes of the wall
/// clock. It keeps running while the process is stopped by a signal, so a process that
/// wakes up sees that its deadlines have passed.
struct clock
{
    using duration = milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<clock>;
    static constexpr bool is_steady = true;

    /// Returns the current time.
    static time_point now() noexcept;
};

/// An instant of the project's clock.
using time_point = clock::time_point;

/// Returns the wall-clock time in milliseconds since the Unix epoch. Only for log lines
/// and for explanations; decisions never depend on it.
std::int64_t wall_clock_ms() noexcept;

} // namespace fescueridge
