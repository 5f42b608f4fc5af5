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

/// Sums up the time during which at least one downstream call is under way, so that the
/// service time of a backend server can be told from its waiting for others. Thread safe.
class downstream_time
{
public:
    void begin();
    void end();

    /// Returns the time so far, calls under way included.
    std::chrono::microseconds total() const;

private:
    mutable std::mutex mutex_;
    std::uint32_t active_ = 0;
    stopwatch running_;
    std::chrono::microseconds finished_{0};
};

/// What a call inherits from its root and what its downstream calls share, on one node.
/// The plain members do not change after construction; the rest is thread safe.
class call_context
{
public:
    /// Makes the context of a root request.
    call_context(root_id root, caller_name caller, const root_class& of,
                 time_point deadline, retry_allowance allowance);

    /// Makes the context of a call that another node sent.
    call_context(const call_message& call, time_point now);

    const root_id root;
    const caller_name caller;
    const priority rank;
    const bool resend; ///< Part of the root class, as `rank`.
    const time_point deadline;
    const std::uint32_t depth;
    const std::uint32_t attempt;
    const std::optional<idempotency_key> key;
    allowance_account allowance;
    downstream_time downstream;

    /// Adds the levels of services that a downstream call touched; the newest level of a
    /// service replaces the one before.
    void add_levels(const std::vector<admission_level>& levels);

    /// Returns the levels of all services touched so far.
    std::vector<admission_level> levels() const;

    /// Records that a downstream call was refused for overload, so that the failure of
    /// this call is not retried: a retry would meet the same refusal.
    void note_overload() noexcept { saw_overload_ = true; }
    bool saw_overload() const noexcept { return saw_overload_; }

    /// Registers a downstream call that is cancelled when this call ends. Returns its
    /// number, or nothing when this call has ended already.
    std::optional<std::uint64_t> add_child(std::function<void()> cancel);

    /// Removes a downstream call that has ended.
    void remove_child(std::uint64_t number);

    /// Cancels all downstream calls; later ones are refused by add_child.
    void end();

private:
    mutable std::mutex mutex_;
    std::vector<admission_level> levels_;
    std::unordered_map<std::uint64_t, std::function<void()>> children_;
    std::uint64_t next_child_ = 0;
    bool ended_ = false;
    std::atomic<bool> saw_overload_{false};
};

/// Calls that run on the own backend server, by call id. Thread safe.
class call_table
{
public:
    void insert(const call_id& id, std::shared_ptr<call_context> context);
    void erase(const call_id& id);

    /// Returns the context, or null when no call with this id runs here.
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

/// Makes call ids and root ids that are never used twice: node, incarnation, counter.
class id_source
{
public:
    id_source(const node_id& node, incarnation number);

    call_id next_call();
    root_id next_root();

private:
    std::string prefix_;
    std::atomic<std::uint64_t> counter_{0};
};

} // namespace fescueridge
