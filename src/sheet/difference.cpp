#include <array>
#include <map>
#include <tuple>

#include "fescueridge/sheet/csv.hpp"
#include "fescueridge/sheet/sheet.hpp"

namespace fescueridge
{

namespace
{

using rule_key = std::tuple<std::string_view, std::string_view, std::string_view>;
using rule_map = std::map<rule_key, const rule*>;

rule_key key_of(const rule& value)
{
    return {value.service.get(), value.caller.get(), value.path};
}

rule_map index_rules(const sheet& source)
{
    rule_map result;
    for (const rule& entry : source.rules())
    {
        result.emplace(key_of(entry), &entry);
    }
    return result;
}

std::string to_setting_text(const std::string& name, const std::string& value)
{
    return to_csv_row({"setting", name, value, "", "", "", "", "", ""});
}

std::array<std::string, 4> setting_texts(const sheet_settings& settings)
{
    return {to_setting_text("domains", std::to_string(settings.domains)),
            to_setting_text("weigh", std::string(to_string(settings.weigh))),
            to_setting_text("remember_days", std::to_string(settings.remember_days)),
            to_setting_text("retry_allowance",
                            std::to_string(settings.retry_allowance.get()))};
}

void add_setting_differences(const sheet& before, const sheet& after,
                             std::vector<row_difference>& result)
{
    const auto old_texts = setting_texts(before.settings());
    const auto new_texts = setting_texts(after.settings());
    for (std::size_t i = 0; i < old_texts.size(); ++i)
    {
        if (old_texts[i] != new_texts[i])
        {
            result.push_back({row_change::changed, 0, 0, old_texts[i], new_texts[i]});
        }
    }
}

} // namespace

std::string_view to_string(row_change value) noexcept
{
    constexpr std::array<std::string_view, 3> names{"added", "removed", "changed"};
    return names[static_cast<std::size_t>(value)];
}

std::vector<row_difference> differences(const sheet& before, const sheet& after)
{
    std::vector<row_difference> result;
    add_setting_differences(before, after, result);
    const rule_map old_rules = index_rules(before);
    const rule_map new_rules = index_rules(after);
    for (const rule& entry : after.rules())
    {
        const auto found = old_rules.find(key_of(entry));
        const std::string text = to_row_text(entry);
        if (found == old_rules.end())
        {
            result.push_back({row_change::added, 0, entry.row, "", text});
            continue;
        }
        const std::string old_text = to_row_text(*found->second);
        if (old_text != text)
        {
            result.push_back(
                {row_change::changed, found->second->row, entry.row, old_text, text});
        }
    }
    for (const rule& entry : before.rules())
    {
        if (new_rules.count(key_of(entry)) == 0)
        {
            result.push_back({row_change::removed, entry.row, 0, to_row_text(entry), ""});
        }
    }
    return result;
}

} // namespace fescueridge
