#include "fescueridge/overload/refusal_marks.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <mutex>
#include <unordered_map>

#include "fescueridge/base/random.hpp"

namespace fescueridge
{

namespace
{

constexpr std::size_t shard_count = 16;

/// A hash of caller and fingerprint. A collision only gives a request the wrong class.
using mark_key = std::uint64_t;

mark_key key_of(const caller_name& caller, fingerprint request)
{
    return stable_hash(caller.get(), request.get());
}

struct mark
{
    time_point at;
    mark_key key;
};

/// Marks of one key. Marks are taken in the order in which they were left, so the taken
/// ones are the oldest of their key and expire first.
struct mark_count
{
    std::uint32_t free = 0;
    std::uint32_t taken = 0;
};

/// The marks of a part of the keys, in order of time.
struct mark_shard
{
    void drop_oldest()
    {
        const auto found = counts.find(marks.front().key);
        marks.pop_front();
        auto& count = found->second;
        --(count.taken > 0 ? count.taken : count.free);
        if (count.taken == 0 && count.free == 0)
        {
            counts.erase(found);
        }
    }

    void expire(time_point now)
    {
        while (!marks.empty() && now - marks.front().at >= refusal_marks::memory)
        {
            drop_oldest();
        }
    }

    void add(mark_key key, std::size_t capacity, time_point now)
    {
        expire(now);
        if (marks.size() >= capacity)
        {
            drop_oldest();
        }
        marks.push_back({now, key});
        ++counts[key].free;
    }

    bool take(mark_key key, time_point now)
    {
        expire(now);
        const auto found = counts.find(key);
        if (found == counts.end() || found->second.free == 0)
        {
            return false;
        }
        --found->second.free;
        ++found->second.taken;
        return true;
    }

    mutable std::mutex mutex;
    std::deque<mark> marks;
    std::unordered_map<mark_key, mark_count> counts;
};

} // namespace

struct refusal_marks::impl
{
    explicit impl(std::size_t capacity)
        : shard_capacity(std::max<std::size_t>(1, capacity / shard_count))
    {
    }

    mark_shard& shard_of(mark_key key) { return shards[key % shard_count]; }

    std::size_t shard_capacity;
    std::array<mark_shard, shard_count> shards;
};

refusal_marks::refusal_marks(std::size_t capacity)
    : impl_(std::make_unique<impl>(capacity))
{
}

refusal_marks::~refusal_marks() = default;

void refusal_marks::add(const caller_name& caller, fingerprint request, time_point now)
{
    const mark_key key = key_of(caller, request);
    auto& part = impl_->shard_of(key);
    const std::lock_guard lock(part.mutex);
    part.add(key, impl_->shard_capacity, now);
}

bool refusal_marks::take(const caller_name& caller, fingerprint request, time_point now)
{
    const mark_key key = key_of(caller, request);
    auto& part = impl_->shard_of(key);
    const std::lock_guard lock(part.mutex);
    return part.take(key, now);
}

std::size_t refusal_marks::size() const
{
    std::size_t total = 0;
    for (const mark_shard& part : impl_->shards)
    {
        const std::lock_guard lock(part.mutex);
        total += part.marks.size();
    }
    return total;
}

} // namespace fescueridge
