#include "text.hpp"

#include <algorithm>
#include <cstdint>

namespace fescueridge::detail
{

namespace
{

constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

/// Returns the length of the UTF-8 sequence at the start of the text, or 0 when it is
/// malformed (RFC 3629: no overlong forms, no surrogates, at most U+10FFFF).
std::size_t utf8_length(std::string_view text) noexcept
{
    const auto byte = [&](std::size_t i)
    {
        return static_cast<std::uint8_t>(text[i]);
    };
    const auto continues = [&](std::size_t i)
    {
        return i < text.size() && (byte(i) & 0xc0U) == 0x80U;
    };
    const std::uint8_t first = byte(0);
    if (first < 0x80)
    {
        return 1;
    }
    if (first >= 0xc2 && first <= 0xdf)
    {
        return continues(1) ? 2 : 0;
    }
    if (first >= 0xe0 && first <= 0xef && continues(1) && continues(2))
    {
        const bool overlong = first == 0xe0 && byte(1) < 0xa0;
        const bool surrogate = first == 0xed && byte(1) >= 0xa0;
        return overlong || surrogate ? 0 : 3;
    }
    if (first >= 0xf0 && first <= 0xf4 && continues(1) && continues(2) && continues(3))
    {
        const bool overlong = first == 0xf0 && byte(1) < 0x90;
        const bool too_high = first == 0xf4 && byte(1) >= 0x90;
        return overlong || too_high ? 0 : 4;
    }
    return 0;
}

} // namespace

std::string_view trim(std::string_view text) noexcept
{
    constexpr std::string_view blank = " \t\r\n";
    const std::size_t first = text.find_first_not_of(blank);
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blank) - first + 1);
}

bool is_utf8(std::string_view text) noexcept
{
    while (!text.empty())
    {
        const std::size_t length = utf8_length(text);
        if (length == 0)
        {
            return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

bool is_control(char c) noexcept
{
    const auto byte = static_cast<std::uint8_t>(c);
    return byte < 0x20 || byte == 0x7f;
}

std::string printable(std::string_view text)
{
    std::string result;
    while (!text.empty())
    {
        const std::size_t length = utf8_length(text);
        // U+0080 to U+009F are control characters too.
        const bool high_control =
            length == 2 && text[0] == '\xc2' && static_cast<std::uint8_t>(text[1]) < 0xa0;
        if (length == 0 || is_control(text[0]) || high_control)
        {
            result.push_back('?');
        }
        else
        {
            result.append(text.substr(0, length));
        }
        text.remove_prefix(std::max<std::size_t>(length, 1));
    }
    return result;
}

std::string to_base64url(std::string_view bytes)
{
    std::string result;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char c : bytes)
    {
        bits = (bits << 8U) | static_cast<std::uint8_t>(c);
        count += 8;
        while (count >= 6)
        {
            count -= 6;
            result.push_back(alphabet[(bits >> static_cast<unsigned>(count)) & 63U]);
        }
    }
    if (count > 0)
    {
        result.push_back(alphabet[(bits << static_cast<unsigned>(6 - count)) & 63U]);
    }
    return result;
}

bool from_base64url(std::string_view text, std::string& bytes)
{
    bytes.clear();
    std::uint32_t bits = 0;
    unsigned count = 0;
    for (const char c : text)
    {
        const std::size_t value = alphabet.find(c);
        if (value == std::string_view::npos)
        {
            return false;
        }
        bits = (bits << 6U) | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8)
        {
            count -= 8;
            bytes.push_back(static_cast<char>((bits >> count) & 0xffU));
        }
    }
    // A lone character and bits that are not zero at the end come from damage only.
    return count < 6 && (bits & ((1U << count) - 1U)) == 0;
}

} // namespace fescueridge::detail
