#pragma once

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace fescueridge
{

/// Deepest nesting of arrays and maps in CBOR that parse_cbor() takes; our messages and
/// records need 4. The library parses by recursion, so 200,000 bytes 0x9f (the start of
/// an array) exhausted the stack of an io thread.
constexpr std::size_t max_cbor_depth = 16;

/// Parses one CBOR value. Throws codec_error when the bytes are not exactly one value or
/// nest deeper than max_cbor_depth.
nlohmann::json parse_cbor(std::string_view bytes);

} // namespace fescueridge
