#include "fescueridge/node/sheet_holder.hpp"

#include <variant>

namespace fescueridge
{

std::shared_ptr<const sheet_snapshot> sheet_holder::get() const
{
    return std::atomic_load(&current_);
}

sheet_version sheet_holder::version() const
{
    const auto snapshot = get();
    return snapshot ? snapshot->version : sheet_version(0);
}

bool sheet_holder::adopt(sheet_version version, log_offset offset,
                         const std::string& content, const std::string& author)
{
    if (version <= this->version())
    {
        return false;
    }
    sheet_or_faults parsed = parse_sheet(content);
    auto* rules = std::get_if<std::shared_ptr<const sheet>>(&parsed);
    if (rules == nullptr)
    {
        return false;
    }
    auto fresh = std::make_shared<const sheet_snapshot>(
        sheet_snapshot{version, offset, author, std::move(*rules)});
    auto known = get();
    while (!known || known->version < version)
    {
        // Does not replace a higher version that another thread put in force
        // concurrently.
        if (std::atomic_compare_exchange_strong(&current_, &known, fresh))
        {
            return true;
        }
    }
    return false;
}

} // namespace fescueridge
