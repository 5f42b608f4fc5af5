#include "fescueridge/routing/balancer.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <mutex>

#include "fescueridge/routing/detail/latency_histogram.hpp"
#include "fescueridge/routing/detail/server_record.hpp"

namespace fescueridge
{

namespace
{

// Own-domain candidates are left for a remote one at this ratio of the scores.
constexpr double domain_factor = 3;

// A straggler is over 3 times the median of its peers until it is under twice of it, so
// that it does not alternate at the edge.
constexpr double straggler_enter = 3;
constexpr double straggler_leave = 2;
// Medians under 1 ms differ by scheduling and network delay alone.
constexpr double least_median_us = 1000;

// A call whose hedge answers first is cancelled, so its latency stays unknown and the
// estimate of a slow server stays near the hedge delay. So many cancelled calls in a row
// make a straggler: for a healthy server, of whose calls 5% are hedged, the chance is
// under 1 in 100,000.
constexpr std::uint32_t straggler_overtaken = 4;

// A straggler is probed each second, but with at most one call in 200: more would show
// in the 99th percentile of a caller with little traffic.
constexpr milliseconds probe_interval{1'000};
constexpr std::uint64_t probe_choices = 200;
constexpr milliseconds longest_probe_interval{10'000};

constexpr milliseconds refusal_memory{1'000};
constexpr milliseconds refresh_interval{20};
using detail::default_latency_us;
using detail::server_record;

constexpr double hedge_quantile = 0.95;
constexpr std::uint64_t hedge_samples = 20;

double seconds(milliseconds value)
{
    return std::chrono::duration<double>(value).count();
}

double median_of(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

using server_refs = std::vector<server_record*>;

server_record* draw(const server_refs& servers, const server_record* not_this,
                    time_point now, random_engine& random)
{
    double total = 0;
    for (const auto* each : servers)
    {
        total += each == not_this ? 0 : each->weight(now);
    }
    if (total <= 0)
    {
        return nullptr;
    }
    double point = std::uniform_real_distribution<double>(0, total)(random);
    server_record* last = nullptr;
    for (auto* each : servers)
    {
        if (each == not_this)
        {
            continue;
        }
        last = each;
        point -= each->weight(now);
        if (point < 0)
        {
            break;
        }
    }
    return last;
}

server_record* better_of_two(const server_refs& servers, time_point now,
                             random_engine& random)
{
    server_record* first = draw(servers, nullptr, now, random);
    server_record* second = draw(servers, first, now, random);
    if (first == nullptr || second == nullptr)
    {
        return first;
    }
    return second->score(now) < first->score(now) ? second : first;
}

} // namespace

struct backend_server_balancer::impl
{
    explicit impl(domain_name name) : own(std::move(name)) {}

    void refresh(time_point now)
    {
        if (refreshed && now - *refreshed < refresh_interval && now >= *refreshed)
        {
            return;
        }
        const double gap = refreshed ? seconds(now - *refreshed) : 0;
        refreshed = now;
        const double unknown = known_median(now);
        for (auto& [node, each] : servers)
        {
            each.update_estimate(unknown, now);
            // A server that gets no calls must be tried again.
            each.refusals *= std::exp2(-std::max(0.0, gap));
        }
        for (auto& [node, each] : servers)
        {
            mark_straggler(each, now);
        }
    }

    double known_median(time_point now) const
    {
        std::vector<double> known;
        for (const auto& [node, each] : servers)
        {
            if (each.usable(now) && each.latency_us)
            {
                known.push_back(*each.latency_us);
            }
        }
        return known.empty() ? default_latency_us : median_of(std::move(known));
    }

    void mark_straggler(server_record& candidate, time_point now)
    {
        std::vector<double> peers;
        bool peers_answer = false;
        for (const auto& [node, each] : servers)
        {
            if (&each != &candidate && each.usable(now))
            {
                peers.push_back(each.estimate_us);
                peers_answer = peers_answer || each.overtaken < straggler_overtaken;
            }
        }
        if (peers.empty())
        {
            candidate.straggler = false;
            return;
        }
        // The lower middle: with two peers a slow one must not excuse another.
        const auto middle =
            peers.begin() + static_cast<std::ptrdiff_t>((peers.size() - 1) / 2);
        std::nth_element(peers.begin(), middle, peers.end());
        const double median = std::max(least_median_us, *middle);
        const double factor = candidate.straggler ? straggler_leave : straggler_enter;
        // When no server answers in time, their callers give up and none is slower.
        const bool overtaken = peers_answer && candidate.overtaken >= straggler_overtaken;
        candidate.straggler = overtaken || candidate.estimate_us > factor * median;
    }

    bool probe_due(const server_record& each, time_point now) const
    {
        if (!each.straggler || !each.running.empty())
        {
            return false;
        }
        const auto idle = now - each.last_start;
        const bool enough = choices - each.choices_at_start >= probe_choices;
        return (idle >= probe_interval && enough) || idle >= longest_probe_interval;
    }

    server_record* find(const node_id& node)
    {
        const auto found = servers.find(node);
        return found == servers.end() ? nullptr : &found->second;
    }

    mutable std::mutex mutex;
    domain_name own;
    std::map<node_id, server_record> servers;
    std::optional<time_point> refreshed;
    bool updated = false;
    std::uint64_t next_call = 1;
    std::uint64_t choices = 0;
    detail::latency_histogram latencies;
};

backend_server_balancer::backend_server_balancer(domain_name own)
    : impl_(std::make_unique<impl>(std::move(own)))
{
}

backend_server_balancer::~backend_server_balancer() = default;

void backend_server_balancer::update(const std::vector<server_member>& members,
                                     time_point now)
{
    const std::lock_guard lock(impl_->mutex);
    for (auto& [node, each] : impl_->servers)
    {
        each.present = false;
    }
    for (const auto& member : members)
    {
        const bool seen_first = impl_->servers.count(member.node) == 0;
        auto& each = impl_->servers[member.node];
        const bool restarted = !seen_first && each.member.number != member.number;
        const bool changed = seen_first || restarted || each.member.state != member.state;
        if (restarted)
        {
            each.latency_us.reset();
            each.refusals = 0;
            each.straggler = false;
            each.overtaken = 0;
        }
        // Servers found at the first update have been running; only announced cold ones
        // among them start slowly.
        const bool joined = seen_first && impl_->updated;
        if (restarted || joined || (seen_first && member.state == server_state::cold))
        {
            each.warm_start = now;
        }
        if (changed)
        {
            each.out_until.reset();
        }
        each.member = member;
        each.present = true;
    }
    for (auto it = impl_->servers.begin(); it != impl_->servers.end();)
    {
        const bool over = !it->second.present && it->second.running.empty();
        it = over ? impl_->servers.erase(it) : std::next(it);
    }
    impl_->updated = true;
    impl_->refreshed.reset();
}

std::optional<node_id>
backend_server_balancer::choose(time_point now, random_engine& random,
                                const std::vector<node_id>& exclude)
{
    const std::lock_guard lock(impl_->mutex);
    impl_->refresh(now);
    ++impl_->choices;
    server_refs near;
    server_refs far;
    for (auto& [node, each] : impl_->servers)
    {
        const bool excluded =
            std::find(exclude.begin(), exclude.end(), node) != exclude.end();
        if (excluded || !each.usable(now))
        {
            continue;
        }
        // Retries and hedges (with an exclude set) are not used as probes: they are
        // made to get away from a slow server.
        if (exclude.empty() && impl_->probe_due(each, now))
        {
            return node;
        }
        (each.member.domain == impl_->own ? near : far).push_back(&each);
    }
    const auto* own = better_of_two(near, now, random);
    const auto* remote = better_of_two(far, now, random);
    if (own == nullptr && remote == nullptr)
    {
        return std::nullopt;
    }
    const bool leave = own == nullptr || (remote != nullptr &&
                                          own->domain_score(now) >
                                              domain_factor * remote->domain_score(now));
    return leave ? remote->member.node : own->member.node;
}

started_call backend_server_balancer::on_start(const node_id& node, time_point now)
{
    const std::lock_guard lock(impl_->mutex);
    const started_call call{impl_->next_call++};
    if (auto* each = impl_->find(node))
    {
        each->running.emplace(call.get(), now);
        each->last_start = now;
        each->choices_at_start = impl_->choices;
        each->peak.add(static_cast<std::uint32_t>(each->running.size()), now);
    }
    return call;
}

void backend_server_balancer::on_finish(const node_id& node, started_call call,
                                        std::chrono::microseconds latency, outcome result,
                                        std::optional<refusal_reason> reason,
                                        time_point now)
{
    const std::lock_guard lock(impl_->mutex);
    auto* each = impl_->find(node);
    if (each == nullptr || each->running.erase(call.get()) == 0 ||
        result == outcome::not_run)
    {
        return;
    }
    const auto us = static_cast<double>(latency.count());
    const bool cancelled = reason == refusal_reason::cancelled;
    const bool slow = us > each->latency_us.value_or(0);
    // A call that ended early by a fault or a cancel only shows that it took at least
    // this long.
    if (result == outcome::ok || slow)
    {
        each->add_sample(us, now);
        impl_->latencies.add(latency, now);
    }
    if (!cancelled)
    {
        each->add_result(result != outcome::ok);
        each->overtaken = 0;
    }
    else if (slow)
    {
        ++each->overtaken;
    }
}

void backend_server_balancer::on_refused(const node_id& node, refusal_reason reason,
                                         time_point now)
{
    const std::lock_guard lock(impl_->mutex);
    auto* each = impl_->find(node);
    if (each == nullptr)
    {
        return;
    }
    switch (reason)
    {
    case refusal_reason::draining:
    case refusal_reason::server_gone:
    case refusal_reason::shutting_down:
        each->out_until = now + refusal_memory;
        break;
    case refusal_reason::overload:
    case refusal_reason::deadline:
        each->add_result(true);
        break;
    default:
        // The others say something about the call or the service, not this server.
        break;
    }
}

void backend_server_balancer::on_link_broken(const node_id& node, time_point)
{
    const std::lock_guard lock(impl_->mutex);
    if (auto* each = impl_->find(node))
    {
        each->member.link_up = false;
    }
}

std::optional<milliseconds> backend_server_balancer::hedge_delay(time_point now) const
{
    const std::lock_guard lock(impl_->mutex);
    const auto delay = impl_->latencies.quantile(hedge_quantile, hedge_samples, now);
    if (!delay)
    {
        return std::nullopt;
    }
    return std::max(milliseconds{1}, std::chrono::ceil<milliseconds>(*delay));
}

std::uint32_t backend_server_balancer::pool_size_target(const node_id& node,
                                                        time_point now) const
{
    const std::lock_guard lock(impl_->mutex);
    const auto* each = impl_->find(node);
    if (each == nullptr)
    {
        return 1;
    }
    const auto in_flight = static_cast<std::uint32_t>(each->running.size());
    return std::max(1U, each->peak.value(in_flight, now));
}

std::vector<balancer_view> backend_server_balancer::view(time_point now) const
{
    const std::lock_guard lock(impl_->mutex);
    std::vector<balancer_view> result;
    for (const auto& [node, each] : impl_->servers)
    {
        balancer_view row;
        row.node = node;
        row.in_flight = static_cast<std::uint32_t>(each.running.size());
        row.latency =
            std::chrono::microseconds{static_cast<std::int64_t>(each.estimate_us)};
        row.straggler = each.straggler;
        row.weight = each.usable(now) ? each.weight(now) : 0;
        result.push_back(row);
    }
    return result;
}

} // namespace fescueridge
