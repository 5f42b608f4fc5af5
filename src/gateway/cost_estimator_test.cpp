#include "fescueridge/gateway/cost_estimator.hpp"

#include <criterion/criterion.h>

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

const route_name browse("browse");
const route_name upload("upload");
const time_point start{milliseconds{100'000}};
const size_class no_body = size_class_of(0);

} // namespace

// The mean over all requests says little where short calls and long requests share a
// server: each must be placed by its own likely cost.
Test(cost_estimator, tells_routes_and_sizes_apart)
{
    cost_estimator costs;
    cr_expect_eq(costs.expected_ms(browse, no_body), 0);
    const auto large = size_class_of(100'000);
    for (int i = 0; i < 200; ++i)
    {
        costs.record(browse, no_body, 20, start);
        costs.record(upload, size_class_of(500), 40, start);
        costs.record(upload, large, 400, start);
    }
    cr_expect_float_eq(costs.expected_ms(browse, no_body), 20, 1);
    cr_expect_float_eq(costs.expected_ms(upload, size_class_of(900)), 40, 1);
    cr_expect_float_eq(costs.expected_ms(upload, large), 400, 1);
    const double of_route = costs.expected_ms(upload, size_class_of(10'000));
    cr_expect(of_route > 100 && of_route < 400, "a size not seen counts as the route");
    const double of_all = costs.expected_ms(route_name("new"), no_body);
    cr_expect(of_all > 20 && of_all < 400, "a route not seen counts as all");
}

// A prediction that is wrong by ten must be corrected by what is seen, within some tens
// of requests.
Test(cost_estimator, recovers_from_a_wrong_estimate)
{
    cost_estimator costs;
    for (int i = 0; i < 100; ++i)
        costs.record(browse, no_body, 300, start);
    for (int i = 0; i < 60; ++i)
        costs.record(browse, no_body, 30, start);
    cr_expect_lt(costs.expected_ms(browse, no_body), 60);
}

// A request that has run for longer than usual is a long one and must not count as about
// to end.
Test(cost_estimator, expects_overdue_requests_to_go_on)
{
    cost_estimator costs;
    costs.record(browse, no_body, 100, start);
    cr_expect_eq(costs.remaining_ms(browse, no_body, 0), 100);
    cr_expect_eq(costs.remaining_ms(browse, no_body, 60), 40);
    cr_expect_eq(costs.remaining_ms(browse, no_body, 500), 25);
}

// A mean of a time when the server was slow must not keep requests away for good.
Test(cost_estimator, does_not_report_old_means)
{
    cost_estimator costs;
    costs.record(browse, no_body, 900, start);
    costs.record(upload, no_body, 50, start + milliseconds{5'500});
    const auto means = costs.recent_means(start + milliseconds{6'000});
    cr_expect_eq(means.size(), 1U);
    cr_expect_eq(means.count(upload), 1U);
}
