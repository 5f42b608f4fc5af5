#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "fescueridge/base/clock.hpp"

namespace fescueridge
{

/// Samples up to a bound.
struct histogram_bucket
{
    milliseconds bound{0};
    std::uint64_t count = 0; ///< Samples at the bound or below it.
};

/// Counts durations in fixed buckets, from 5 ms to 10 s, for as long as the process runs.
/// Its memory does not grow. Used from one thread.
class duration_histogram
{
public:
    duration_histogram();
    ~duration_histogram();
    duration_histogram(duration_histogram&&) noexcept;
    duration_histogram& operator=(duration_histogram&&) noexcept;

    /// Adds a sample.
    void add(milliseconds duration);

    /// Returns the buckets with counts that add up, in ascending order of their bounds.
    std::vector<histogram_bucket> buckets() const;

    /// Returns the number of samples, those over the last bound included.
    std::uint64_t count() const;

    /// Returns the sum of all samples.
    milliseconds sum() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fescueridge
