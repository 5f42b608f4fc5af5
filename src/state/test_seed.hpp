#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

namespace fescueridge::test
{

/// Returns the seed of randomized tests: the value of FESCUE_TEST_SEED, or 1, so that
/// CI runs are reproducible.
inline std::uint64_t test_seed()
{
    const char* text = std::getenv("FESCUE_TEST_SEED");
    return text != nullptr ? std::stoull(text) : 1;
}

} // namespace fescueridge::test
