#pragma once

#include <string>
#include <string_view>

namespace fescueridge::detail
{

/// Returns the text without spaces, tabs and line ends at both ends.
std::string_view trim(std::string_view text) noexcept;

/// Returns whether the bytes are well-formed UTF-8.
bool is_utf8(std::string_view text) noexcept;

/// Returns whether the byte is an ASCII control character.
bool is_control(char c) noexcept;

/// Returns the text with control characters and bytes that are no UTF-8 replaced by "?",
/// so that a name chosen by a caller cannot change what a terminal shows.
std::string printable(std::string_view text);

/// Returns the bytes in base64url without padding (RFC 4648, section 5).
std::string to_base64url(std::string_view bytes);

/// Reads base64url without padding into `bytes`; returns false when it is malformed.
bool from_base64url(std::string_view text, std::string& bytes);

} // namespace fescueridge::detail
