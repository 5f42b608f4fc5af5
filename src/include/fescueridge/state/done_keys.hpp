#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "fescueridge/state/key_hash.hpp"

namespace fescueridge
{

/// Keys whose calls are done, as sorted hashes in buckets by hour of expiry. A key is
/// kept until the end of the hour in which it expires, so that whole buckets are dropped.
class done_keys
{
public:
    using hashes = std::vector<std::uint64_t>;
    /// Sorted hashes by hour. Those of hour h expire when the log's clock reads
    /// h x 3,600,000 ms.
    using buckets = std::map<std::int64_t, hashes>;

    /// Adds a key that expires at `expires_ms` by the log's clock.
    void insert(key_hash key, std::int64_t expires_ms);

    bool contains(key_hash key) const;

    /// Drops the buckets that have expired at `wall_ms` by the log's clock.
    void expire(std::int64_t wall_ms);

    /// Adds the keys of a checkpoint.
    void merge(const buckets& others);

    const buckets& by_hour() const noexcept { return buckets_; }

    std::size_t size() const noexcept;

private:
    buckets buckets_;
};

} // namespace fescueridge
