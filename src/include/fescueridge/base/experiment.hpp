#pragma once

#include <cstdint>
#include <variant>

namespace fescueridge
{

/// The control that the design page describes; what every node uses outside benchmarks.
struct full_control
{
};

/// Baseline of benchmarks, as a plain proxy: no admission limit, no admission levels and
/// one attempt for each call.
struct no_control
{
};

/// Baseline of benchmarks: the limit stays at the announced slots, there are no admission
/// levels, and every hop makes up to `tries` attempts regardless of allowance and budget.
struct fixed_limit_control
{
    std::uint32_t tries = 3;
};

/// How a node controls load. Selected by the settings object `experiment`.
using control_policy = std::variant<full_control, no_control, fixed_limit_control>;

} // namespace fescueridge
