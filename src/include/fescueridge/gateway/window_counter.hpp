#pragma once

#include <array>
#include <cstdint>

#include "fescueridge/base/clock.hpp"

namespace fescueridge::gateway
{

/// Adds up amounts over a sliding window, in tenths of it.
class window_counter
{
public:
    explicit window_counter(milliseconds window = milliseconds{10'000})
        : step_(window / step_count)
    {
    }

    void add(double amount, time_point now) noexcept
    {
        const auto number = now.time_since_epoch() / step_;
        auto& slot = steps_[static_cast<std::size_t>(number) % step_count];
        if (slot.number != number)
            slot = {number, 0};
        slot.sum += amount;
    }

    /// Returns the mean per second over the complete steps of the window.
    double per_s(time_point now) const noexcept
    {
        const auto current = now.time_since_epoch() / step_;
        double sum = 0;
        for (const auto& slot : steps_)
            if (slot.number < current &&
                slot.number > current - static_cast<std::int64_t>(step_count))
                sum += slot.sum;
        const auto covered = step_ * static_cast<std::int64_t>(step_count - 1);
        return sum / std::chrono::duration<double>(covered).count();
    }

private:
    static constexpr std::size_t step_count = 10;
    struct step
    {
        std::int64_t number = -1;
        double sum = 0;
    };

    milliseconds step_;
    std::array<step, step_count> steps_{};
};

} // namespace fescueridge::gateway
