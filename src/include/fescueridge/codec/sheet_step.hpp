#pragma once

#include <string>

#include "fescueridge/base/types.hpp"

namespace fescueridge
{

/// The difference that makes a version of the sheet of the version before it.
struct sheet_step
{
    sheet_version version;
    log_offset offset; ///< Up to which the log decided the version.
    std::string author;
    std::string difference; ///< As encode_difference() gives it.
};

} // namespace fescueridge
