#include "fescueridge/membership/member_record.hpp"

#include <array>

namespace fescueridge
{

std::string_view to_string(liveness value) noexcept
{
    constexpr std::array<std::string_view, 3> names{"alive", "suspect", "dead"};
    return names[static_cast<std::size_t>(value)];
}

std::string_view to_string(change_kind value) noexcept
{
    constexpr std::array<std::string_view, 8> names{
        "joined", "changed",   "suspected",    "recovered",
        "died",   "forgotten", "duplicate_id", "self_raised"};
    return names[static_cast<std::size_t>(value)];
}

} // namespace fescueridge
