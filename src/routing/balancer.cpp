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

// Ratio of the scores above which a server of another domain is preferred to one of the
// own domain.
constexpr double remote_domain_factor = 3;

// Hysteresis: a server becomes a straggler above 3 times the median latency of its peers,
// and remains one until it is at most twice the median.
constexpr double straggler_enter_ratio = 3;
constexpr double straggler_leave_ratio = 2;
// Medians below 1 ms differ by scheduling and network delay alone.
constexpr double min_median_us = 1000;

// A call whose hedge answers first is cancelled without a known latency, so the estimate
// of a slow server stays near the hedge delay. This many cancelled calls in a row
// therefore mark a straggler as well. For a healthy server, with 5% of its calls hedged,
// the probability is below 1 in 100,000.
constexpr std::uint32_t straggler_cancelled_calls = 4;

// A straggler is probed once per second, but with at most one call in 200. More probes
// would affect the 99th percentile of a caller with little traffic.
constexpr milliseconds probe_interval{1'000};
constexpr std::uint64_t min_choices_per_probe = 200;
constexpr milliseconds max_probe_interval{10'000};

constexpr milliseconds refusal_exclusion_time{1'000};
constexpr milliseconds refresh_interval{20};
using detail::default_latency_us;
using detail::server_record;

constexpr double hedge_quantile = 0.95;
constexpr std::uint64_t min_hedge_samples = 20;

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

/// Draws a server at random, in proportion to the weights; never `excluded`.
server_record* draw_weighted(const server_refs& servers, const server_record* excluded,
                             time_point now, random_engine& random)
{
    double total_weight = 0;
    for (const auto* server : servers)
    {
        total_weight += server == excluded ? 0 : server->weight(now);
    }
    if (total_weight <= 0)
    {
        return nullptr;
    }
    double point = std::uniform_real_distribution<double>(0, total_weight)(random);
    server_record* drawn = nullptr;
    for (auto* server : servers)
    {
        if (server == excluded)
        {
            continue;
        }
        drawn = server;
        point -= server->weight(now);
        if (point < 0)
        {
            break;
        }
    }
    return drawn;
}

server_record* better_of_two(const server_refs& servers, time_point now,
                             random_engine& random)
{
    server_record* first = draw_weighted(servers, nullptr, now, random);
    server_record* second = draw_weighted(servers, first, now, random);
    if (first == nullptr || second == nullptr)
    {
        return first;
    }
    return second->score(now) < first->score(now) ? second : first;
}

} // namespace

struct backend_server_balancer::impl
{
    explicit impl(domain_name name) : own_domain(std::move(name)) {}

    void refresh_estimates(time_point now)
    {
        if (last_refresh && now - *last_refresh < refresh_interval &&
            now >= *last_refresh)
        {
            return;
        }
        const double gap_s = last_refresh ? seconds(now - *last_refresh) : 0;
        last_refresh = now;
        const double fallback_latency_us = median_latency_us(now);
        for (auto& [node, server] : servers)
        {
            server.update_estimate(fallback_latency_us, now);
            // Decays so that a server that refused its calls is tried again.
            server.refusal_share *= std::exp2(-std::max(0.0, gap_s));
        }
        for (auto& [node, server] : servers)
        {
            update_straggler(server, now);
        }
    }

    double median_latency_us(time_point now) const
    {
        std::vector<double> latencies_us;
        for (const auto& [node, server] : servers)
        {
            if (server.usable(now) && server.latency_us)
            {
                latencies_us.push_back(*server.latency_us);
            }
        }
        return latencies_us.empty() ? default_latency_us
                                    : median_of(std::move(latencies_us));
    }

    void update_straggler(server_record& candidate, time_point now)
    {
        std::vector<double> peer_latencies_us;
        bool peer_answers = false;
        for (const auto& [node, server] : servers)
        {
            if (&server != &candidate && server.usable(now))
            {
                peer_latencies_us.push_back(server.estimated_latency_us);
                peer_answers = peer_answers ||
                               server.consecutive_cancelled < straggler_cancelled_calls;
            }
        }
        if (peer_latencies_us.empty())
        {
            candidate.straggler = false;
            return;
        }
        // Uses the lower median, so that of two peers the faster one counts and a slow
        // one does not hide another straggler.
        const auto middle =
            peer_latencies_us.begin() +
            static_cast<std::ptrdiff_t>((peer_latencies_us.size() - 1) / 2);
        std::nth_element(peer_latencies_us.begin(), middle, peer_latencies_us.end());
        const double median_us = std::max(min_median_us, *middle);
        const double factor =
            candidate.straggler ? straggler_leave_ratio : straggler_enter_ratio;
        // If no server answers in time, callers cancel calls to all of them, which shows
        // no difference between the servers.
        const bool too_many_cancelled =
            peer_answers && candidate.consecutive_cancelled >= straggler_cancelled_calls;
        candidate.straggler =
            too_many_cancelled || candidate.estimated_latency_us > factor * median_us;
    }

    bool probe_due(const server_record& server, time_point now) const
    {
        if (!server.straggler || !server.running_calls.empty())
        {
            return false;
        }
        const auto idle_time = now - server.last_call_start;
        const bool enough_choices =
            choice_count - server.choices_at_last_start >= min_choices_per_probe;
        return (idle_time >= probe_interval && enough_choices) ||
               idle_time >= max_probe_interval;
    }

    server_record* find(const node_id& node)
    {
        const auto found = servers.find(node);
        return found == servers.end() ? nullptr : &found->second;
    }

    mutable std::mutex mutex;
    domain_name own_domain;
    std::map<node_id, server_record> servers;
    std::optional<time_point> last_refresh;
    bool had_update = false;
    std::uint64_t next_call_id = 1;
    std::uint64_t choice_count = 0;
    detail::latency_histogram latencies;
};

backend_server_balancer::backend_server_balancer(domain_name own_domain)
    : impl_(std::make_unique<impl>(std::move(own_domain)))
{
}

backend_server_balancer::~backend_server_balancer() = default;

void backend_server_balancer::update(const std::vector<server_info>& members,
                                     time_point now)
{
    const std::lock_guard lock(impl_->mutex);
    for (auto& [node, server] : impl_->servers)
    {
        server.listed = false;
    }
    for (const auto& member : members)
    {
        const bool is_new = impl_->servers.count(member.node) == 0;
        auto& server = impl_->servers[member.node];
        const bool restarted =
            !is_new && server.info.server_incarnation != member.server_incarnation;
        const bool changed = is_new || restarted || server.info.state != member.state;
        if (restarted)
        {
            server.latency_us.reset();
            server.refusal_share = 0;
            server.straggler = false;
            server.consecutive_cancelled = 0;
        }
        // Servers in the first update were already running; of these, only servers in the
        // state cold get a slow start.
        const bool joined = is_new && impl_->had_update;
        if (restarted || joined || (is_new && member.state == server_state::cold))
        {
            server.warm_up_start = now;
        }
        if (changed)
        {
            server.excluded_until.reset();
        }
        server.info = member;
        server.listed = true;
    }
    for (auto it = impl_->servers.begin(); it != impl_->servers.end();)
    {
        const bool removable = !it->second.listed && it->second.running_calls.empty();
        it = removable ? impl_->servers.erase(it) : std::next(it);
    }
    impl_->had_update = true;
    impl_->last_refresh.reset();
}

std::optional<node_id>
backend_server_balancer::choose(time_point now, random_engine& random,
                                const std::vector<node_id>& exclude)
{
    const std::lock_guard lock(impl_->mutex);
    impl_->refresh_estimates(now);
    ++impl_->choice_count;
    server_refs own_servers;
    server_refs remote_servers;
    for (auto& [node, server] : impl_->servers)
    {
        const bool excluded =
            std::find(exclude.begin(), exclude.end(), node) != exclude.end();
        if (excluded || !server.usable(now))
        {
            continue;
        }
        // Retries and hedges, which exclude servers, are not used as probes: their
        // purpose is to avoid a slow server.
        if (exclude.empty() && impl_->probe_due(server, now))
        {
            return node;
        }
        (server.info.domain == impl_->own_domain ? own_servers : remote_servers)
            .push_back(&server);
    }
    const auto* own = better_of_two(own_servers, now, random);
    const auto* remote = better_of_two(remote_servers, now, random);
    if (own == nullptr && remote == nullptr)
    {
        return std::nullopt;
    }
    const bool use_remote =
        own == nullptr ||
        (remote != nullptr &&
         own->domain_score(now) > remote_domain_factor * remote->domain_score(now));
    return use_remote ? remote->info.node : own->info.node;
}

started_call_id backend_server_balancer::on_start(const node_id& node, time_point now)
{
    const std::lock_guard lock(impl_->mutex);
    const started_call_id call{impl_->next_call_id++};
    if (auto* server = impl_->find(node))
    {
        server->running_calls.emplace(call.get(), now);
        server->last_call_start = now;
        server->choices_at_last_start = impl_->choice_count;
        server->in_flight_peak.add(
            static_cast<std::uint32_t>(server->running_calls.size()), now);
    }
    return call;
}

void backend_server_balancer::on_finish(const node_id& node, started_call_id call,
                                        std::chrono::microseconds latency, outcome result,
                                        std::optional<refusal_reason> reason,
                                        time_point now)
{
    const std::lock_guard lock(impl_->mutex);
    auto* server = impl_->find(node);
    if (server == nullptr || server->running_calls.erase(call.get()) == 0 ||
        result == outcome::not_run)
    {
        return;
    }
    const auto us = static_cast<double>(latency.count());
    const bool cancelled = reason == refusal_reason::cancelled;
    const bool slow = us > server->latency_us.value_or(0);
    // The latency of a failed or cancelled call is only a lower bound of its duration.
    if (result == outcome::ok || slow)
    {
        server->add_sample(us, now);
        impl_->latencies.add(latency, now);
    }
    if (!cancelled)
    {
        server->add_result(result != outcome::ok);
        server->consecutive_cancelled = 0;
    }
    else if (slow)
    {
        ++server->consecutive_cancelled;
    }
}

void backend_server_balancer::on_refused(const node_id& node, refusal_reason reason,
                                         time_point now)
{
    const std::lock_guard lock(impl_->mutex);
    auto* server = impl_->find(node);
    if (server == nullptr)
    {
        return;
    }
    switch (reason)
    {
    case refusal_reason::draining:
    case refusal_reason::server_gone:
    case refusal_reason::shutting_down:
        server->excluded_until = now + refusal_exclusion_time;
        break;
    case refusal_reason::overload:
    case refusal_reason::deadline:
        server->add_result(true);
        break;
    default:
        // Other reasons relate to the call or the service, independent of the server.
        break;
    }
}

void backend_server_balancer::on_link_broken(const node_id& node, time_point)
{
    const std::lock_guard lock(impl_->mutex);
    if (auto* server = impl_->find(node))
    {
        server->info.link_up = false;
    }
}

std::optional<milliseconds> backend_server_balancer::hedge_delay(time_point now) const
{
    const std::lock_guard lock(impl_->mutex);
    const auto delay = impl_->latencies.quantile(hedge_quantile, min_hedge_samples, now);
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
    const auto* server = impl_->find(node);
    if (server == nullptr)
    {
        return 1;
    }
    const auto in_flight = static_cast<std::uint32_t>(server->running_calls.size());
    return std::max(1U, server->in_flight_peak.value(in_flight, now));
}

std::vector<balancer_server_status>
backend_server_balancer::server_statuses(time_point now) const
{
    const std::lock_guard lock(impl_->mutex);
    std::vector<balancer_server_status> result;
    for (const auto& [node, server] : impl_->servers)
    {
        balancer_server_status entry;
        entry.node = node;
        entry.in_flight = static_cast<std::uint32_t>(server.running_calls.size());
        entry.latency = std::chrono::microseconds{
            static_cast<std::int64_t>(server.estimated_latency_us)};
        entry.straggler = server.straggler;
        entry.weight = server.usable(now) ? server.weight(now) : 0;
        result.push_back(entry);
    }
    return result;
}

} // namespace fescueridge
