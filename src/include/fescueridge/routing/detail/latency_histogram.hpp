#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

#include "fescueridge/base/clock.hpp"

namespace fescueridge::detail
{

/// Latency quantiles over the last 5 to 10 s, accurate to 10%. Not thread safe.
class latency_histogram
{
public:
    void add(std::chrono::microseconds latency, time_point now);

    /// Returns the quantile at `probability` (0 to 1), or nothing with fewer than
    /// `min_samples` samples.
    std::optional<std::chrono::microseconds>
    quantile(double probability, std::uint64_t min_samples, time_point now) const;

private:
    // Buckets grow by a factor of 1.1, and 1.1^200 us is more than 3 minutes.
    static constexpr std::size_t bucket_count = 200;
    static constexpr milliseconds generation_length{5'000};

    struct generation
    {
        std::array<std::uint32_t, bucket_count> counts{};
        std::uint64_t total = 0;
        std::int64_t epoch = -1;
    };

    std::array<generation, 2> generations_;
};

} // namespace fescueridge::detail
