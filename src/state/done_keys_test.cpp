#include <criterion/criterion.h>
#include <map>

#include "fescueridge/base/random.hpp"
#include "fescueridge/state/done_keys.hpp"
#include "test_seed.hpp"

using namespace fescueridge;

namespace
{

constexpr std::int64_t hour_ms = 3'600'000;

/// Returns the end, in ms, of the hour in which a key expires; the key is dropped then.
std::int64_t end_of_hour(std::int64_t expires_ms)
{
    return (expires_ms + hour_ms - 1) / hour_ms * hour_ms;
}

} // namespace

// Lookups must find exactly the keys that were added and not yet dropped. Random keys,
// some of them repeated, are compared with a std::map while time advances.
Test(done_keys, match_reference_map)
{
    const std::uint64_t seed = test::test_seed();
    random_engine random(seed);
    done_keys keys;
    std::map<std::uint64_t, std::int64_t> reference;
    for (std::int64_t wall_ms = 0; wall_ms < 60 * hour_ms; wall_ms += hour_ms / 50)
    {
        keys.expire(wall_ms);
        // Half of the keys are close together, since a search must not rely on evenly
        // distributed hashes.
        const std::uint64_t draw = random() % 4'000;
        const std::uint64_t key = draw % 2 == 0 ? draw : draw * 0x1000000000001ULL;
        const auto known = reference.find(key);
        const bool is_known = known != reference.end() && known->second > wall_ms;
        cr_assert_eq(keys.contains(key_hash(key)), is_known, "seed %llu",
                     static_cast<unsigned long long>(seed));
        if (!is_known)
        {
            const auto expires_ms =
                wall_ms + 1 + static_cast<std::int64_t>(random() % (20 * hour_ms));
            keys.insert(key_hash(key), expires_ms);
            keys.insert(key_hash(key), expires_ms);
            reference[key] = end_of_hour(expires_ms);
        }
    }
}

// A key must not be dropped before it expires, and a bucket must be freed when all its
// keys have expired.
Test(done_keys, bucket_expires_as_a_whole)
{
    done_keys keys;
    keys.insert(key_hash(1), 2 * hour_ms + 1);
    keys.insert(key_hash(2), 3 * hour_ms);
    keys.insert(key_hash(3), 3 * hour_ms + 1);
    keys.insert(key_hash(2), 3 * hour_ms);
    cr_assert_eq(keys.size(), 3, "a repeated key is stored once");
    keys.expire(3 * hour_ms - 1);
    cr_assert_eq(keys.size(), 3);
    keys.expire(3 * hour_ms);
    cr_assert(!keys.contains(key_hash(1)) && !keys.contains(key_hash(2)));
    cr_assert(keys.contains(key_hash(3)));
    cr_assert_eq(keys.by_hour().size(), 1);
}

// Merging a checkpoint must not add keys twice or out of order, since a binary search
// would miss them.
Test(done_keys, merge_keeps_both_sides)
{
    done_keys keys;
    keys.insert(key_hash(5), hour_ms);
    keys.insert(key_hash(9), hour_ms);
    keys.merge({{1, {1, 5, 7}}, {2, {3}}});
    const done_keys::buckets wanted{{1, {1, 5, 7, 9}}, {2, {3}}};
    cr_assert(keys.by_hour() == wanted);
    keys.merge(wanted);
    cr_assert(keys.by_hour() == wanted);
}
