#include "faults.hpp"

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

// An hour; a longer delay is a mistake in a test.
constexpr double max_delay_ms = 3'600'000;

fault_mode read_mode(const json& value)
{
    for (std::size_t i = 0; i < mode_names.size(); ++i)
    {
        if (value.is_string() && value.get<std::string>() == mode_names[i])
        {
            return static_cast<fault_mode>(i);
        }
    }
    throw settings_error("control", "mode", "is not the name of a mode");
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
        target.mode = read_mode(value);
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

bool faults::vanishes(direction way) const noexcept
{
    return mode == fault_mode::blackhole ||
           (mode == fault_mode::one_way_to_target && way == direction::to_client) ||
           (mode == fault_mode::one_way_to_client && way == direction::to_target);
}

bool faults::loses_datagram(direction way)
{
    const bool stopped = mode == fault_mode::refuse || mode == fault_mode::cut;
    return random() % 100 < drop_percent || stopped || vanishes(way);
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
