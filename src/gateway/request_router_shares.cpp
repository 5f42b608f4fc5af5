#include "fescueridge/gateway/request_router.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

#include "fleet_view.hpp"

namespace fescueridge::gateway
{
namespace
{

/// Fraction of the moving average of arrivals that is replaced in 100 ms: it covers about
/// the last 300 ms.
constexpr double arrival_weight = 0.3;

/// Time between two computations of the shares. Each adds up the reports of all peers,
/// which come more rarely in a large fleet.
constexpr milliseconds min_update_interval{95};
constexpr milliseconds max_update_interval{300};
constexpr milliseconds update_interval_per_peer{2};

/// Fraction of its requests that a service turns away from which its retries are kept.
constexpr double min_kept_rejected_share = 0.25;

milliseconds update_interval(std::size_t peers)
{
    const auto wanted = update_interval_per_peer * static_cast<std::int64_t>(peers);
    return std::clamp(wanted, min_update_interval, max_update_interval);
}

/// Minimum time between log lines about shares while some requests are shed, and while
/// everything is admitted.
constexpr milliseconds shares_line_interval{1'000};
constexpr milliseconds all_admitted_line_interval{10'000};

} // namespace

void request_router::log_shares(
    const std::vector<class_demand>& demands, const service_capacity& capacity,
    const class_shares& shares,
    const std::map<service_name, service_rejections>& rejections)
{
    std::string routes;
    std::map<service_name, double> required_ms_per_s;
    for (const auto& demand : demands)
    {
        routes += fmt::format("{}{} {:.1f}/s {:.2f}; ", demand.request_class.route.get(),
                              demand.request_class.client_retry ? " returned" : "",
                              demand.arrivals_per_s, shares.at(demand.request_class));
        for (const auto& [service, ms] : demand.costs)
            required_ms_per_s[service] += demand.arrivals_per_s * ms;
    }
    std::string services;
    for (const auto& [service, ms] : capacity)
        services += fmt::format("{} need {:.0f} of {:.0f} ms/s, capacity factor {:.2f}; ",
                                service.get(), required_ms_per_s[service], ms,
                                corrections_[service].factor());
    std::string rejecting;
    for (const auto& [service, rejected] : rejections)
        rejecting += fmt::format("{} rejects {:.2f}, {:.0f} retries/s; ", service.get(),
                                 rejected.share, rejected.retries_per_s);
    std::string calls;
    for (const auto& edge : edges_)
        calls += fmt::format("{} calls {} {:.2f}; ", edge.from.get(), edge.to.get(),
                             edge.calls_per_run);
    std::string called_routes;
    for (const auto& route : origins_.called_routes())
        called_routes += route.get() + "; ";
    node_report_message own;
    executor_.fill_report(own);
    decisions_.record(log_event::shares_changed,
                      {{"running", std::int64_t{own.load.running}},
                       {"waiting", std::int64_t{own.load.waiting}},
                       {"limit", std::int64_t{own.limit}},
                       {"wait_share", own.queue_wait_share},
                       {"slot_ms", own.service_ms},
                       {"routes", routes},
                       {"services", services},
                       {"rejecting", rejecting},
                       {"called_routes", called_routes},
                       {"calls", calls}});
}

void request_router::set_initial_calls(const std::vector<call_edge>& edges)
{
    initial_edges_ = edges;
    for (const auto& edge : edges)
        origins_.mark_called(edge.to);
}

// While a service turns requests away, its retries stay at the rate of the requests
// before: fewer begin, and the calls of those that do can be retried.
std::map<service_name, service_rejections> request_router::service_rejections_of(
    const fleet_view& fleet, const std::vector<class_demand>& demands, time_point now)
{
    std::map<service_name, double> requests_per_s;
    for (const auto& demand : demands)
        for (const auto& [service, count] : demand.calls)
            requests_per_s[service] +=
                count * demand.arrivals_per_s * shedder_.share(demand.request_class);
    retry_supply_.record(requests_per_s, now);
    std::map<service_name, service_rejections> result;
    for (const auto& [service, share] : fleet.rejected_shares())
    {
        if (share >= min_kept_rejected_share)
            retry_budget_.keep_inflow(service, now);
        const bool kept = retry_budget_.keeps_inflow(service, now);
        const double counted_per_s = retry_supply_.counted_per_s(service, kept, now);
        result[service] = {share, retry_budget_.spendable_per_s(counted_per_s)};
    }
    return result;
}

void request_router::update_shares()
{
    const auto now = clock::now();
    const auto elapsed = now - last_update_;
    if (elapsed < update_interval(peers_.all().size()))
        return;
    const double seconds = static_cast<double>(elapsed.count()) / 1000;
    last_update_ = now;
    if (!table_)
        return;
    // After a pause of the process, the waits do not show how long the load lasted.
    const auto covered = std::min(elapsed, max_update_interval);
    const double steps =
        static_cast<double>(covered.count()) / 1000 / capacity_correction::step_s;
    const double weight = 1 - std::pow(1 - arrival_weight, steps);
    for (auto& [request_class, meter] : arrivals_)
    {
        meter.per_s += weight * (meter.count / seconds - meter.per_s);
        meter.count = 0;
    }
    retry_budget_.set_node_count(peers_.all().size() + 1);
    fleet_view fleet(*table_, now, initial_edges_);
    fleet.set_known_services(known_services_);
    origins_.begin_update(seconds);
    node_report_message own;
    executor_.fill_report(own);
    own.arrivals = arrivals();
    executor_.add_learned(own);
    fleet.add(own, now);
    origins_.add_report(own);
    for (const auto& [node, other] : peers_.all())
    {
        if (!other.connection)
            continue;
        fleet.add(other.report, other.report_time);
        origins_.add_report(other.report);
    }
    origins_.end_update();
    known_services_.merge(fleet.available_services());
    edges_ = fleet.edges();
    const auto demands = fleet.demands(origins_.called_routes(), edges_);
    const auto capacity = fleet.capacity(corrections_, steps);
    const auto rejections = service_rejections_of(fleet, demands, now);
    auto shares = admitted_shares(demands, capacity, rejections);
    const bool all_admitted =
        std::all_of(shares.begin(), shares.end(),
                    [](const auto& share) { return share.second >= 1; });
    const auto line_interval =
        all_admitted ? all_admitted_line_interval : shares_line_interval;
    if (now >= last_shares_log_ + line_interval)
    {
        last_shares_log_ = now;
        log_shares(demands, capacity, shares, rejections);
    }
    shedder_.set_shares(std::move(shares));
}

} // namespace fescueridge::gateway
