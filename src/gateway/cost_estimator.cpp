#include "fescueridge/gateway/cost_estimator.hpp"

#include <algorithm>

namespace fescueridge::gateway
{
namespace
{

/// Weight of a new sample in the moving averages: covers about the last 20 requests.
constexpr double sample_weight = 0.05;

/// Part of the expected time that a request needs again when it has taken longer.
constexpr double overdue_part = 0.25;

/// Time without a completed request after which the mean of a route is not reported.
constexpr milliseconds max_sample_age{5'000};

constexpr std::size_t smallest_size_step = 1'024;
constexpr std::uint8_t largest_size_class = 9;

void add_sample(double& mean_ms, double ms)
{
    mean_ms = mean_ms > 0 ? mean_ms + sample_weight * (ms - mean_ms) : ms;
}

} // namespace

size_class size_class_of(std::size_t body_bytes)
{
    if (body_bytes == 0)
        return size_class(0);
    std::uint8_t number = 1;
    for (std::size_t step = smallest_size_step;
         body_bytes > step && number < largest_size_class; step *= 4)
        ++number;
    return size_class(number);
}

void cost_estimator::record(const route_name& route, size_class size, double ms,
                            time_point now)
{
    route_cost& cost = routes_[route];
    cost.last_at = now;
    add_sample(cost.mean_ms, ms);
    add_sample(cost.by_size[size], ms);
    add_sample(mean_ms_, ms);
}

double cost_estimator::expected_ms(const route_name& route, size_class size) const
{
    const auto known = routes_.find(route);
    if (known == routes_.end())
        return mean_ms_;
    const auto sized = known->second.by_size.find(size);
    return sized == known->second.by_size.end() ? known->second.mean_ms : sized->second;
}

double cost_estimator::remaining_ms(const route_name& route, size_class size,
                                    double elapsed_ms) const
{
    const double expected = expected_ms(route, size);
    return std::max(expected - elapsed_ms, overdue_part * expected);
}

double cost_estimator::mean_ms(const route_name& route) const
{
    const auto known = routes_.find(route);
    return known == routes_.end() ? 0 : known->second.mean_ms;
}

std::unordered_map<route_name, double> cost_estimator::recent_means(time_point now) const
{
    std::unordered_map<route_name, double> means;
    for (const auto& [route, cost] : routes_)
        if (now - cost.last_at <= max_sample_age)
            means.emplace(route, cost.mean_ms);
    return means;
}

} // namespace fescueridge::gateway
