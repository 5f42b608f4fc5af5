#include "fescueridge/node/sheet_pulls.hpp"

#include <algorithm>

namespace fescueridge
{

bool sheet_pull_scheduler::try_begin(time_point now)
{
    if (pull_started_ && now - *pull_started_ < answer_timeout)
    {
        return false;
    }
    pull_started_ = now;
    return true;
}

bool sheet_pull_scheduler::is_overdue(sheet_version current_version, bool newer_is_known,
                                      time_point now)
{
    if (!newer_is_known || current_version != current_version_)
    {
        newer_known_since_.reset();
        current_version_ = current_version;
    }
    if (!newer_is_known)
    {
        return false;
    }
    newer_known_since_ = newer_known_since_.value_or(now);
    return current_version == sheet_version(0) ||
           now - *newer_known_since_ >= tree_delivery_time;
}

bool sheet_answer_budget::try_consume(std::size_t bytes, time_point now)
{
    const milliseconds passed =
        std::min<milliseconds>(now - last_refill_.value_or(now), milliseconds(1000));
    last_refill_ = now;
    available_bytes_ = std::min(
        bytes_per_second, available_bytes_ + passed.count() * bytes_per_second / 1000);
    // An answer larger than the budget of one second is also sent. Later answers are then
    // refused until the budget is positive again.
    if (available_bytes_ <= 0)
    {
        return false;
    }
    available_bytes_ -= static_cast<std::int64_t>(bytes);
    return true;
}

} // namespace fescueridge
