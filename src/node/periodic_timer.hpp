#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/random.hpp"

namespace fescueridge::detail
{

/// Runs a task periodically until the io_context stops. The next interval starts when the
/// task has returned, so runs of a slow task do not accumulate. The first run is delayed
/// by a random part of the interval. Otherwise nodes started in the same second by one
/// rollout would send their reports, probes and exchanges at the same moments.
class periodic_timer : public std::enable_shared_from_this<periodic_timer>
{
public:
    periodic_timer(asio::io_context& io, milliseconds interval,
                   std::function<void()> task)
        : timer_(io), interval_(interval), task_(std::move(task))
    {
    }

    static void start(asio::io_context& io, milliseconds interval,
                      std::function<void()> task)
    {
        random_engine random(random_seed());
        std::uniform_int_distribution<milliseconds::rep> phase(1, interval.count());
        std::make_shared<periodic_timer>(io, interval, std::move(task))
            ->arm(milliseconds(phase(random)));
    }

private:
    void arm(milliseconds wait)
    {
        timer_.expires_after(wait);
        timer_.async_wait(
            [self = shared_from_this()](const asio::error_code& error)
            {
                if (!error)
                {
                    self->task_();
                    self->arm(self->interval_);
                }
            });
    }

    asio::steady_timer timer_;
    const milliseconds interval_;
    const std::function<void()> task_;
};

} // namespace fescueridge::detail
