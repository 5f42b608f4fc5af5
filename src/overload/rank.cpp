#include "fescueridge/overload/rank.hpp"

#include <algorithm>

#include "fescueridge/base/random.hpp"

namespace fescueridge
{

std::uint16_t root_fraction(const root_id& root) noexcept
{
    return static_cast<std::uint16_t>(stable_hash(root.get()) % fraction_count);
}

std::uint32_t class_index(const root_class& call_class) noexcept
{
    const std::uint32_t valid_priority =
        std::min(call_class.call_priority.get(), lowest_priority);
    return 2 * valid_priority + (call_class.resend ? 1 : 0);
}

std::uint32_t rank_of(const root_class& call_class, std::uint16_t fraction) noexcept
{
    return class_index(call_class) * fraction_count + fraction % fraction_count;
}

std::uint32_t position_of(const admission_level& level) noexcept
{
    const std::uint32_t cut_class = 2U * level.cut_priority + (level.cut_resends ? 1 : 0);
    const std::uint32_t position = cut_class * fraction_count + level.cut_fraction;
    return std::min(position, open_position);
}

admission_level level_at(const service_name& service, std::uint32_t position)
{
    position = std::min(position, open_position);
    admission_level level;
    level.service = service;
    const std::uint32_t cut_class = position / fraction_count;
    level.cut_priority = static_cast<std::uint8_t>(cut_class / 2);
    level.cut_resends = cut_class % 2 == 1;
    level.cut_fraction = static_cast<std::uint16_t>(position % fraction_count);
    return level;
}

} // namespace fescueridge
