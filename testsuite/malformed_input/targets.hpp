#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "mutator.hpp"

namespace malformed_input
{

/// An input was handled wrongly, although no exception of a wrong type was thrown.
class property_error : public std::logic_error
{
public:
    using std::logic_error::logic_error;
};

/// A reader of input from outside the process.
struct target
{
    std::string name;
    input_form form = input_form::bytes;
    std::vector<std::string> samples; ///< Valid inputs.

    /// Reads an input. Returns true if it was accepted and false if it was refused with
    /// the error type of this reader. Throws property_error, or lets any other exception
    /// pass.
    std::function<bool(const std::string& input, mutator& random)> read;
};

/// Returns all readers of messages, records, sheets, tokens, settings and HTTP.
std::vector<target> all_targets();

} // namespace malformed_input
