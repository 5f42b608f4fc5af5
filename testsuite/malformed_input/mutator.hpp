#pragma once

#include <string>
#include <vector>

#include "fescueridge/base/random.hpp"

namespace malformed_input
{

/// Form of an input, for mutations that keep its structure.
enum class input_form
{
    bytes,
    cbor,
    json
};

/// Makes malformed inputs from valid ones. The inputs follow from the seed.
class mutator
{
public:
    mutator(std::vector<std::string> samples, input_form form, std::uint64_t seed);

    /// Returns the next input: a sample with one to four changes.
    std::string next();

    /// Returns a number below `end`; 0 when `end` is 0.
    std::size_t below(std::size_t end);

private:
    void change_bytes(std::string& text);
    bool change_structure(std::string& text);

    std::vector<std::string> samples_;
    input_form form_;
    fescueridge::random_engine random_;
};

} // namespace malformed_input
