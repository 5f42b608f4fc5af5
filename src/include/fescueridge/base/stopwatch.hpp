#pragma once

#include <chrono>

namespace fescueridge
{

/// Measures how long something took, in microseconds: the millisecond clock is too coarse
/// for the service time of a fast call. Starts when it is made.
class stopwatch
{
public:
    /// Returns the time since the stopwatch was made.
    std::chrono::microseconds elapsed() const noexcept
    {
        const auto now = std::chrono::steady_clock::now();
        return std::chrono::duration_cast<std::chrono::microseconds>(now - start_);
    }

private:
    std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
};

} // namespace fescueridge
