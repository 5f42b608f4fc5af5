#include "fleet_view.hpp"

#include <algorithm>

#include "fescueridge/gateway/freshness.hpp"

namespace fescueridge::gateway
{
namespace
{

/// Expected number of calls of a request without a server to run them from which the
/// request is not worth starting: it succeeds in less than half of the cases.
constexpr double max_calls_without_server = 0.7;

/// Returns the probability that a request needs each service, from its expected calls.
std::map<service_name, double> need_of(const route& configured,
                                       std::map<service_name, double> calls)
{
    for (const auto& target : configured.targets)
        calls[target.service] = 1;
    for (auto& [service, probability] : calls)
        probability = std::min(probability, 1.0);
    return calls;
}

} // namespace

void fleet_view::add(const node_report_message& report, time_point report_time)
{
    if (now_ - report_time > freshness::max_report_age)
        return;
    for (const auto& route : report.arrivals)
    {
        const auto* configured = table_.find(route.route);
        if (!configured)
            continue;
        const auto rank = route.rank.value_or(request_rank(configured->rank));
        auto& classes = arrivals_[route.route];
        classes[{route.route, rank, false}] += route.new_per_s;
        classes[{route.route, rank, true}] += route.returned_per_s;
    }
    // Weighted by throughput, because a faster server runs more of the requests.
    for (const auto& route : report.slot_times)
        if (route.ms > 0)
            slot_ms_[route.route].add(route.ms, report.limit / route.ms);
    std::set<route_name> observed;
    for (const auto& edge : report.calls)
    {
        observed.insert(edge.from);
        calls_[{edge.from, edge.to}] += edge.calls_per_run;
    }
    for (const auto& route : observed)
        ++reporter_counts_[route];
    if (!report.accepting || !report.server)
        return;
    auto& service = services_[report.server->service];
    service.limit += report.limit;
    service.running += report.load.running;
    service.wait_share.add(report.queue_wait_share, report.limit);
    service.rejected_share.add(report.rejected_share, report.limit);
}

std::vector<call_edge> fleet_view::edges() const
{
    std::vector<call_edge> result;
    for (const auto& [ends, sum] : calls_)
        result.push_back(
            {ends.first, ends.second, sum / reporter_counts_.at(ends.first)});
    for (const auto& edge : initial_edges_)
        if (reporter_counts_.count(edge.from) == 0)
            result.push_back(edge);
    return result;
}

std::vector<class_demand> fleet_view::demands(const std::set<route_name>& called,
                                              const std::vector<call_edge>& calls) const
{
    std::map<route_name, route_cost_input> inputs;
    for (const auto& route : table_.config().routes)
        inputs.emplace(route.name, cost_input_of(route));
    const auto costs = service_costs_of(inputs, calls);
    std::vector<class_demand> result;
    for (const auto& route : table_.config().routes)
    {
        if (called.count(route.name) != 0)
            continue;
        const bool unservable = lacks_server(route, calls);
        const auto request_calls = calls_of(route, calls);
        const auto need = need_of(route, request_calls);
        const auto classes = arrivals_.find(route.name);
        if (classes == arrivals_.end())
            continue;
        for (const auto& [request_class, arrivals_per_s] : classes->second)
            if (arrivals_per_s > 0)
                result.push_back({request_class, arrivals_per_s, costs.at(route.name),
                                  need, request_calls, unservable,
                                  route.repeat == repeat_rule::idempotent});
    }
    return result;
}

std::set<service_name> fleet_view::available_services() const
{
    std::set<service_name> result;
    for (const auto& [service, state] : services_)
        result.insert(service);
    return result;
}

bool fleet_view::lacks_server(const service_name& service) const
{
    return known_services_.count(service) != 0 && services_.count(service) == 0;
}

std::map<service_name, double>
fleet_view::calls_of(const route& configured, const std::vector<call_edge>& calls) const
{
    std::map<service_name, double> result;
    for (const auto& [callee, count] : expected_calls(configured.name, calls))
        if (const auto* called = table_.find(callee))
            for (const auto& [service, share] : cost_input_of(*called).targets)
                result[service] += count * share;
    for (const auto& [service, share] : cost_input_of(configured).targets)
        result[service] += share;
    return result;
}

std::map<service_name, double> fleet_view::rejected_shares() const
{
    std::map<service_name, double> result;
    for (const auto& [service, state] : services_)
        if (const double share = state.rejected_share.value(); share > 0)
            result[service] = share;
    return result;
}

// The route's own target is left to the placement: a request is refused there before it
// has cost anything.
bool fleet_view::lacks_server(const route& configured,
                              const std::vector<call_edge>& calls) const
{
    double without_server = 0;
    for (const auto& [callee, count] : expected_calls(configured.name, calls))
    {
        const auto* called = table_.find(callee);
        if (!called)
            continue;
        for (const auto& [service, share] : cost_input_of(*called).targets)
            if (lacks_server(service))
                without_server += count * share;
    }
    return without_server > max_calls_without_server;
}

route_cost_input fleet_view::cost_input_of(const route& configured) const
{
    route_cost_input input;
    double total = 0;
    for (const auto& target : configured.targets)
        total += target.weight;
    for (const auto& target : configured.targets)
        input.targets[target.service] += total > 0 ? target.weight / total : 0;
    const auto slot = slot_ms_.find(configured.name);
    input.slot_ms = slot == slot_ms_.end() ? 0 : slot->second.value();
    return input;
}

service_capacity
fleet_view::capacity(std::map<service_name, capacity_correction>& corrections,
                     double steps) const
{
    constexpr double ms_per_s = 1000;
    service_capacity result;
    for (const auto& [service, state] : services_)
    {
        const double factor = corrections[service].update(
            state.wait_share.value(), state.running / state.limit, steps);
        result[service] = state.limit * ms_per_s * factor;
    }
    return result;
}

} // namespace fescueridge::gateway
