#include "fescueridge/gateway/call_graph.hpp"

#include <algorithm>
#include <cmath>
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

/// Evidence about the callers of a route, in calls, from which their weights are used for
/// the calls counted before, too.
constexpr double min_evidence = 10;

/// Offset of the control window: runs that end so long after a call match its deadline
/// only by chance, so they show how many other matches are due to chance.
constexpr milliseconds control_offset{10};

/// Number of calls to a route with a shorter timeout than the longest, and the fraction
/// of them without a matching run, from which callers are taken to vary their timeouts.
constexpr double min_shorter_calls = 20;
constexpr double max_unmatched_fraction = 0.2;

/// Ratio between the steps by which timeouts are counted, and the number of steps by
/// which callers vary a timeout at most.
constexpr double timeout_step_ratio = 1.25;
constexpr int max_steps_of_variation = 1;

/// Minimum number of completed runs for the call rates of a route to be reported.
constexpr double min_reported_runs = 10;

/// Fraction of failed runs from which the estimates of a route are held.
constexpr double max_failed_fraction = 0.1;

/// Weight of the initial estimates from another process, in runs.
constexpr double initial_estimate_runs = 30;

/// Factor applied to the counts every second: a time constant of about 20 s.
constexpr double decay_factor_per_s = 0.95;

/// Call rates below this are treated as noise and not reported.
constexpr double min_reported_calls_per_run = 0.01;

/// Maximum number of edges that expected_calls() follows. It ends the walk of a cycle,
/// which is an artifact of the estimated call graph.
constexpr std::size_t max_followed_edges = 32;

/// Returns whether the run ends at this time after the call.
bool ends_at(const possible_parent& run, milliseconds offset)
{
    return run.deadline_offset >= offset - deadline_tolerance &&
           run.deadline_offset <= offset + deadline_tolerance;
}

/// Returns the rank with the largest probability; of equals, the most important one.
std::optional<request_rank>
most_likely_rank(const std::map<request_rank, double>& by_rank)
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
    failures_[ended.route].record(!completed);
    if (!completed || is_held(ended.route))
        return;
    ++runs_[ended.route];
    for (const auto& [callee, made] : ended.calls)
    {
        calls_[ended.route][callee] += made.expected;
        attributed_calls_[ended.route][callee] += made.evidence;
        if (made.evidence > 0)
            reweigh_once(callee);
    }
}

// Without estimates, those of the completed runs are better than none.
bool call_graph_estimator::is_held(const route_name& route) const
{
    const auto failures = failures_.find(route);
    const auto runs = runs_.find(route);
    return failures != failures_.end() &&
           failures->second.value() > max_failed_fraction && runs != runs_.end() &&
           runs->second >= min_reported_runs;
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

std::optional<request_rank>
call_graph_estimator::on_call(const route_name& callee, milliseconds time_left,
                              const std::vector<possible_parent>& running)
{
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
    auto& timeouts = timeouts_[callee];
    timeouts.record(time_left, !matching.empty());
    if (!timeouts.is_shortened(time_left))
        return distribute(callee, later);
    add_evidence(callee, matching, 1);
    add_evidence(callee, control, -1);
    return distribute(callee, matching.empty() ? later : matching);
}

int call_graph_estimator::callee_timeouts::step_of(milliseconds timeout)
{
    const auto ms = static_cast<double>(std::max<std::int64_t>(1, timeout.count()));
    return static_cast<int>(std::floor(std::log(ms) / std::log(timeout_step_ratio)));
}

void call_graph_estimator::callee_timeouts::record(milliseconds timeout, bool matches)
{
    longest = std::max(longest, timeout);
    by_step[step_of(timeout)] += 1;
    if (timeout + shortened_margin >= longest)
        return;
    shorter += 1;
    unmatched += matches ? 0 : 1;
}

bool call_graph_estimator::callee_timeouts::vary() const
{
    return shorter >= min_shorter_calls && unmatched > max_unmatched_fraction * shorter;
}

bool call_graph_estimator::callee_timeouts::is_shortened(milliseconds timeout) const
{
    if (!vary())
        return timeout + shortened_margin < longest;
    const auto usual = std::max_element(by_step.begin(), by_step.end(),
                                        [](const auto& a, const auto& b)
                                        { return a.second < b.second; });
    return step_of(timeout) + max_steps_of_variation < usual->first;
}

void call_graph_estimator::callee_timeouts::decay()
{
    shorter *= decay_factor_per_s;
    unmatched *= decay_factor_per_s;
    for (auto& [step, count] : by_step)
        count *= decay_factor_per_s;
}

// Calls counted before there was evidence were distributed evenly. Without the correction
// they would decide the estimate for as long as it takes to forget them.
void call_graph_estimator::reweigh_once(const route_name& callee)
{
    double evidence = 0;
    for (const auto& [route, callees] : attributed_calls_)
        if (const auto found = callees.find(callee); found != callees.end())
            evidence += found->second;
    if (evidence < min_evidence || !reweighed_.insert(callee).second)
        return;
    double total = 0;
    double weighted = 0;
    for (auto& [route, callees] : calls_)
    {
        total += callees[callee];
        weighted += callees[callee] * weight_of(route, callee);
    }
    for (auto& [route, callees] : calls_)
        if (weighted > 0)
            callees[callee] *= weight_of(route, callee) * total / weighted;
}

double call_graph_estimator::weight_of(const route_name& route,
                                       const route_name& callee) const
{
    return std::max(min_calls_per_run, attributed_rate(route, callee));
}

std::optional<request_rank>
call_graph_estimator::distribute(const route_name& callee,
                                 const std::vector<possible_parent>& candidates)
{
    std::map<route_name, double> weights;
    std::map<request_rank, double> by_rank;
    double total = 0;
    for (const auto& run : candidates)
    {
        const auto [found, added] = weights.try_emplace(run.route);
        if (added)
            found->second = weight_of(run.route, callee);
        by_rank[run.rank] += found->second;
        total += found->second;
    }
    for (const auto& run : candidates)
        if (const auto found = open_.find(run.number); found != open_.end())
            found->second.calls[callee].expected += weights.at(run.route) / total;
    return most_likely_rank(by_rank);
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
        timeouts.decay();
    for (auto& [route, count] : runs_)
    {
        if (is_held(route))
            continue;
        count *= decay_factor_per_s;
        for (auto* counts : {&calls_, &attributed_calls_})
            for (auto& [callee, calls] : (*counts)[route])
                calls *= decay_factor_per_s;
    }
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

std::map<route_name, double> expected_calls(const route_name& route,
                                            const std::vector<call_edge>& calls)
{
    std::map<route_name, double> expected;
    std::vector<std::pair<route_name, double>> pending{{route, 1.0}};
    for (std::size_t i = 0; i < pending.size() && i < max_followed_edges; ++i)
    {
        const auto [from, runs] = pending[i];
        for (const call_edge& edge : calls)
        {
            if (edge.from != from)
                continue;
            expected[edge.to] += runs * edge.calls_per_run;
            pending.emplace_back(edge.to, runs * edge.calls_per_run);
        }
    }
    return expected;
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
