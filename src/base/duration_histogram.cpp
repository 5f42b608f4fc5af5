#include "fescueridge/base/duration_histogram.hpp"

#include <array>
#include <boost/histogram.hpp>

namespace fescueridge
{
namespace
{

namespace hist = boost::histogram;

constexpr std::array<std::int64_t, 15> bounds_ms{
    5, 10, 25, 50, 100, 200, 300, 500, 750, 1'000, 1'500, 2'000, 3'000, 5'000, 10'000};

/// A bin holds the values from its lower edge up to the one below its upper edge. Shifted
/// by half a millisecond, a bound belongs to the bin that it ends.
std::vector<double> bin_edges()
{
    constexpr double shift = 0.5;
    std::vector<double> edges{-shift};
    for (const auto bound : bounds_ms)
        edges.push_back(static_cast<double>(bound) + shift);
    return edges;
}

using counts = decltype(hist::make_histogram(hist::axis::variable<>(bin_edges())));

} // namespace

struct duration_histogram::impl
{
    counts bins = hist::make_histogram(hist::axis::variable<>(bin_edges()));
    std::uint64_t samples = 0;
    milliseconds total{0};
};

duration_histogram::duration_histogram() : impl_(std::make_unique<impl>()) {}
duration_histogram::~duration_histogram() = default;
duration_histogram::duration_histogram(duration_histogram&&) noexcept = default;
duration_histogram&
duration_histogram::operator=(duration_histogram&&) noexcept = default;

void duration_histogram::add(milliseconds duration)
{
    impl_->bins(static_cast<double>(duration.count()));
    ++impl_->samples;
    impl_->total += duration;
}

std::vector<histogram_bucket> duration_histogram::buckets() const
{
    std::vector<histogram_bucket> result;
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < bounds_ms.size(); ++i)
    {
        below += static_cast<std::uint64_t>(impl_->bins.at(static_cast<int>(i)));
        result.push_back({milliseconds(bounds_ms[i]), below});
    }
    return result;
}

std::uint64_t duration_histogram::count() const
{
    return impl_->samples;
}

milliseconds duration_histogram::sum() const
{
    return impl_->total;
}

} // namespace fescueridge
