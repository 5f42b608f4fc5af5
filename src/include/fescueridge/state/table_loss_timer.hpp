#pragma once

#include <optional>

#include "fescueridge/base/clock.hpp"

namespace fescueridge
{

/// Decides when a reader that finds no usable checkpoint at the end of a stream declares
/// the table lost. Once the log answers, a reader with a complete table appends a
/// checkpoint within an eighth of the retention (see checkpoint_timer). The wait of half
/// the retention leaves that reader time to retry a failed append.
class table_loss_timer
{
public:
    /// Returns true if the table is to be declared lost now. `lacks_checkpoint` is the
    /// state after the latest page. A pause between two pages of more than a quarter of
    /// the retention restarts the wait, since a paused reader relies on an old page.
    bool is_due(bool lacks_checkpoint, time_point now, milliseconds retention)
    {
        const bool paused = last_page_ && now - *last_page_ > retention / 4;
        last_page_ = now;
        if (!lacks_checkpoint || retention <= milliseconds(0))
        {
            wait_start_.reset();
            return false;
        }
        if (!wait_start_ || paused)
        {
            wait_start_ = now;
        }
        if (now - *wait_start_ < retention / 2)
        {
            return false;
        }
        wait_start_.reset();
        return true;
    }

    /// Restarts the wait, for example after a failed read.
    void reset() noexcept { wait_start_.reset(); }

private:
    std::optional<time_point> wait_start_;
    std::optional<time_point> last_page_;
};

} // namespace fescueridge
