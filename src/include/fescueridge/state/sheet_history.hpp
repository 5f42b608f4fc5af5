#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "fescueridge/codec/sheet_step.hpp"

namespace fescueridge
{

/// A bounded number of the latest consecutive steps, for nodes that missed some.
class sheet_history
{
public:
    /// Bounds from section 6.1 of the design. A whole sheet has 346,000 bytes at the
    /// design size.
    static constexpr std::size_t max_steps = 1000;
    static constexpr std::size_t max_bytes = std::size_t{256} * 1024;

    /// Adds a step if its version is above the newest one. If versions between them are
    /// missing, the earlier steps are dropped.
    void add(sheet_step step);

    void clear();

    /// Returns the steps from a version to the newest one, or nothing if the history does
    /// not reach back to that version or has no newer one.
    std::optional<std::vector<sheet_step>> since(sheet_version version) const;

private:
    std::deque<sheet_step> steps_;
    std::size_t difference_bytes_ = 0;
};

} // namespace fescueridge
