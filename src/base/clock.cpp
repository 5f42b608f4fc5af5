#include "fescueridge/base/clock.hpp"

namespace fescueridge
{

time_point clock::now() noexcept
{
    const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<milliseconds>(since_boot));
}

std::int64_t wall_clock_ms() noexcept
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(since_epoch).count();
}

} // namespace fescueridge
