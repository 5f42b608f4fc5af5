#include "fescueridge/routing/detail/latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace fescueridge::detail
{

namespace
{

constexpr double bucket_ratio = 1.1;

std::int64_t epoch_of(time_point now, milliseconds length)
{
    return now.time_since_epoch() / length;
}

} // namespace

void latency_histogram::add(std::chrono::microseconds latency, time_point now)
{
    const std::int64_t epoch = epoch_of(now, generation_length);
    auto& current = generations_[static_cast<std::size_t>(epoch) % 2];
    if (current.epoch != epoch)
    {
        current = generation{};
        current.epoch = epoch;
    }
    const double us = std::max(1.0, static_cast<double>(latency.count()));
    const auto bucket = static_cast<std::size_t>(std::log(us) / std::log(bucket_ratio));
    ++current.counts[std::min(bucket, bucket_count - 1)];
    ++current.total;
}

std::optional<std::chrono::microseconds>
latency_histogram::quantile(double probability, std::uint64_t min_samples,
                            time_point now) const
{
    const std::int64_t epoch = epoch_of(now, generation_length);
    std::array<std::uint64_t, bucket_count> counts{};
    std::uint64_t total = 0;
    for (const auto& recent : generations_)
    {
        if (recent.epoch != epoch && recent.epoch != epoch - 1)
        {
            continue;
        }
        total += recent.total;
        for (std::size_t i = 0; i < bucket_count; ++i)
        {
            counts[i] += recent.counts[i];
        }
    }
    if (total < min_samples || total == 0)
    {
        return std::nullopt;
    }
    const double target_count = probability * static_cast<double>(total);
    std::uint64_t cumulative = 0;
    std::size_t bucket = 0;
    while (bucket + 1 < bucket_count &&
           static_cast<double>(cumulative + counts[bucket]) < target_count)
    {
        cumulative += counts[bucket];
        ++bucket;
    }
    const double upper_us = std::pow(bucket_ratio, static_cast<double>(bucket + 1));
    return std::chrono::microseconds{static_cast<std::int64_t>(std::ceil(upper_us))};
}

} // namespace fescueridge::detail
