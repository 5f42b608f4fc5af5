#include "fescueridge/base/server_state.hpp"

#include <array>

namespace fescueridge
{

std::string_view to_string(server_state value) noexcept
{
    constexpr std::array<std::string_view, 4> names{"cold", "ready", "draining", "gone"};
    return names[static_cast<std::size_t>(value)];
}

} // namespace fescueridge
