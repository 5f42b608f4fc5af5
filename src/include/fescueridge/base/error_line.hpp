#pragma once

#include <string>

namespace fescueridge
{

/// Writes why a program does not start as one JSON line to standard error: the file and
/// the key at fault, and a text.
void print_error_line(const std::string& event, const std::string& file,
                      const std::string& key, const std::string& text);

} // namespace fescueridge
