#include "fescueridge/gateway/call_graph.hpp"

#include <algorithm>
#include <set>

namespace fescueridge::gateway
{
namespace
{

/// Calls per run assumed for a route without attributed calls, so that every running
/// route remains a candidate.
constexpr double min_calls_per_run = 0.005;

/// A call whose timeout is shorter than the longest one seen by more than this was
/// shortened by the deadline of its parent.
constexpr milliseconds shortened_margin{4};

/// Maximum difference between the deadlines of such a call and of its parent.
constexpr milliseconds deadline_tolerance{2};

/// Offset of the control window: runs that end so long after a call match its deadline
/// only by chance, so they show how many other matches are due to chance.
constexpr milliseconds control_offset{10};

/// Number of shortened calls to a route, and the fraction of them without a matching run,
/// from which its callers are taken to vary their timeouts by themselves.
constexpr double min_shortened_calls = 20;
constexpr double max_unmatched_fraction = 0.2;

/// Minimum number of completed runs for the call rates of a route to be reported.
constexpr double min_reported_runs = 10;

/// Weight of the initial estimates from another process, in runs.
constexpr double initial_estimate_runs = 30;

/// Factor applied to the counts every second: a time constant of about 20 s.
constexpr double decay_factor_per_s = 0.95;

/// Call rates below this are treated as noise and not reported.
constexpr double min_reported_calls_per_run = 0.01;

/// Returns whether the run ends at this time after the call.
bool ends_at(const possible_parent& run, milliseconds offset)
{
    return run.deadline_offset >= offset - deadline_tolerance &&
           run.deadline_offset <= offset + deadline_tolerance;
}

/// Returns the priority with the largest probability; of equals, the most important one.
std::optional<priority> most_likely_priority(const std::map<priority, double>& by_rank)
{
    const auto most_likely = std::max_element(by_rank.begin(), by_rank.end(),
                                              [](const auto& a, const auto& b)
                                              { return a.second < b.second; });
    return most_likely == by_rank.end() ? std::nullopt
                                        : std::optional(most_likely->first);
}

class cost_calculator
{
public:
    cost_calculator(const std::map<route_name, route_cost_input>& routes,
                    const std::vector<call_edge>& calls)
        : routes_(routes)
    {
        for (const call_edge& edge : calls)
            callees_[edge.from].push_back(&edge);
    }

