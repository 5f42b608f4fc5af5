#pragma once

#include <optional>

#include "fescueridge/base/clock.hpp"

namespace fescueridge
{

/// Decides when a reader that finds no usable carry at the end of a stream tells that the
/// table is lost. A reader that knows the table appends a carry within an eighth of the
/// retention (carry_timer) once the log answers. Half of the retention leaves it time to
/// repeat a carry that failed.
class lost_table_timer
{
public:
    /// Returns true if the table is to be called lost now. `lacks_carry` holds what the
    /// latest page showed. A long pause between two pages starts the wait anew, since a
    /// reader that was frozen judges by an old page.
    bool is_due(bool lacks_carry, time_point now, milliseconds retention)
    {
        const bool paused = last_page_ && now - *last_page_ > retention / 4;
        last_page_ = now;
        if (!lacks_carry || retention <= milliseconds(0))
        {
            since_.reset();
            return false;
        }
        if (!since_ || paused)
        {
            since_ = now;
        }
        if (now - *since_ < retention / 2)
        {
            return false;
        }
        since_.reset();
        return true;
    }

    /// Starts the wait anew, as after a failed read.
    void reset() noexcept { since_.reset(); }

private:
    std::optional<time_point> since_;
    std::optional<time_point> last_page_;
};

} // namespace fescueridge
