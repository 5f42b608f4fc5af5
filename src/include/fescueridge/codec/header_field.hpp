#pragma once

#include <string>

namespace fescueridge
{

/// One HTTP header field.
struct header_field
{
    std::string name;
    std::string value;
};

} // namespace fescueridge
