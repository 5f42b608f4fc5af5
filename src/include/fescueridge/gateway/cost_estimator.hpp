#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"

namespace fescueridge::gateway
{

/// Class of a request's body by its size: 0 without a body, then one for each factor of
/// four. Requests of a route with larger bodies often take longer.
using size_class = strong_type<std::uint8_t, struct size_class_tag>;

/// Returns the class of a body of this size in bytes.
size_class size_class_of(std::size_t body_bytes);

/// Estimates how long requests hold a slot at one backend server, from those that it has
/// completed: by route and body size, and where these are not known by the route or by
/// all requests. Memory is bounded by the number of routes.
class cost_estimator
{
public:
    /// Records a completed request that has held its slot for `ms`.
    void record(const route_name& route, size_class size, double ms, time_point now);

    /// Returns the expected time in milliseconds; 0 when nothing was measured.
    double expected_ms(const route_name& route, size_class size) const;

    /// Returns the time that a request is still likely to need after it has held its slot
    /// for `elapsed_ms`. A request that has taken longer than usual is one of the long
    /// ones, so it is expected to need a part of the usual time again.
    double remaining_ms(const route_name& route, size_class size,
                        double elapsed_ms) const;

    /// Mean over the requests of all routes; 0 when nothing was measured.
    double mean_ms() const noexcept { return mean_ms_; }

    /// Mean over the requests of a route; 0 when nothing was measured.
    double mean_ms(const route_name& route) const;

    /// Returns the means of the routes of which a request was completed of late. Those of
    /// other routes may be of a time when the server was slower.
    std::unordered_map<route_name, double> recent_means(time_point now) const;

private:
    struct route_cost
    {
        double mean_ms = 0;
        time_point last_at{};
        std::map<size_class, double> by_size;
    };

    std::unordered_map<route_name, route_cost> routes_;
    double mean_ms_ = 0;
};

} // namespace fescueridge::gateway
