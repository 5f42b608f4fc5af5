#include "fescueridge/gateway/call_graph.hpp"

#include <algorithm>

namespace fescueridge::gateway
{
namespace
{

/// Rate that is assumed for a call that was never seen, so that every running route stays
/// a candidate.
constexpr double least_rate = 0.02;

/// Runs after which the rates of a route are told to others.
constexpr double least_runs = 10;

/// What is left of the counts after a second: a memory of about 20 s.
constexpr double fade_factor = 0.95;

/// Rates below this are noise.
constexpr double least_told_rate = 0.01;

class cost_walk
{
public:
    cost_walk(const std::map<route_name, route_cost_input>& routes,
              const std::vector<call_edge>& calls)
        : routes_(routes)
    {
        for (const call_edge& edge : calls)
            callees_[edge.from].push_back(&edge);
    }

    const service_costs& costs(const route_name& route, unsigned depth)
    {
        const auto known = done_.find(route);
        if (known != done_.end())
            return known->second;
        service_costs sum;
        const auto input = routes_.find(route);
        if (input == routes_.end() || depth >= max_call_depth)
            return nothing_;
        for (const auto& [service, share] : input->second.targets)
            sum[service] += share * input->second.slot_ms;
        for (const call_edge* edge : callees_[route])
            for (const auto& [service, ms] : costs(edge->to, depth + 1))
                sum[service] += edge->calls_per_run * ms;
        return done_.emplace(route, std::move(sum)).first->second;
    }

private:
    const std::map<route_name, route_cost_input>& routes_;
    std::map<route_name, std::vector<const call_edge*>> callees_;
    std::map<route_name, service_costs> done_;
    const service_costs nothing_;
};

} // namespace

void call_graph_learner::on_run_started(const route_name& route)
{
    ++running_[route];
    ++runs_[route];
}

void call_graph_learner::on_run_ended(const route_name& route)
{
    const auto found = running_.find(route);
    if (found == running_.end())
        return;
    if (--found->second == 0)
        running_.erase(found);
}

double call_graph_learner::rate(const route_name& from, const route_name& to) const
{
    const auto runs = runs_.find(from);
    const auto calls = calls_.find(from);
    if (runs == runs_.end() || calls == calls_.end())
        return 0;
    const auto count = calls->second.find(to);
    return count == calls->second.end() ? 0 : count->second / runs->second;
}

void call_graph_learner::on_call(const route_name& callee)
{
    std::vector<std::pair<const route_name*, double>> parts;
    double total = 0;
    for (const auto& [route, count] : running_)
    {
        const double part = count * std::max(least_rate, rate(route, callee));
        parts.emplace_back(&route, part);
        total += part;
    }
    for (const auto& [route, part] : parts)
        calls_[*route][callee] += part / total;
}

void call_graph_learner::fade()
{
    for (auto& [route, count] : runs_)
        count *= fade_factor;
    for (auto& [route, callees] : calls_)
        for (auto& [callee, count] : callees)
            count *= fade_factor;
}

std::vector<call_edge> call_graph_learner::edges() const
{
    std::vector<call_edge> result;
    for (const auto& [route, callees] : calls_)
    {
        const auto runs = runs_.find(route);
        if (runs == runs_.end() || runs->second < least_runs)
            continue;
        for (const auto& [callee, count] : callees)
            if (count / runs->second >= least_told_rate)
                result.push_back({route, callee, count / runs->second});
    }
    return result;
}

std::map<route_name, service_costs>
service_costs_of(const std::map<route_name, route_cost_input>& routes,
                 const std::vector<call_edge>& calls)
{
    cost_walk walk(routes, calls);
    std::map<route_name, service_costs> result;
    for (const auto& [route, input] : routes)
        result.emplace(route, walk.costs(route, 0));
    return result;
}

} // namespace fescueridge::gateway
