#pragma once

#include <cstdint>
#include <string_view>

namespace fescueridge
{

/// State of a backend server, as its node announces it.
enum class server_state : std::uint8_t
{
    cold,     ///< Started a short while ago; its weight grows over the warm-up.
    ready,    ///< Takes calls.
    draining, ///< Finishes its calls and takes no new ones.
    gone      ///< No backend server is announced at this node.
};

/// Returns whether a server in this state receives no further calls.
constexpr bool is_leaving(server_state state) noexcept
{
    return state == server_state::draining || state == server_state::gone;
}

/// Returns the protocol name, for example "draining".
std::string_view to_string(server_state value) noexcept;

} // namespace fescueridge
