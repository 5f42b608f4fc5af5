#include "fescueridge/node/call_context.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace fescueridge
{

void downstream_timer::on_call_start()
{
    const std::lock_guard lock(mutex_);
    if (running_calls_++ == 0)
    {
        since_first_call_ = stopwatch();
    }
}

void downstream_timer::on_call_end()
{
    const std::lock_guard lock(mutex_);
    if (--running_calls_ == 0)
    {
        completed_time_ += since_first_call_.elapsed();
    }
}

std::chrono::microseconds downstream_timer::total() const
{
    const std::lock_guard lock(mutex_);
    return running_calls_ == 0 ? completed_time_
                               : completed_time_ + since_first_call_.elapsed();
}

call_context::call_context(root_id root_value, caller_name caller_value,
                           const root_class& request_class, time_point deadline_value,
                           retry_allowance allowance_value)
    : root(std::move(root_value)), caller(std::move(caller_value)),
      rank(request_class.call_priority), resend(request_class.resend),
      deadline(deadline_value), depth(0), attempt(1), allowance(allowance_value)
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
    const std::uint64_t number = next_child_number_++;
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
    shard& selected = shard_of(id);
    const std::lock_guard lock(selected.mutex);
    selected.calls.emplace(id, std::move(context));
}

void call_table::erase(const call_id& id)
{
    shard& selected = shard_of(id);
    const std::lock_guard lock(selected.mutex);
    selected.calls.erase(id);
}

std::shared_ptr<call_context> call_table::find(const call_id& id) const
{
    const shard& selected = shard_of(id);
    const std::lock_guard lock(selected.mutex);
    const auto found = selected.calls.find(id);
    return found == selected.calls.end() ? nullptr : found->second;
}

std::size_t call_table::size() const
{
    std::size_t total = 0;
    for (const shard& selected : shards_)
    {
        const std::lock_guard lock(selected.mutex);
        total += selected.calls.size();
    }
    return total;
}

id_generator::id_generator(const node_id& node, incarnation incarnation_number)
    : prefix_(fmt::format("{}-{:x}", node.get(), incarnation_number.get()))
{
}

call_id id_generator::next_call_id()
{
    return call_id(fmt::format("{}-{}", prefix_, ++counter_));
}

root_id id_generator::next_root_id()
{
    return root_id(fmt::format("{}-r{}", prefix_, ++counter_));
}

} // namespace fescueridge
