#include "fescueridge/sheet/sheet.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>

#include "fescueridge/base/random.hpp"
#include "fescueridge/sheet/csv.hpp"

namespace fescueridge
{

namespace
{

// In the order of fault_reason.
constexpr std::array<std::string_view, 23> fault_names{
    "too_large",      "empty_sheet",     "bad_quotes",       "bad_text",
    "missing_column", "unknown_column",  "duplicate_column", "extra_cell",
    "unknown_kind",   "missing_value",   "unexpected_value", "bad_name",
    "bad_number",     "out_of_range",    "bad_flag",         "bad_path",
    "too_long",       "unknown_setting", "bad_setting",      "duplicate_setting",
    "duplicate_rule", "no_default_rule", "too_many_faults"};

bool starts_with_path(std::string_view path, std::string_view prefix) noexcept
{
    if (path.size() < prefix.size() || path.compare(0, prefix.size(), prefix) != 0)
    {
        return false;
    }
    return prefix.empty() || path.size() == prefix.size() || path[prefix.size()] == '/' ||
           path[prefix.size()] == '?';
}

bool has_longer_path(const rule* a, const rule* b)
{
    return a->path.size() > b->path.size();
}

} // namespace

std::string_view to_string(fault_reason value) noexcept
{
    return fault_names[static_cast<std::size_t>(value)];
}

std::optional<fault_reason> parse_fault_reason(std::string_view text) noexcept
{
    const auto* const found = std::find(fault_names.begin(), fault_names.end(), text);
    if (found == fault_names.end())
    {
        return std::nullopt;
    }
    return static_cast<fault_reason>(found - fault_names.begin());
}

std::string_view to_string(weighting value) noexcept
{
    return value == weighting::goodput ? "goodput" : "recovery";
}

std::string to_row_text(const rule& value)
{
    return to_csv_row({"rule", value.caller.get(), value.service.get(),
                       std::to_string(value.rank.get()),
                       value.limit ? fmt::format("{}", value.limit->get()) : "",
                       value.timeout ? std::to_string(value.timeout->count()) : "",
                       value.at_most_once ? "yes" : "", value.path, value.note});
}

sheet::sheet(std::string content, std::vector<rule> rules, const sheet_settings& settings)
    : content_(std::move(content)), rules_(std::move(rules)), settings_(settings),
      content_hash_(stable_hash(content_))
{
    for (const rule& entry : rules_)
    {
        services_[entry.service.get()][entry.caller.get()].push_back(&entry);
    }
    for (auto& service : services_)
    {
        for (auto& caller : service.second)
        {
            std::sort(caller.second.begin(), caller.second.end(), has_longer_path);
        }
    }
}

const rule* sheet::find(std::string_view service, std::string_view caller,
                        std::string_view path) const noexcept
{
    const auto callers = services_.find(service);
    if (callers == services_.end())
    {
        return nullptr;
    }
    for (const std::string_view name : {caller, any_caller})
    {
        const auto rules = callers->second.find(name);
        if (rules == callers->second.end())
        {
            continue;
        }
        for (const rule* entry : rules->second)
        {
            if (starts_with_path(path, entry->path))
            {
                return entry;
            }
        }
    }
    return nullptr;
}

const rule* sheet::find_row(std::uint32_t row) const noexcept
{
    const auto found = std::lower_bound(rules_.begin(), rules_.end(), row,
                                        [](const rule& entry, std::uint32_t r)
                                        { return entry.row < r; });
    return found == rules_.end() || found->row != row ? nullptr : &*found;
}

} // namespace fescueridge
