#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace fault_proxy
{

using steady = std::chrono::steady_clock;

/// What the proxy does to the traffic as a whole.
enum class fault_mode : std::uint8_t
{
    pass,
    refuse,            ///< New connections are refused, existing ones go on.
    cut,               ///< Existing connections are reset and new ones refused.
    blackhole,         ///< Half-open: bytes vanish, connections stay.
    one_way_to_target, ///< Only bytes towards the target arrive.
    one_way_to_client  ///< Only bytes towards the client arrive.
};

/// What happens to the traffic of the sources in faults::block_sources.
enum class block_mode : std::uint8_t
{
    cut,            ///< Connections are reset, new ones too; datagrams are lost.
    drop,           ///< Everything vanishes silently; connections stay half-open.
    drop_to_target, ///< Only bytes from the source vanish.
    drop_to_source  ///< Only bytes towards the source vanish.
};

/// Direction of bytes through the proxy.
enum class direction : std::uint8_t
{
    to_target,
    to_client
};

/// Faults in force. Changed and read only on the thread of the io_context.
struct faults
{
    fault_mode mode = fault_mode::pass;
    std::chrono::microseconds delay{0};     ///< Each way.
    std::uint64_t bytes_per_second = 0;     ///< For each connection and way; 0: no limit.
    std::uint64_t reset_after_bytes = 0;    ///< Both ways together; 0: no reset.
    unsigned drop_percent = 0;              ///< Datagrams only.
    std::vector<std::string> block_sources; ///< Prefixes of source addresses.
    block_mode block = block_mode::drop;
    std::mt19937_64 random{1};

    /// Returns true when the source address has a blocked prefix.
    bool blocks(std::string_view source) const noexcept;

    /// Returns true when connections from this source are reset.
    bool cuts(std::string_view source) const noexcept;

    /// Returns true when bytes of this direction vanish; `source` is the address of the
    /// client.
    bool vanishes(direction way, std::string_view source) const noexcept;

    /// Draws whether a datagram of this direction is lost.
    bool loses_datagram(direction way, std::string_view source);
};

/// Applies a JSON object of the control port. Keys that are missing keep their value.
/// Throws fescueridge::settings_error for an unknown key or a value of the wrong type or
/// out of range; the faults are unchanged then.
void apply_control(faults& target, const std::string& body);

} // namespace fault_proxy
