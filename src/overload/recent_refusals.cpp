#include "fescueridge/overload/recent_refusals.hpp"

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

/// Hash of caller and fingerprint. A collision only puts a request into the wrong class.
using refusal_key = std::uint64_t;

refusal_key key_of(const caller_name& caller, fingerprint request)
{
    return stable_hash(caller.get(), request.get());
}

struct refusal
{
    time_point at;
    refusal_key key;
};

/// Number of refusals of one key. The oldest unmatched refusal is matched first, so the
/// matched ones are the oldest of their key and expire first.
struct refusal_count
{
    std::uint32_t unmatched = 0;
    std::uint32_t matched = 0;
};

/// Refusals of a subset of the keys, oldest first.
struct refusal_shard
{
    void drop_oldest()
    {
        const auto found = counts.find(refusals.front().key);
        refusals.pop_front();
        auto& count = found->second;
        --(count.matched > 0 ? count.matched : count.unmatched);
        if (count.matched == 0 && count.unmatched == 0)
        {
            counts.erase(found);
        }
    }

    void expire(time_point now)
    {
        while (!refusals.empty() &&
               now - refusals.front().at >= recent_refusals::retention)
        {
            drop_oldest();
        }
    }

    void add(refusal_key key, std::size_t capacity, time_point now)
    {
        expire(now);
        if (refusals.size() >= capacity)
        {
            drop_oldest();
        }
        refusals.push_back({now, key});
        ++counts[key].unmatched;
    }

    bool match(refusal_key key, time_point now)
    {
        expire(now);
        const auto found = counts.find(key);
        if (found == counts.end() || found->second.unmatched == 0)
        {
            return false;
        }
        --found->second.unmatched;
        ++found->second.matched;
        return true;
    }

    mutable std::mutex mutex;
    std::deque<refusal> refusals;
    std::unordered_map<refusal_key, refusal_count> counts;
};

} // namespace

struct recent_refusals::impl
{
    explicit impl(std::size_t capacity)
        : shard_capacity(std::max<std::size_t>(1, capacity / shard_count))
    {
    }

    refusal_shard& shard_of(refusal_key key) { return shards[key % shard_count]; }

    std::size_t shard_capacity;
    std::array<refusal_shard, shard_count> shards;
};

recent_refusals::recent_refusals(std::size_t capacity)
    : impl_(std::make_unique<impl>(capacity))
{
}

recent_refusals::~recent_refusals() = default;

void recent_refusals::add(const caller_name& caller, fingerprint request, time_point now)
{
    const refusal_key key = key_of(caller, request);
    auto& shard = impl_->shard_of(key);
    const std::lock_guard lock(shard.mutex);
    shard.add(key, impl_->shard_capacity, now);
}

bool recent_refusals::match(const caller_name& caller, fingerprint request,
                            time_point now)
{
    const refusal_key key = key_of(caller, request);
    auto& shard = impl_->shard_of(key);
    const std::lock_guard lock(shard.mutex);
    return shard.match(key, now);
}

std::size_t recent_refusals::size() const
{
    std::size_t total = 0;
    for (const refusal_shard& shard : impl_->shards)
    {
        const std::lock_guard lock(shard.mutex);
        total += shard.refusals.size();
    }
    return total;
}

} // namespace fescueridge
