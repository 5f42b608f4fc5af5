#include "fescueridge/node/inbound_calls.hpp"

namespace fescueridge
{

void inbound_calls::add(const link_ptr& from, const call_id& id)
{
    const std::lock_guard lock(mutex_);
    calls_[from.get()].insert(id);
}

void inbound_calls::remove(const link_ptr& from, const call_id& id)
{
    const std::lock_guard lock(mutex_);
    const auto found = calls_.find(from.get());
    if (found != calls_.end())
    {
        found->second.erase(id);
        if (found->second.empty())
        {
            calls_.erase(found);
        }
    }
}

std::vector<call_id> inbound_calls::take_all(const link_ptr& from)
{
    const std::lock_guard lock(mutex_);
    const auto found = calls_.find(from.get());
    if (found == calls_.end())
    {
        return {};
    }
    std::vector<call_id> result(found->second.begin(), found->second.end());
    calls_.erase(found);
    return result;
}

} // namespace fescueridge
