#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "fescueridge/base/cbor.hpp"
#include "fescueridge/base/error.hpp"

namespace fescueridge::detail
{

using json = nlohmann::json;

inline json to_binary(const std::string& bytes)
{
    return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

inline std::string to_cbor(const json& document)
{
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

/// Reads the elements of a CBOR array in order and checks the type of each. Throws
/// codec_error if an element is missing or has another type.
class cbor_array_reader
{
public:
    /// Parses `bytes`. Throws codec_error unless it is a CBOR array.
    explicit cbor_array_reader(const std::string& bytes) : array_(parse_cbor(bytes))
    {
        check_is_array();
    }

    /// Throws codec_error unless the value is an array.
    explicit cbor_array_reader(json value) : array_(std::move(value))
    {
        check_is_array();
    }

    bool at_end() const noexcept { return position_ == array_.size(); }

    std::uint64_t read_unsigned()
    {
        const json& value = next_element();
        if (!value.is_number_unsigned())
        {
            throw codec_error(field_name() + " is not an unsigned integer");
        }
        return value.get<std::uint64_t>();
    }

    std::int64_t read_signed()
    {
        const json& value = next_element();
        if (!value.is_number_integer())
        {
            throw codec_error(field_name() + " is not an integer");
        }
        return value.get<std::int64_t>();
    }

    std::string read_bytes()
    {
        const json& value = next_element();
        if (!value.is_binary())
        {
            throw codec_error(field_name() + " is not a byte string");
        }
        const auto& bytes = value.get_binary();
        return {bytes.begin(), bytes.end()};
    }

    cbor_array_reader read_array() { return cbor_array_reader(next_element()); }

    void expect_end() const
    {
        if (!at_end())
        {
            throw codec_error("record has more fields than expected");
        }
    }

private:
    void check_is_array() const
    {
        if (!array_.is_array())
        {
            throw codec_error("value is not a CBOR array");
        }
    }

    std::string field_name() const { return "field " + std::to_string(position_); }

    const json& next_element()
    {
        if (at_end())
        {
            throw codec_error(field_name() + " is missing");
        }
        return array_[position_++];
    }

    json array_;
    std::size_t position_ = 0;
};

} // namespace fescueridge::detail
