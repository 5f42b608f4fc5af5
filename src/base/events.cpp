#include "fescueridge/base/events.hpp"

#include <cstdio>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "fescueridge/base/clock.hpp"

namespace fescueridge
{

std::string to_json_line(const event& value)
{
    nlohmann::ordered_json line;
    line["time_ms"] = value.wall_ms;
    line["node"] = value.node;
    line["incarnation"] = value.incarnation;
    line["seq"] = value.sequence;
    line["lamport"] = value.lamport;
    line["event"] = value.name;
    for (const event_field& field : value.fields)
    {
        std::visit([&](const auto& content) { line[field.name] = content; }, field.value);
    }
    // Bytes from the network may not be UTF-8; replacing them keeps the line valid JSON.
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

event_log::event_log(const node_id& node, incarnation number)
    : node_(node.get()), incarnation_(number.get())
{
}

void event_log::record(std::string name, std::vector<event_field> fields)
{
    event entry;
    entry.wall_ms = wall_clock_ms();
    entry.node = node_;
    entry.incarnation = incarnation_;
    entry.name = std::move(name);
    entry.fields = std::move(fields);
    std::string line;
    {
        const std::lock_guard lock(mutex_);
        // Both numbers are taken under the lock: a thread that waited for it with an
        // older stamp would get a later sequence, and the time line would show its event
        // first.
        entry.lamport = stamp();
        entry.sequence = ++sequence_;
        if (echo_)
        {
            line = to_json_line(entry);
        }
        ring_.push_back(std::move(entry));
        if (ring_.size() > capacity)
        {
            ring_.pop_front();
        }
    }
    if (!line.empty())
    {
        fmt::print(stderr, "{}\n", line);
    }
}

std::uint64_t event_log::stamp() noexcept
{
    return lamport_.fetch_add(1) + 1;
}

void event_log::observe(std::uint64_t lamport) noexcept
{
    std::uint64_t current = lamport_.load();
    while (current < lamport && !lamport_.compare_exchange_weak(current, lamport))
    {
    }
}

std::vector<event> event_log::since(std::uint64_t after) const
{
    const std::lock_guard lock(mutex_);
    std::vector<event> result;
    for (const event& entry : ring_)
    {
        if (entry.sequence > after)
        {
            result.push_back(entry);
        }
    }
    return result;
}

} // namespace fescueridge
