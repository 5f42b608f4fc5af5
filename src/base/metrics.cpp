#include "fescueridge/base/metrics.hpp"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <mutex>

namespace fescueridge
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 3> probabilities{0.5, 0.95, 0.99};

using distribution =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean,
                                            acc::tag::max, acc::tag::extended_p_square>>;

distribution make_distribution()
{
    return distribution(acc::extended_p_square_probabilities = probabilities);
}

duration_summary to_summary(const distribution& values)
{
    duration_summary result;
    result.count = acc::count(values);
    if (result.count == 0)
    {
        return result;
    }
    result.mean = acc::mean(values);
    result.max = acc::max(values);
    const auto quantiles = acc::extended_p_square(values);
    result.p50 = quantiles[0];
    result.p95 = quantiles[1];
    result.p99 = quantiles[2];
    return result;
}

} // namespace

struct duration_metric::impl
{
    struct window
    {
        std::int64_t number = -1; // time since the clock's epoch, in windows
        distribution values = make_distribution();
    };

    static std::int64_t number_at(time_point now)
    {
        return now.time_since_epoch() / metric_window;
    }

    // Windows alternate, so the one before is kept while the present one is filled.
    window& window_at(std::int64_t number)
    {
        window& chosen = windows[static_cast<std::size_t>(number % 2)];
        if (chosen.number != number)
        {
            chosen.number = number;
            chosen.values = make_distribution();
        }
        return chosen;
    }

    std::mutex mutex;
    std::array<window, 2> windows;
};

duration_metric::duration_metric() : impl_(std::make_unique<impl>()) {}
duration_metric::~duration_metric() = default;

void duration_metric::add(std::chrono::microseconds duration, time_point now)
{
    const std::chrono::duration<double, std::milli> value = duration;
    const std::lock_guard lock(impl_->mutex);
    impl_->window_at(impl::number_at(now)).values(value.count());
}

duration_summary duration_metric::summary(time_point now) const
{
    const std::int64_t present = impl::number_at(now);
    const std::lock_guard lock(impl_->mutex);
    duration_summary result;
    for (const impl::window& kept : impl_->windows)
    {
        const bool before = kept.number == present - 1;
        if (before || (kept.number == present && result.count == 0))
        {
            result = to_summary(kept.values);
        }
    }
    return result;
}

} // namespace fescueridge
