#pragma once

#include <cstdint>
#include <fmt/format.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "fescueridge/base/error.hpp"
#include "fescueridge/codec/messages.hpp"

namespace fescueridge::detail
{

using json = nlohmann::json;

inline json to_binary(const std::string& bytes)
{
    return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

inline json to_array(const std::vector<header_field>& headers)
{
    json result = json::array();
    for (const header_field& header : headers)
    {
        result.push_back(to_binary(header.name));
        result.push_back(to_binary(header.value));
    }
    return result;
}

/// Takes the fields of a frame in order and checks the type of each.
class field_reader
{
public:
    explicit field_reader(json frame) : frame_(std::move(frame))
    {
        if (!frame_.is_array())
        {
            throw codec_error("frame is not an array");
        }
    }

    template <class Number>
    Number number(std::int64_t low = 0,
                  std::int64_t high = std::numeric_limits<std::int64_t>::max())
    {
        const json& value = next();
        if (!value.is_number_integer())
        {
            throw codec_error(fmt::format("field {} is not a whole number", position_));
        }
        const auto result = value.get<std::int64_t>();
        if (result < low || result > high)
        {
            throw codec_error(
                fmt::format("field {} is out of range: {}", position_, result));
        }
        return static_cast<Number>(result);
    }

    std::uint64_t unsigned64()
    {
        const json& value = next();
        if (!value.is_number_unsigned())
        {
            throw codec_error(
                fmt::format("field {} is not an unsigned number", position_));
        }
        return value.get<std::uint64_t>();
    }

    double real()
    {
        const json& value = next();
        if (!value.is_number())
        {
            throw codec_error(fmt::format("field {} is not a number", position_));
        }
        return value.get<double>();
    }

    std::string text() { return to_text(next()); }

    std::optional<std::string> optional_text()
    {
        const json& value = next();
        if (value.is_null())
        {
            return std::nullopt;
        }
        return to_text(value);
    }

    const json& array(std::size_t group)
    {
        const json& value = next();
        if (!value.is_array() || value.size() % group != 0)
        {
            throw codec_error(
                fmt::format("field {} is not a list of groups of {}", position_, group));
        }
        return value;
    }

    std::string to_text(const json& value) const
    {
        if (value.is_binary())
        {
            const auto& bytes = value.get_binary();
            return std::string(bytes.begin(), bytes.end());
        }
        if (value.is_string())
        {
            return value.get<std::string>();
        }
        throw codec_error(fmt::format("field {} is not a text", position_));
    }

    /// Returns whether the next field is a list.
    bool next_is_array() const noexcept
    {
        return has_more() && frame_[position_].is_array();
    }

    /// Returns whether fields are left: those that a newer version has added.
    bool has_more() const noexcept { return position_ < frame_.size(); }

    void skip_rest() noexcept { position_ = frame_.size(); }

    void expect_end() const
    {
        if (position_ != frame_.size())
        {
            throw codec_error(fmt::format("frame has {} fields, expected {}",
                                          frame_.size(), position_));
        }
    }

private:
    const json& next()
    {
        if (position_ >= frame_.size())
        {
            throw codec_error(fmt::format("field {} is missing", position_));
        }
        return frame_[position_++];
    }

    json frame_;
    std::size_t position_ = 0;
};

inline std::string read_body(field_reader& in)
{
    std::string body = in.text();
    if (body.size() > max_body_bytes)
    {
        throw codec_error(fmt::format("body of {} bytes is too large", body.size()));
    }
    return body;
}

inline std::vector<header_field> read_headers(field_reader& in)
{
    const json& list = in.array(2);
    std::vector<header_field> result;
    for (std::size_t i = 0; i < list.size(); i += 2)
    {
        result.push_back({in.to_text(list[i]), in.to_text(list[i + 1])});
    }
    return result;
}

} // namespace fescueridge::detail
