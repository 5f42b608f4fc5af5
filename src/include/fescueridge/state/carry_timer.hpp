#pragma once

#include <optional>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/random.hpp"

namespace fescueridge
{

/// Decides when a reader appends a carry. The random delay of up to an eighth of the
/// retention lets one reader be first; the others then see that none is needed.
class carry_timer
{
public:
    /// Returns true if a carry is due now; `needed` as carried_stream::needs_carry().
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

    /// Forgets a delay that was drawn.
    void reset() noexcept { due_.reset(); }

private:
    std::optional<time_point> due_;
};

} // namespace fescueridge
