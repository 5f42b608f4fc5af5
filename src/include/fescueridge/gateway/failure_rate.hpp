#pragma once

namespace fescueridge::gateway
{

/// Moving average of the fraction of requests that a server failed.
class failure_rate
{
public:
    /// Records the outcome of a request.
    void record(bool failed) noexcept
    {
        value_ += weight * ((failed ? 1.0 : 0.0) - value_);
    }

    double value() const noexcept { return value_; }

private:
    /// Weight of one outcome in the moving average: covers about the last 20 requests.
    static constexpr double weight = 0.05;

    double value_ = 0;
};

} // namespace fescueridge::gateway
