#include "fescueridge/state/done_keys.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace fescueridge
{

namespace
{

constexpr std::int64_t hour_ms = 3'600'000;

std::int64_t hour_of(std::int64_t expires_ms)
{
    const bool is_whole_hour = expires_ms % hour_ms == 0;
    return expires_ms / hour_ms + (is_whole_hour || expires_ms < 0 ? 0 : 1);
}

/// Reserves capacity for one more hash, with growth by an eighth. The doubling of
/// std::vector would leave up to half of the memory of each bucket unused.
void reserve_one_more(done_keys::hashes& bucket)
{
    if (bucket.size() == bucket.capacity())
    {
        bucket.reserve(bucket.size() + bucket.size() / 8 + 8);
    }
}

} // namespace

void done_keys::insert(key_hash key, std::int64_t expires_ms)
{
    hashes& bucket = buckets_[hour_of(expires_ms)];
    reserve_one_more(bucket);
    const auto position = std::lower_bound(bucket.begin(), bucket.end(), key.get());
    if (position == bucket.end() || *position != key.get())
    {
        bucket.insert(position, key.get());
    }
}

bool done_keys::contains(key_hash key) const
{
    return std::any_of(buckets_.begin(), buckets_.end(),
                       [key](const auto& bucket) {
                           return std::binary_search(bucket.second.begin(),
                                                     bucket.second.end(), key.get());
                       });
}

void done_keys::expire(std::int64_t wall_ms)
{
    while (!buckets_.empty() && buckets_.begin()->first * hour_ms <= wall_ms)
    {
        buckets_.erase(buckets_.begin());
    }
}

void done_keys::merge(const buckets& others)
{
    for (const auto& [hour, added] : others)
    {
        hashes& bucket = buckets_[hour];
        hashes merged;
        merged.reserve(bucket.size() + added.size());
        std::set_union(bucket.begin(), bucket.end(), added.begin(), added.end(),
                       std::back_inserter(merged));
        bucket = std::move(merged);
    }
}

std::size_t done_keys::size() const noexcept
{
    return std::accumulate(buckets_.begin(), buckets_.end(), std::size_t{0},
                           [](std::size_t sum, const auto& bucket)
                           { return sum + bucket.second.size(); });
}

} // namespace fescueridge
