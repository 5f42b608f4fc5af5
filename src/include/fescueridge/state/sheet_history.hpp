#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "fescueridge/codec/sheet_step.hpp"

namespace fescueridge
{

/// The latest steps without a gap, within bounds, for nodes that missed some.
class sheet_history
{
public:
    /// Section 6.1 of the design. A whole sheet has 346,000 bytes at the design size.
    static constexpr std::size_t max_steps = 1000;
    static constexpr std::size_t max_bytes = std::size_t{256} * 1024;

    /// Adds a step unless it is older than the newest one. The steps before it are
    /// dropped unless it follows them.
    void add(sheet_step step);

    void clear();

    /// Returns the steps from a version to the newest one. Nothing if they do not reach
    /// back to it, or if there is none.
    std::optional<std::vector<sheet_step>> since(sheet_version have) const;

private:
    std::deque<sheet_step> steps_;
    std::size_t bytes_ = 0;
};

} // namespace fescueridge
