#pragma once

#include <algorithm>
#include <mutex>

#include "fescueridge/base/clock.hpp"

namespace fescueridge
{

/// Token bucket that holds up to a tenth of a second's appends. Safe for use from several
/// threads.
class rate_cap
{
public:
    /// A rate of zero allows everything.
    explicit rate_cap(double per_second) : per_second_(per_second), tokens_(burst()) {}

    /// Takes one append. Returns false if the cap is reached.
    bool take(time_point now)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (per_second_ <= 0)
        {
            return true;
        }
        const double passed_s = static_cast<double>((now - last_).count()) / 1000.0;
        tokens_ = std::min(burst(), tokens_ + passed_s * per_second_);
        last_ = now;
        if (tokens_ < 1)
        {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    double burst() const { return std::max(1.0, per_second_ / 10); }

    std::mutex mutex_;
    double per_second_;
    double tokens_;
    time_point last_ = clock::now();
};

} // namespace fescueridge
