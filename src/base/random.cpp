#include "fescueridge/base/random.hpp"

#include <xxhash.h>

namespace fescueridge
{

std::uint64_t random_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed) noexcept
{
    return XXH64(text.data(), text.size(), seed);
}

} // namespace fescueridge
