#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <initializer_list>
#include <mutex>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fescueridge/base/types.hpp"

namespace fescueridge
{

/// Value of one field of an event.
using event_value = std::variant<std::string, std::int64_t, double, bool>;

/// Named field of an event.
struct event_field
{
    std::string name;
    event_value value;
};

/// One entry of the time line. The Lamport stamp orders events of different processes
/// that exchanged messages; the sequence orders events of one process.
struct event
{
    std::int64_t wall_ms = 0;
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t lamport = 0;
    std::string name;
    std::vector<event_field> fields;
};

/// Returns the event as one line of JSON without a line break.
std::string to_json_line(const event& value);

/// Collects the events of this process: writes each as a JSON line to standard error and
/// keeps the newest for the time line. Safe for use from several threads.
class event_log
{
public:
    /// Number of events kept; older ones are dropped from the time line.
    static constexpr std::size_t capacity = 4096;

    event_log(const node_id& node, incarnation number);

    /// Records an event with a stable name and its fields.
    void record(std::string name, std::vector<event_field> fields = {});

    /// Returns the Lamport stamp to put on an outgoing message.
    std::uint64_t stamp() noexcept;

    /// Takes over the Lamport stamp of a received message.
    void observe(std::uint64_t lamport) noexcept;

    /// Returns the kept events with a sequence above `after`, oldest first.
    std::vector<event> since(std::uint64_t after) const;

    /// Turns the output to standard error on or off; on by default.
    void echo(bool enabled) noexcept { echo_ = enabled; }

private:
    std::string node_;
    std::uint64_t incarnation_;
    std::atomic<std::uint64_t> lamport_{0};
    std::atomic<bool> echo_{true};
    mutable std::mutex mutex_;
    std::uint64_t sequence_ = 0;
    std::deque<event> ring_;
};

} // namespace fescueridge
