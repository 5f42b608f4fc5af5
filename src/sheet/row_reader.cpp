#include "row_reader.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fmt/format.h>

#include "text.hpp"

namespace fescueridge::detail
{

namespace
{

constexpr double min_limit = 0.01;
constexpr double max_limit = 10'000'000;

bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           c == '-' || c == '_' || c == '.';
}

bool is_path_character(char c)
{
    return c > ' ' && c < '\x7f' && c != '?' && c != '#';
}

std::string to_lower(std::string_view text)
{
    std::string result(text);
    for (char& c : result)
    {
        c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    }
    return result;
}

} // namespace

void row_reader::start(std::uint32_t row)
{
    row_ = row;
    cells_.fill({});
}

void row_reader::set(std::size_t at, std::string_view cell)
{
    cells_[at] = trim(cell);
}

void row_reader::add(column at, fault_reason reason, std::string text)
{
    faults_.push_back({row_, std::string(column_names[at]), reason, std::move(text)});
}

void row_reader::check_lengths()
{
    for (std::size_t i = 0; i < cells_.size(); ++i)
    {
        if (cells_[i].size() > max_cell_bytes)
        {
            add(static_cast<column>(i), fault_reason::too_long,
                fmt::format("{} bytes; {} are allowed", cells_[i].size(),
                            max_cell_bytes));
        }
    }
}

std::string row_reader::shown(column at) const
{
    constexpr std::size_t longest = 60;
    return printable(cells_[at].substr(0, longest));
}

bool row_reader::read_name(column at)
{
    const std::string_view name = cells_[at];
    if (name.empty())
    {
        add(at, fault_reason::missing_value, "a rule needs a name here");
        return false;
    }
    if (at == caller_column && name == any_caller)
    {
        return true;
    }
    if (!std::all_of(name.begin(), name.end(), is_name_character))
    {
        add(at, fault_reason::bad_name,
            fmt::format("\"{}\" has characters other than letters, digits, \"-\", "
                        "\"_\" and \".\"",
                        shown(at)));
        return false;
    }
    return true;
}

std::optional<std::uint32_t> row_reader::read_whole_number(column at, std::uint32_t low,
                                                           std::uint32_t high,
                                                           bool required)
{
    const std::string_view cell = cells_[at];
    if (cell.empty())
    {
        if (required)
        {
            add(at, fault_reason::missing_value,
                fmt::format("a whole number from {} to {} is needed", low, high));
        }
        return std::nullopt;
    }
    std::int64_t value = 0;
    const char* const end = cell.data() + cell.size();
    const auto [stop, problem] = std::from_chars(cell.data(), end, value);
    if (stop != end || problem == std::errc::invalid_argument)
    {
        add(at, fault_reason::bad_number,
            fmt::format("\"{}\" is not a whole number", shown(at)));
        return std::nullopt;
    }
    if (problem != std::errc() || value < low || value > high)
    {
        add(at, fault_reason::out_of_range,
            fmt::format("\"{}\" is not from {} to {}", shown(at), low, high));
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(value);
}

std::optional<call_rate> row_reader::read_limit()
{
    const std::string_view cell = cells_[limit_column];
    if (cell.empty())
    {
        return std::nullopt;
    }
    double value = 0;
    const char* const end = cell.data() + cell.size();
    const auto [stop, problem] =
        std::from_chars(cell.data(), end, value, std::chars_format::fixed);
    if (stop != end || problem == std::errc::invalid_argument || std::isnan(value) ||
        std::isinf(value))
    {
        add(limit_column, fault_reason::bad_number,
            fmt::format("\"{}\" is not a number such as 500 or 2.5",
                        shown(limit_column)));
        return std::nullopt;
    }
    if (problem != std::errc() || value < min_limit || value > max_limit)
    {
        add(limit_column, fault_reason::out_of_range,
            fmt::format("\"{}\" is not from {} to {}", shown(limit_column), min_limit,
                        max_limit));
        return std::nullopt;
    }
    return call_rate(value);
}

bool row_reader::read_flag()
{
    const std::string cell = to_lower(cells_[at_most_once_column]);
    if (cell == "yes" || cell == "true")
    {
        return true;
    }
    if (!cell.empty() && cell != "no" && cell != "false")
    {
        add(at_most_once_column, fault_reason::bad_flag,
            fmt::format("\"{}\" is neither \"yes\" nor \"no\"",
                        shown(at_most_once_column)));
    }
    return false;
}

std::string row_reader::read_path()
{
    std::string_view path = cells_[path_column];
    if (!path.empty() && (path.front() != '/' ||
                          !std::all_of(path.begin(), path.end(), is_path_character)))
    {
        add(path_column, fault_reason::bad_path,
            fmt::format("\"{}\" does not start with \"/\" or has characters that a "
                        "path cannot have",
                        shown(path_column)));
    }
    while (!path.empty() && path.back() == '/')
    {
        path.remove_suffix(1);
    }
    return std::string(path);
}

} // namespace fescueridge::detail
