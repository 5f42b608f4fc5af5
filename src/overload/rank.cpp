#include "fescueridge/overload/rank.hpp"

#include <algorithm>

#include "fescueridge/base/random.hpp"

namespace fescueridge
{

std::uint16_t root_fraction(const root_id& root) noexcept
{
    return static_cast<std::uint16_t>(stable_hash(root.get()) % fraction_count);
}

std::uint32_t rank_of(priority rank, std::uint16_t fraction) noexcept
{
    const std::uint32_t step = std::min(rank.get(), lowest_priority);
    return step * fraction_count + fraction % fraction_count;
}

std::uint32_t position_of(const admission_level& level) noexcept
{
    const std::uint32_t position =
        std::uint32_t{level.cut_priority} * fraction_count + level.cut_fraction;
    return std::min(position, open_position);
}

admission_level level_at(const service_name& service, std::uint32_t position)
{
    position = std::min(position, open_position);
    admission_level level;
    level.service = service;
    level.cut_priority = static_cast<std::uint8_t>(position / fraction_count);
    level.cut_fraction = static_cast<std::uint16_t>(position % fraction_count);
    return level;
}

} // namespace fescueridge
