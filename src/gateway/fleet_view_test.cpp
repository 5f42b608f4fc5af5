#include <criterion/criterion.h>

#include "fleet_view.hpp"

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

const time_point now{milliseconds{100'000}};

node_report_message report_of(const std::string& service,
                              std::vector<route_arrivals> arrivals)
{
    node_report_message report;
    report.server = server_record{};
    report.server->service = service_name(service);
    report.server->state = server_state::ready;
    report.accepting = true;
    report.limit = 10;
    report.arrivals = std::move(arrivals);
    return report;
}

route_table table_with(const std::vector<std::string>& routes)
{
    routing_config config;
    for (const auto& name : routes)
    {
        route added;
        added.name = route_name(name);
        added.targets = {{service_name("prices"), 1}};
        config.routes.push_back(added);
    }
    return route_table(config);
}

} // namespace

// Routes called by servers must not be counted as client demand: their load is already
// part of the costs of the calling routes.
Test(fleet_view, counts_demand_of_clients_only)
{
    const auto table = table_with({"browse", "rates"});
    fleet_view fleet(table, now);
    fleet.add(
        report_of("menu", {{route_name("browse"), 20, 0}, {route_name("rates"), 80, 0}}),
        now);
    fleet.add(report_of("prices", {{route_name("browse"), 25, 0}}), now);
    const auto demands = fleet.demands({route_name("rates")}, fleet.edges());
    cr_assert_eq(demands.size(), 1U);
    cr_expect_eq(demands[0].arrivals_per_s, 45);
}

// The last report of a lost node must expire, or its demand and capacity would be counted
// indefinitely.
Test(fleet_view, ignores_expired_reports)
{
    const auto table = table_with({"browse"});
    fleet_view fleet(table, now);
    fleet.add(report_of("menu", {{route_name("browse"), 20, 0}}),
              now - milliseconds{5'000});
    cr_expect(fleet.demands({}, fleet.edges()).empty());
    std::map<service_name, capacity_correction> corrections;
    cr_expect(fleet.capacity(corrections).empty());
}

// When a failure domain is cut off from all servers of a deep service, the requests that
// call it must be refused at the entry, not fail after they have run for a while.
Test(fleet_view, refuses_requests_whose_calls_lack_a_server)
{
    auto config = table_with({"browse", "rates", "lookup"}).config();
    config.routes[0].targets = {{service_name("menu"), 1}};
    const route_table table(config);
    const std::vector<call_edge> calls{{route_name("browse"), route_name("rates"), 4}};
    fleet_view fleet(table, now);
    fleet.set_known_services({service_name("menu"), service_name("prices")});
    fleet.add(
        report_of("menu", {{route_name("browse"), 20, 0}, {route_name("lookup"), 5, 0}}),
        now);
    std::map<service_name, capacity_correction> corrections;
    const auto shares = admitted_shares(fleet.demands({route_name("rates")}, calls),
                                        fleet.capacity(corrections));
    cr_expect_eq(
        shares.at({route_name("browse"), request_rank(routing_priority(0)), false}), 0);
    cr_expect_eq(
        shares.at({route_name("lookup"), request_rank(routing_priority(0)), false}), 1);
}

// A process that has just started has not heard of all servers yet; it must not refuse
// what other nodes can place.
Test(fleet_view, admits_calls_to_services_not_heard_of_yet)
{
    auto config = table_with({"browse", "rates"}).config();
    config.routes[0].targets = {{service_name("menu"), 1}};
    const route_table table(config);
    const std::vector<call_edge> calls{{route_name("browse"), route_name("rates"), 4}};
    fleet_view fleet(table, now);
    fleet.add(report_of("menu", {{route_name("browse"), 20, 0}}), now);
    const auto demands = fleet.demands({route_name("rates")}, calls);
    cr_assert_eq(demands.size(), 1U);
    cr_expect_not(demands[0].lacks_server);
}
