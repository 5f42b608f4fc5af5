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
class cbor_fields
{
public:
    /// Parses a record. Throws codec_error unless it is a CBOR array.
    explicit cbor_fields(const std::string& bytes) : array_(parse_cbor(bytes))
    {
        check();
    }

    /// Throws codec_error unless the value is an array.
    explicit cbor_fields(json value) : array_(std::move(value)) { check(); }

    bool at_end() const noexcept { return position_ == array_.size(); }

    std::uint64_t number()
    {
        const json& value = next();
        if (!value.is_number_unsigned())
        {
            throw codec_error(field() + " is not an unsigned integer");
        }
        return value.get<std::uint64_t>();
    }

    std::int64_t signed_number()
    {
        const json& value = next();
        if (!value.is_number_integer())
        {
            throw codec_error(field() + " is not an integer");
        }
        return value.get<std::int64_t>();
    }

    std::string text()
    {
        const json& value = next();
        if (!value.is_binary())
        {
            throw codec_error(field() + " is not a byte string");
        }
        const auto& bytes = value.get_binary();
        return {bytes.begin(), bytes.end()};
    }

    cbor_fields array() { return cbor_fields(next()); }

    void expect_end() const
    {
        if (!at_end())
        {
            throw codec_error("record has more fields than expected");
        }
    }

private:
    void check() const
    {
        if (!array_.is_array())
        {
            throw codec_error("value is not a CBOR array");
        }
    }

    std::string field() const { return "field " + std::to_string(position_); }

    const json& next()
    {
        if (at_end())
        {
            throw codec_error(field() + " is missing");
        }
        return array_[position_++];
    }

    json array_;
    std::size_t position_ = 0;
};

} // namespace fescueridge::detail
