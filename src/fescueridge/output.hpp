#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "fescueridge/base/clock.hpp"

namespace fescueridge
{

/// Time between two looks at the same thing: a submit whose result is pending, or
/// versions that are not in force yet.
constexpr milliseconds poll_interval{200};

/// Returns JSON for the terminal. Bytes that are no UTF-8 are replaced.
inline std::string to_text(const nlohmann::json& value)
{
    return value.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace fescueridge
