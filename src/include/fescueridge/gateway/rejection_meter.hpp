#pragma once

#include <algorithm>
#include <cmath>

#include "fescueridge/base/clock.hpp"

namespace fescueridge::gateway
{

/// Moving average of the fraction of requests that a server turns away without running
/// them, whatever its load.
class rejection_meter
{
public:
    void record(bool rejected, time_point now)
    {
        // Where requests are few, each stands for the time since the last one.
        const auto passed = std::chrono::duration<double>(now - last_at_) / memory;
        const double weight = std::max(min_weight, 1 - std::exp(-passed));
        share_ += weight * ((rejected ? 1.0 : 0.0) - share_);
        last_at_ = now;
    }

    /// Returns the fraction, or 0 when no request shows that it is still so.
    double share(time_point now) const noexcept
    {
        return now - last_at_ > max_age || share_ < min_share ? 0 : share_;
    }

private:
    /// Least weight of one request: covers about the last 50.
    static constexpr double min_weight = 0.02;
    /// Time that the average covers where requests are few.
    static constexpr milliseconds memory{400};
    static constexpr milliseconds max_age{1'000};
    /// Single rejections do not count.
    static constexpr double min_share = 0.02;

    double share_ = 0;
    time_point last_at_{};
};

} // namespace fescueridge::gateway
