#include "fescueridge/node/call_context.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace fescueridge
{

void downstream_time::begin()
{
    const std::lock_guard lock(mutex_);
    if (active_++ == 0)
    {
        running_ = stopwatch();
    }
}

void downstream_time::end()
{
    const std::lock_guard lock(mutex_);
    if (--active_ == 0)
    {
        finished_ += running_.elapsed();
    }
}

std::chrono::microseconds downstream_time::total() const
{
    const std::lock_guard lock(mutex_);
    return active_ == 0 ? finished_ : finished_ + running_.elapsed();
}

call_context::call_context(root_id root_value, caller_name caller_value,
                           const root_class& of, time_point deadline_value,
                           retry_allowance allowance_value)
    : root(std::move(root_value)), caller(std::move(caller_value)),
      rank(of.call_priority), resend(of.resend), deadline(deadline_value), depth(0),
      attempt(1), allowance(allowance_value)
{
}

call_context::call_context(const call_message& call, time_point now)
    : root(call.root), caller(call.caller), rank(call.rank), resend(call.resend),
      deadline(now + call.time_left), depth(call.depth), attempt(call.attempt),
      key(call.key), allowance(call.allowance)
{
}

void call_context::add_levels(const std::vector<admission_level>& levels)
{
    const std::lock_guard lock(mutex_);
    for (const admission_level& level : levels)
    {
        const auto same_service = [&](const admission_level& known)
        {
            return known.service == level.service;
        };
        const auto found = std::find_if(levels_.begin(), levels_.end(), same_service);
        if (found == levels_.end())
        {
            levels_.push_back(level);
        }
        else
        {
            *found = level;
        }
    }
}

std::vector<admission_level> call_context::levels() const
{
    const std::lock_guard lock(mutex_);
    return levels_;
}

std::optional<std::uint64_t> call_context::add_child(std::function<void()> cancel)
{
    const std::lock_guard lock(mutex_);
    if (ended_)
    {
        return std::nullopt;
    }
    const std::uint64_t number = next_child_++;
    children_.emplace(number, std::move(cancel));
    return number;
}

void call_context::remove_child(std::uint64_t number)
{
    const std::lock_guard lock(mutex_);
    children_.erase(number);
}

void call_context::end()
{
    std::unordered_map<std::uint64_t, std::function<void()>> children;
    {
        const std::lock_guard lock(mutex_);
        ended_ = true;
        children.swap(children_);
    }
    for (const auto& [number, cancel] : children)
    {
        cancel();
    }
}

void call_table::insert(const call_id& id, std::shared_ptr<call_context> context)
{
    shard& part = shard_of(id);
    const std::lock_guard lock(part.mutex);
    part.calls.emplace(id, std::move(context));
}

void call_table::erase(const call_id& id)
{
    shard& part = shard_of(id);
    const std::lock_guard lock(part.mutex);
    part.calls.erase(id);
}

std::shared_ptr<call_context> call_table::find(const call_id& id) const
{
    const shard& part = shard_of(id);
    const std::lock_guard lock(part.mutex);
    const auto found = part.calls.find(id);
    return found == part.calls.end() ? nullptr : found->second;
}

std::size_t call_table::size() const
{
    std::size_t total = 0;
    for (const shard& part : shards_)
    {
        const std::lock_guard lock(part.mutex);
        total += part.calls.size();
    }
    return total;
}

id_source::id_source(const node_id& node, incarnation number)
    : prefix_(fmt::format("{}-{:x}", node.get(), number.get()))
{
}

call_id id_source::next_call()
{
    return call_id(fmt::format("{}-{}", prefix_, ++counter_));
}

root_id id_source::next_root()
{
    return root_id(fmt::format("{}-r{}", prefix_, ++counter_));
}

} // namespace fescueridge
