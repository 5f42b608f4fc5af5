#pragma once

#include <optional>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/random.hpp"

namespace fescueridge
{

/// Decides when a reader appends a checkpoint. Each reader draws a random delay of up to
/// an eighth of the retention, so that one appends first and the others, having read its
/// checkpoint, need not append another.
class checkpoint_timer
{
public:
    /// Returns true if a checkpoint is due now. `needed` is the result of
    /// stream_replay::needs_checkpoint().
    bool is_due(bool needed, time_point now, milliseconds retention,
                random_engine& random)
    {
        if (!needed)
        {
            due_.reset();
            return false;
        }
        if (!due_)
        {
            std::uniform_int_distribution<std::int64_t> delay(0, retention.count() / 8);
            due_ = now + milliseconds(delay(random));
        }
        if (now < *due_)
        {
            return false;
        }
        due_.reset();
        return true;
    }

    /// Discards the current delay, so that a new one is drawn.
    void reset() noexcept { due_.reset(); }

private:
    std::optional<time_point> due_;
};

} // namespace fescueridge
