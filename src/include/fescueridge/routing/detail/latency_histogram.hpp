#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

#include "fescueridge/base/clock.hpp"

namespace fescueridge::detail
{

/// Quantiles of the latencies of the last 5 to 10 s, within 10%. Not thread safe.
class latency_histogram
{
public:
    /// Records a latency.
    void add(std::chrono::microseconds latency, time_point now);

    /// Returns the quantile (0 to 1); nothing while fewer than `least` latencies are
    /// known.
    std::optional<std::chrono::microseconds> quantile(double part, std::uint64_t least,
                                                      time_point now) const;

private:
    static constexpr std::size_t bucket_count = 200; // 1.1^200 us is over 3 minutes
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
