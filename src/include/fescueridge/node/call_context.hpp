#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/stopwatch.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/messages.hpp"
#include "fescueridge/overload/rank.hpp"
#include "fescueridge/overload/retry.hpp"

namespace fescueridge
{

/// Measures the total time during which at least one downstream call is running. This
/// time is subtracted from a call's duration to get the backend server's own service
/// time. Thread safe.
class downstream_timer
{
public:
    void on_call_start();
    void on_call_end();

    /// Returns the total up to now, including calls that are still running.
    std::chrono::microseconds total() const;

private:
    mutable std::mutex mutex_;
    std::uint32_t running_calls_ = 0;
    stopwatch since_first_call_;
    std::chrono::microseconds completed_time_{0};
};

/// State of one call on one node: the attributes inherited from the root request, and the
/// retry allowance and admission levels shared by its downstream calls. The const members
/// do not change after construction; all other members are thread safe.
class call_context
{
public:
    /// Creates the context of a root request.
    call_context(root_id root, caller_name caller, const root_class& request_class,
                 time_point deadline, retry_allowance allowance);

    /// Creates the context of a call received from another node.
    call_context(const call_message& call, time_point now);

    const root_id root;
    const caller_name caller;
    const priority rank;
    const bool resend; ///< Part of the root class, like `rank`.
    const time_point deadline;
    const std::uint32_t depth;
    const std::uint32_t attempt;
    const std::optional<idempotency_key> key;
    allowance_account allowance;
    downstream_timer downstream;

    /// Adds the admission levels reported by a downstream call. A level replaces the
    /// earlier one of the same service.
    void add_levels(const std::vector<admission_level>& levels);

    /// Returns the latest admission level of each service called so far.
    std::vector<admission_level> levels() const;

    /// Records that a downstream call was refused for overload. A failure of this call is
    /// then not retried, because the retry would be refused as well.
    void set_downstream_overload() noexcept { downstream_overload_ = true; }
    bool has_downstream_overload() const noexcept { return downstream_overload_; }

    /// Registers a downstream call; `cancel` is called when this call ends. Returns a
    /// number for remove_child(), or nullopt if this call has already ended.
    std::optional<std::uint64_t> add_child(std::function<void()> cancel);

    /// Unregisters a downstream call that has ended.
    void remove_child(std::uint64_t number);

    /// Ends the call: cancels all downstream calls, and makes add_child() refuse new
    /// ones.
    void end();

private:
    mutable std::mutex mutex_;
    std::vector<admission_level> levels_;
    std::unordered_map<std::uint64_t, std::function<void()>> children_;
    std::uint64_t next_child_number_ = 0;
    bool ended_ = false;
    std::atomic<bool> downstream_overload_{false};
};

/// Calls running on this node's backend server, by call id. Thread safe.
class call_table
{
public:
    void insert(const call_id& id, std::shared_ptr<call_context> context);
    void erase(const call_id& id);

    /// Returns the context of a call, or null if no call with this id is running.
    std::shared_ptr<call_context> find(const call_id& id) const;

    std::size_t size() const;

private:
    struct shard
    {
        mutable std::mutex mutex;
        std::unordered_map<call_id, std::shared_ptr<call_context>> calls;
    };
    static constexpr std::size_t shard_count = 16;

    shard& shard_of(const call_id& id) { return shards_[index_of(id)]; }
    const shard& shard_of(const call_id& id) const { return shards_[index_of(id)]; }
    static std::size_t index_of(const call_id& id)
    {
        return std::hash<call_id>{}(id) % shard_count;
    }

    shard shards_[shard_count];
};

/// Generates unique call ids and root ids from the node id, its incarnation and a
/// counter.
class id_generator
{
public:
    id_generator(const node_id& node, incarnation incarnation_number);

    call_id next_call_id();
    root_id next_root_id();

private:
    std::string prefix_;
    std::atomic<std::uint64_t> counter_{0};
};

} // namespace fescueridge
