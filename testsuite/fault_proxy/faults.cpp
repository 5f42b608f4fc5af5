#include "faults.hpp"

#include <algorithm>
#include <array>
#include <string_view>

#include <nlohmann/json.hpp>

#include "fescueridge/base/error.hpp"

namespace fault_proxy
{

namespace
{

using fescueridge::settings_error;
using json = nlohmann::json;

constexpr std::array<std::string_view, 6> mode_names{
    "pass", "refuse", "cut", "blackhole", "one_way_to_target", "one_way_to_client"};

constexpr std::array<std::string_view, 4> block_mode_names{
    "cut", "drop", "drop_to_target", "drop_to_source"};

// An hour; a longer delay is a mistake in a test.
constexpr double max_delay_ms = 3'600'000;

template <class Mode, std::size_t Count>
Mode read_mode(const std::string& key, const json& value,
               const std::array<std::string_view, Count>& names)
{
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        if (value.is_string() && value.get<std::string>() == names[i])
        {
            return static_cast<Mode>(i);
        }
    }
    throw settings_error("control", key, "is not the name of a mode");
}

std::vector<std::string> read_prefixes(const std::string& key, const json& value)
{
    std::vector<std::string> result;
    for (const json& prefix : value)
    {
        if (!value.is_array() || !prefix.is_string())
        {
            throw settings_error("control", key, "must be a list of address prefixes");
        }
        result.push_back(prefix.get<std::string>());
    }
    return result;
}

std::uint64_t read_count(const std::string& key, const json& value)
{
    if (!value.is_number_unsigned())
    {
        throw settings_error("control", key, "must be a whole number from 0");
    }
    return value.get<std::uint64_t>();
}

std::chrono::microseconds read_delay(const json& value)
{
    if (!value.is_number() || value.get<double>() < 0 ||
        value.get<double>() > max_delay_ms)
    {
        throw settings_error("control", "delay_ms", "must be from 0 to 3600000");
    }
    return std::chrono::microseconds(static_cast<long>(value.get<double>() * 1000));
}

void apply_key(faults& target, const std::string& key, const json& value)
{
    if (key == "mode")
    {
        target.mode = read_mode<fault_mode>(key, value, mode_names);
    }
    else if (key == "block_sources")
    {
        target.block_sources = read_prefixes(key, value);
    }
    else if (key == "block_mode")
    {
        target.block = read_mode<block_mode>(key, value, block_mode_names);
    }
    else if (key == "delay_ms")
    {
        target.delay = read_delay(value);
    }
    else if (key == "bytes_per_second")
    {
        target.bytes_per_second = read_count(key, value);
    }
    else if (key == "reset_after_bytes")
    {
        target.reset_after_bytes = read_count(key, value);
    }
    else if (key == "drop_percent")
    {
        target.drop_percent = static_cast<unsigned>(read_count(key, value));
        if (read_count(key, value) > 100)
        {
            throw settings_error("control", key, "must be from 0 to 100");
        }
    }
    else if (key == "seed")
    {
        target.random.seed(read_count(key, value));
    }
    else
    {
        throw settings_error("control", key, "is not known");
    }
}

} // namespace

bool faults::blocks(std::string_view source) const noexcept
{
    return std::any_of(block_sources.begin(), block_sources.end(),
                       [&](const std::string& prefix)
                       { return source.substr(0, prefix.size()) == prefix; });
}

bool faults::cuts(std::string_view source) const noexcept
{
    return block == block_mode::cut && blocks(source);
}

bool faults::vanishes(direction way, std::string_view source) const noexcept
{
    const bool towards_target = way == direction::to_target;
    if (mode == fault_mode::blackhole ||
        (mode == fault_mode::one_way_to_target && !towards_target) ||
        (mode == fault_mode::one_way_to_client && towards_target))
    {
        return true;
    }
    const bool kept_way = block == (towards_target ? block_mode::drop_to_source
                                                   : block_mode::drop_to_target);
    return !kept_way && blocks(source);
}

bool faults::loses_datagram(direction way, std::string_view source)
{
    const bool stopped = mode == fault_mode::refuse || mode == fault_mode::cut;
    return random() % 100 < drop_percent || stopped || vanishes(way, source);
}

void apply_control(faults& target, const std::string& body)
{
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object())
    {
        throw settings_error("control", "", "must be a JSON object");
    }
    faults changed = target;
    for (const auto& [key, value] : object.items())
    {
        apply_key(changed, key, value);
    }
    target = changed;
}

} // namespace fault_proxy
