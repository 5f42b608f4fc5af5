#include "fescueridge/node/sheet_pulls.hpp"

#include <algorithm>

namespace fescueridge
{

bool sheet_puller::begin(time_point now)
{
    if (under_way_ && now - *under_way_ < answer_time)
    {
        return false;
    }
    under_way_ = now;
    return true;
}

bool sheet_puller::is_overdue(sheet_version current_version, bool newer_is_known,
                              time_point now)
{
    if (!newer_is_known || current_version != have_)
    {
        known_since_.reset();
        have_ = current_version;
    }
    if (!newer_is_known)
    {
        return false;
    }
    known_since_ = known_since_.value_or(now);
    return current_version == sheet_version(0) || now - *known_since_ >= tree_time;
}

bool sheet_answer_budget::take(std::size_t bytes, time_point now)
{
    const milliseconds passed =
        std::min<milliseconds>(now - filled_.value_or(now), milliseconds(1000));
    filled_ = now;
    left_ = std::min(bytes_per_second, left_ + passed.count() * bytes_per_second / 1000);
    // An answer larger than the budget of one second is also sent. Later answers are then
    // refused until the budget is positive again.
    if (left_ <= 0)
    {
        return false;
    }
    left_ -= static_cast<std::int64_t>(bytes);
    return true;
}

} // namespace fescueridge
