#include "done_keys_codec.hpp"

#include <limits>
#include <string>

namespace fescueridge::detail
{

namespace
{

constexpr std::size_t hash_bytes = 8;

// Largest hour whose end, in ms, fits in 64 bits.
constexpr std::int64_t max_hour = std::numeric_limits<std::int64_t>::max() / 3'600'000;

json to_json(const done_keys::hashes& bucket)
{
    std::vector<std::uint8_t> bytes;
    bytes.reserve(bucket.size() * hash_bytes);
    for (const std::uint64_t hash : bucket)
    {
        for (std::size_t i = 0; i < hash_bytes; ++i)
        {
            bytes.push_back(static_cast<std::uint8_t>(hash >> (8 * i)));
        }
    }
    return json::binary(std::move(bytes));
}

std::uint64_t hash_at(const std::string& bytes, std::size_t position)
{
    std::uint64_t hash = 0;
    for (std::size_t i = 0; i < hash_bytes; ++i)
    {
        hash |= std::uint64_t{static_cast<std::uint8_t>(bytes[position + i])} << (8 * i);
    }
    return hash;
}

done_keys::hashes read_bucket(const std::string& bytes)
{
    if (bytes.empty() || bytes.size() % hash_bytes != 0)
    {
        throw codec_error(
            "size of a bucket of done keys is not a positive multiple of 8 bytes: " +
            std::to_string(bytes.size()) + " bytes");
    }
    done_keys::hashes bucket;
    bucket.reserve(bytes.size() / hash_bytes);
    for (std::size_t position = 0; position < bytes.size(); position += hash_bytes)
    {
        const std::uint64_t hash = hash_at(bytes, position);
        if (!bucket.empty() && hash <= bucket.back())
        {
            throw codec_error("hashes of done keys are not in ascending order");
        }
        bucket.push_back(hash);
    }
    return bucket;
}

} // namespace

json done_keys_to_json(const done_keys::buckets& buckets)
{
    json out = json::array();
    for (const auto& [hour, bucket] : buckets)
    {
        out.push_back(hour);
        out.push_back(to_json(bucket));
    }
    return out;
}

done_keys::buckets read_done_keys(cbor_array_reader in)
{
    done_keys::buckets buckets;
    while (!in.at_end())
    {
        const std::int64_t hour = in.read_signed();
        const bool ascending = buckets.empty() || hour > buckets.rbegin()->first;
        if (!ascending || hour < 0 || hour > max_hour)
        {
            throw codec_error("hour of done keys is not ascending or out of range: " +
                              std::to_string(hour));
        }
        buckets.emplace_hint(buckets.end(), hour, read_bucket(in.read_bytes()));
    }
    return buckets;
}

} // namespace fescueridge::detail
