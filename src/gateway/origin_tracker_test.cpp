#include <criterion/criterion.h>

#include "fescueridge/gateway/origin_tracker.hpp"

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

const route_name browse("browse");
const route_name rates("rates");

node_report_message report_of(const std::string& service,
                              std::vector<route_arrivals> arrivals)
{
    node_report_message report;
    report.server = server_record{};
    report.server->service = service_name(service);
    report.arrivals = std::move(arrivals);
    return report;
}

void update(origin_tracker& tracker, double seconds, double browse_per_s,
            double rates_per_s)
{
    tracker.begin_update(seconds);
    tracker.add_report(
        report_of("menu", {{browse, browse_per_s, 0}, {rates, rates_per_s, 0}}));
    tracker.add_report(report_of("prices", {{browse, browse_per_s, 0}}));
    tracker.end_update();
}

} // namespace

// Server calls arrive from the same address as client requests. Misclassified as new
// requests, they would be rejected under overload.
Test(origin_tracker, detects_server_called_routes_by_origin)
{
    origin_tracker tracker;
    update(tracker, 1, 20, 80);
    cr_expect_eq(tracker.called_routes().size(), 1U);
    cr_expect_eq(tracker.called_routes().count(rates), 1U);
}

// The first few requests of a client route may all arrive at nodes of one service. The
// route must not be classified as called by servers before enough requests were seen.
Test(origin_tracker, waits_for_enough_requests)
{
    origin_tracker tracker;
    update(tracker, 0.1, 0, 50);
    cr_expect(tracker.called_routes().empty());
    for (int i = 0; i < 10; ++i)
        update(tracker, 0.1, 0, 50);
    cr_expect_eq(tracker.called_routes().count(rates), 1U);
}

// A route keeps its classification while it receives no requests.
Test(origin_tracker, keeps_the_classification_without_requests)
{
    origin_tracker tracker;
    update(tracker, 1, 20, 80);
    for (int i = 0; i < 60; ++i)
        update(tracker, 1, 20, 0);
    cr_expect_eq(tracker.called_routes().count(rates), 1U);
}

// With nodes of only one service there is nothing to compare, so no route may be
// classified as called by servers.
Test(origin_tracker, classifies_nothing_with_one_service)
{
    origin_tracker tracker;
    tracker.begin_update(10);
    tracker.add_report(report_of("menu", {{browse, 100, 0}}));
    tracker.end_update();
    cr_expect(tracker.called_routes().empty());
}
