#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "fescueridge/base/types.hpp"

namespace fescueridge
{

/// The difference that makes a version of the version before it.
struct sheet_step
{
    sheet_version version;
    log_offset offset; ///< Up to which the log decided the version.
    std::string author;
    std::string difference; ///< As encode_difference() gives it.
};

/// The latest steps without a gap, within bounds, for nodes that missed some.
class sheet_history
{
public:
    /// Section 6.1 of the design. A whole sheet has 346,000 bytes at the design size.
    static constexpr std::size_t max_steps = 1000;
    static constexpr std::size_t max_bytes = std::size_t{256} * 1024;

    /// Adds a step. The steps before it are dropped unless it follows them.
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
