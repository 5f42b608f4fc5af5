#pragma once

namespace fescueridge::gateway
{

/// Share of the requests that a server failed of late.
class failure_share
{
public:
    /// Records what became of a request.
    void record(bool failed) noexcept
    {
        value_ += weight * ((failed ? 1.0 : 0.0) - value_);
    }

    double value() const noexcept { return value_; }

private:
    /// Weight of one outcome: about the last 20 requests count.
    static constexpr double weight = 0.05;

    double value_ = 0;
};

} // namespace fescueridge::gateway