    const service_costs& costs(const route_name& route)
    {
        const auto known = computed_.find(route);
        if (known != computed_.end())
            return known->second;
        service_costs sum;
        const auto input = routes_.find(route);
        if (input == routes_.end() || !current_path_.insert(route).second)
            return no_costs_;
        for (const auto& [service, share] : input->second.targets)
            sum[service] += share * input->second.slot_ms;
        for (const call_edge* edge : callees_[route])
            for (const auto& [service, ms] : costs(edge->to))
                sum[service] += edge->calls_per_run * ms;
        current_path_.erase(route);
        return computed_.emplace(route, std::move(sum)).first->second;
    }

private:
    const std::map<route_name, route_cost_input>& routes_;
    std::map<route_name, std::vector<const call_edge*>> callees_;
    std::map<route_name, service_costs> computed_;
    std::set<route_name> current_path_; ///< To detect cycles.
    const service_costs no_costs_;
};

} // namespace

void call_graph_estimator::set_initial_edges(const std::vector<call_edge>& edges)
{
    for (const call_edge& edge : edges)
    {
        runs_[edge.from] = initial_estimate_runs;
        calls_[edge.from][edge.to] = initial_estimate_runs * edge.calls_per_run;
        attributed_calls_[edge.from][edge.to] =
            initial_estimate_runs * edge.calls_per_run;
    }
}

void call_graph_estimator::on_run_started(run_number number, const route_name& route)
{
    open_[number].route = route;
}

void call_graph_estimator::on_run_ended(run_number number, bool completed)
{
    const auto found = open_.find(number);
    if (found == open_.end())
        return;
    const open_run ended = std::move(found->second);
    open_.erase(found);
    if (!completed)
        return;
    ++runs_[ended.route];
    for (const auto& [callee, made] : ended.calls)
    {
        calls_[ended.route][callee] += made.expected;
        attributed_calls_[ended.route][callee] += made.evidence;
    }
}

double call_graph_estimator::attributed_rate(const route_name& from,
                                             const route_name& to) const
{
    const auto runs = runs_.find(from);
    const auto calls = attributed_calls_.find(from);
    if (runs == runs_.end() || calls == attributed_calls_.end())
        return 0;
    const auto count = calls->second.find(to);
    return count == calls->second.end() ? 0 : std::max(0.0, count->second / runs->second);
}

std::optional<priority>
call_graph_estimator::on_call(const route_name& callee, milliseconds time_left,
                              const std::vector<possible_parent>& running)
{
    auto& timeouts = timeouts_[callee];
    timeouts.longest = std::max(timeouts.longest, time_left);
    const bool shortened = time_left + shortened_margin < timeouts.longest;
    std::vector<possible_parent> later;
    std::vector<possible_parent> matching;
    std::vector<possible_parent> control;
    for (const auto& run : running)
    {
        if (run.deadline_offset >= -deadline_tolerance)
            later.push_back(run);
        if (ends_at(run, milliseconds{0}))
            matching.push_back(run);
        if (ends_at(run, control_offset))
            control.push_back(run);
    }
    if (!shortened)
        return distribute(callee, later);
    timeouts.shortened += 1;
    timeouts.unmatched += matching.empty() ? 1 : 0;
    add_evidence(callee, matching, 1);
    add_evidence(callee, control, -1);
    if (matching.empty())
        return distribute(callee, later);
    if (!timeouts.vary())
        return distribute(callee, matching);
    distribute(callee, later);
    return most_likely_priority(weights_by_rank(callee, matching));
}

bool call_graph_estimator::callee_timeouts::vary() const
{
    return shortened >= min_shortened_calls &&
           unmatched > max_unmatched_fraction * shortened;
}

double call_graph_estimator::weight_of(const possible_parent& run,
                                       const route_name& callee) const
{
    return std::max(min_calls_per_run, attributed_rate(run.route, callee));
}

std::map<priority, double>
call_graph_estimator::weights_by_rank(const route_name& callee,
                                      const std::vector<possible_parent>& runs) const
{
    std::map<priority, double> by_rank;
    for (const auto& run : runs)
        by_rank[run.rank] += weight_of(run, callee);
    return by_rank;
}

std::optional<priority>
call_graph_estimator::distribute(const route_name& callee,
                                 const std::vector<possible_parent>& candidates)
{
    double total = 0;
    for (const auto& run : candidates)
        total += weight_of(run, callee);
    for (const auto& run : candidates)
        if (const auto found = open_.find(run.number); found != open_.end())
            found->second.calls[callee].expected += weight_of(run, callee) / total;
    return most_likely_priority(weights_by_rank(callee, candidates));
}

void call_graph_estimator::add_evidence(const route_name& callee,
                                        const std::vector<possible_parent>& runs,
                                        double sign)
{
    const auto share = sign / static_cast<double>(std::max<std::size_t>(1, runs.size()));
    for (const auto& run : runs)
        if (const auto found = open_.find(run.number); found != open_.end())
            found->second.calls[callee].evidence += share;
}

void call_graph_estimator::decay()
{
    for (auto& [callee, timeouts] : timeouts_)
    {
        timeouts.shortened *= decay_factor_per_s;
        timeouts.unmatched *= decay_factor_per_s;
    }
    for (auto& [route, count] : runs_)
        count *= decay_factor_per_s;
    for (auto* counts : {&calls_, &attributed_calls_})
        for (auto& [route, callees] : *counts)
            for (auto& [callee, count] : callees)
                count *= decay_factor_per_s;
}

std::vector<call_edge> call_graph_estimator::edges() const
{
    std::vector<call_edge> result;
    for (const auto& [route, callees] : calls_)
    {
        const auto runs = runs_.find(route);
        if (runs == runs_.end() || runs->second < min_reported_runs)
            continue;
        for (const auto& [callee, count] : callees)
            if (count / runs->second >= min_reported_calls_per_run)
                result.push_back({route, callee, count / runs->second});
    }
    return result;
}

std::map<route_name, service_costs>
service_costs_of(const std::map<route_name, route_cost_input>& routes,
                 const std::vector<call_edge>& calls)
{
    cost_calculator calculator(routes, calls);
    std::map<route_name, service_costs> result;
    for (const auto& [route, input] : routes)
        result.emplace(route, calculator.costs(route));
    return result;
}

} // namespace fescueridge::gateway
