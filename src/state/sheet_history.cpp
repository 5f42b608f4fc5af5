#include "fescueridge/state/sheet_history.hpp"

#include <utility>

namespace fescueridge
{

void sheet_history::add(sheet_step step)
{
    if (!steps_.empty() && step.version <= steps_.back().version)
    {
        return;
    }
    if (!steps_.empty() && steps_.back().version.get() + 1 != step.version.get())
    {
        clear();
    }
    difference_bytes_ += step.difference.size();
    steps_.push_back(std::move(step));
    while (steps_.size() > max_steps || difference_bytes_ > max_bytes)
    {
        difference_bytes_ -= steps_.front().difference.size();
        steps_.pop_front();
    }
}

void sheet_history::clear()
{
    steps_.clear();
    difference_bytes_ = 0;
}

std::optional<std::vector<sheet_step>> sheet_history::since(sheet_version version) const
{
    if (steps_.empty() || version.get() + 1 < steps_.front().version.get() ||
        version >= steps_.back().version)
    {
        return std::nullopt;
    }
    const auto skipped = version.get() + 1 - steps_.front().version.get();
    const auto first = steps_.begin() + static_cast<std::ptrdiff_t>(skipped);
    return std::vector<sheet_step>(first, steps_.end());
}

} // namespace fescueridge
