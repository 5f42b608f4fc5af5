#include "fescueridge/routing/balancer.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <queue>

using namespace fescueridge;
using std::chrono::microseconds;

namespace
{

time_point at(std::int64_t ms)
{
    return time_point{milliseconds{1'000'000 + ms}};
}

server_info member(const std::string& name, const std::string& domain = "a",
                   server_state state = server_state::ready)
{
    server_info result;
    result.node = node_id{name};
    result.domain = domain_name{domain};
    result.state = state;
    result.slots = slot_count{25};
    result.server_incarnation = incarnation{1};
    return result;
}

/// Simulates open-loop calls through one balancer to servers with random latencies.
class call_loop
{
public:
    explicit call_loop(std::vector<server_info> servers) : members(std::move(servers))
    {
        balancer.update(members, at(0));
    }

    /// Sends calls at an average rate. Clears the previous counts and latencies.
    void run(std::int64_t duration_ms, double calls_per_ms)
    {
        call_counts.clear();
        latencies.clear();
        const auto end = now_ms + duration_ms;
        for (; now_ms < end; ++now_ms)
        {
            finish();
            const int calls = std::poisson_distribution<int>(calls_per_ms)(random);
            for (int i = 0; i < calls; ++i)
            {
                send();
            }
        }
    }

    double share(const std::string& name)
    {
        double total = 0;
        for (const auto& [node, count] : call_counts)
        {
            total += count;
        }
        return call_counts[name] / total;
    }

    std::map<std::string, double> mean_latency_ms; // below 0 if the server never answers
    std::map<std::string, int> call_counts;
    std::vector<double> latencies;
    std::int64_t now_ms = 0;
    std::vector<server_info> members;
    random_engine random{1};
    backend_server_balancer balancer{domain_name{"a"}};

private:
    struct pending
    {
        std::int64_t end_ms;
        node_id node;
        started_call_id call;
        std::int64_t start_ms;
        bool operator<(const pending& other) const { return end_ms > other.end_ms; }
    };

    void send()
    {
        const auto node = balancer.choose(at(now_ms), random);
        if (!node)
        {
            return;
        }
        ++call_counts[node->get()];
        const auto call = balancer.on_start(*node, at(now_ms));
        const double mean =
            mean_latency_ms.count(node->get()) ? mean_latency_ms[node->get()] : 10;
        if (mean < 0)
        {
            return;
        }
        const double ms = std::gamma_distribution<double>(4, mean / 4)(random);
        const auto rounded_ms = std::max<std::int64_t>(1, std::llround(ms));
        running.push({now_ms + rounded_ms, *node, call, now_ms});
    }

    void finish()
    {
        while (!running.empty() && running.top().end_ms <= now_ms)
        {
            const auto done = running.top();
            running.pop();
            const auto ms = done.end_ms - done.start_ms;
            latencies.push_back(static_cast<double>(ms));
            balancer.on_finish(done.node, done.call, milliseconds{ms}, outcome::ok, {},
                               at(now_ms));
        }
    }

    std::priority_queue<pending> running;
};

double quantile(std::vector<double> values, double probability)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(probability *
                                           static_cast<double>(values.size()))];
}

std::vector<server_info> four_servers()
{
    return {member("1"), member("2"), member("3"), member("4")};
}

balancer_server_status status_of(call_loop& loop, const std::string& name)
{
    for (const auto& entry : loop.balancer.server_statuses(at(loop.now_ms)))
    {
        if (entry.node.get() == name)
        {
            return entry;
        }
    }
    return {};
}

} // namespace

// Four servers with equal latency get about a quarter of the calls each.
Test(routing_balancer, equal_servers_get_equal_shares)
{
    call_loop loop{four_servers()};
    loop.run(5'000, 2);
    for (const auto& each : loop.members)
    {
        const double share = loop.share(each.node.get());
        cr_assert_geq(share, 0.2, "share of calls %.3f, expected at least 0.2", share);
        cr_assert_leq(share, 0.3, "share of calls %.3f, expected at most 0.3", share);
    }
}

// A server that is 20 times slower delays its callers. Once it is detected, the 99th
// percentile is at most 1.5 times that before the slowdown. After it recovers, the server
// gets calls again.
Test(routing_balancer, straggler_is_avoided_until_it_recovers)
{
    call_loop loop{four_servers()};
    loop.run(5'000, 2);
    const double before = quantile(loop.latencies, 0.99);
    loop.mean_latency_ms["1"] = 200;
    loop.run(500, 2);
    loop.run(10'000, 2);
    const double during = quantile(loop.latencies, 0.99);
    cr_assert_leq(
        during, 1.5 * before,
        "99th percentile %.0f ms, expected at most 1.5 times the %.0f ms before", during,
        before);
    cr_assert_leq(loop.share("1"), 0.006,
                  "share of the straggler %.4f, expected at most 0.006", loop.share("1"));
    cr_assert(status_of(loop, "1").straggler);
    loop.mean_latency_ms["1"] = 10;
    loop.run(10'000, 2);
    loop.run(2'000, 2);
    cr_assert_geq(loop.share("1"), 0.15,
                  "share of the recovered server %.3f, expected at least 0.15",
                  loop.share("1"));
}

// A server that never answers gives no latency sample. It would keep its share if its
// running calls did not count in the estimate.
Test(routing_balancer, server_that_never_answers_is_avoided)
{
    call_loop loop{four_servers()};
    loop.run(2'000, 2);
    loop.mean_latency_ms["1"] = -1;
    loop.run(300, 2);
    loop.run(5'000, 2);
    cr_assert_leq(loop.share("1"), 0.001,
                  "share of the unresponsive server %.4f, expected at most 0.001",
                  loop.share("1"));
}

// Detects a healthy server marked as straggler because of random variation of its
// latency.
Test(routing_balancer, random_latency_marks_no_straggler)
{
    call_loop loop{four_servers()};
    for (int i = 0; i < 200; ++i)
    {
        loop.run(100, 1);
        for (const auto& entry : loop.balancer.server_statuses(at(loop.now_ms)))
        {
            cr_assert_not(entry.straggler);
        }
    }
}

// Calls stay in the own failure domain unless its servers are slow or gone. Leaving it
// needlessly adds latency; staying would fail or delay calls.
Test(routing_balancer, own_domain_is_preferred)
{
    call_loop loop{{member("1"), member("2"), member("3", "b"), member("4", "b")}};
    loop.run(3'000, 0.5);
    cr_assert_leq(loop.share("3") + loop.share("4"), 0.05);
    loop.mean_latency_ms["1"] = 100;
    loop.mean_latency_ms["2"] = 100;
    loop.run(3'000, 0.5);
    loop.run(3'000, 0.5);
    cr_assert_geq(loop.share("3") + loop.share("4"), 0.8);
    loop.balancer.on_link_broken(node_id{"1"}, at(loop.now_ms));
    loop.balancer.on_link_broken(node_id{"2"}, at(loop.now_ms));
    loop.run(500, 0.5);
    cr_assert_eq(loop.share("3") + loop.share("4"), 1);
}

// New calls do not go to servers that drain, are gone, or recently refused a call with
// draining.
Test(routing_balancer, leaving_servers_get_no_calls)
{
    call_loop loop{four_servers()};
    loop.members[0].state = server_state::draining;
    loop.members[1].state = server_state::gone;
    loop.balancer.update(loop.members, at(0));
    loop.balancer.on_refused(node_id{"3"}, refusal_reason::draining, at(0));
    loop.run(900, 1);
    cr_assert_eq(loop.share("4"), 1);
    const auto none = loop.balancer.choose(at(900), loop.random, {node_id{"4"}});
    cr_assert_not(none.has_value());
    loop.run(1'000, 1);
    cr_assert_geq(loop.share("3"), 0.2);
    loop.members.pop_back();
    loop.balancer.update(loop.members, at(loop.now_ms));
    loop.run(100, 1);
    cr_assert_eq(loop.share("3"), 1);
}

// A cold server with a full share would be overloaded. After a restart its weight rises
// from 0.1 to 1 over the warm-up time.
Test(routing_balancer, cold_server_starts_slowly)
{
    call_loop loop{four_servers()};
    loop.run(1'000, 2);
    loop.members[0].server_incarnation = incarnation{2};
    loop.members[0].state = server_state::cold;
    loop.balancer.update(loop.members, at(loop.now_ms));
    cr_assert_float_eq(status_of(loop, "1").weight, 0.1, 0.01);
    loop.run(500, 2);
    cr_assert_leq(loop.share("1"), 0.1,
                  "share of the cold server %.3f, expected at most 0.1", loop.share("1"));
    loop.run(10'000, 2);
    cr_assert_float_eq(status_of(loop, "1").weight, 1.0, 0.01);
}

// A server that refuses or fails every call immediately has short response times. Detects
// a balancer that takes it for the fastest server and sends it most calls.
Test(routing_balancer, fast_refusals_do_not_attract_calls)
{
    backend_server_balancer balancer{domain_name{"a"}};
    balancer.update({member("1"), member("2")}, at(0));
    random_engine random{1};
    int refused = 0;
    for (int ms = 0; ms < 2'000; ++ms)
    {
        const auto node = balancer.choose(at(ms), random);
        const auto call = balancer.on_start(*node, at(ms));
        const bool refuses = node->get() == "1";
        refused += refuses ? 1 : 0;
        if (refuses)
        {
            balancer.on_finish(*node, call, microseconds{100}, outcome::not_run,
                               refusal_reason::overload, at(ms));
            balancer.on_refused(*node, refusal_reason::overload, at(ms));
        }
        else
        {
            balancer.on_finish(*node, call, milliseconds{10}, outcome::ok, {}, at(ms));
        }
    }
    cr_assert_leq(refused, 200, "%d of 2000 calls were refused, expected at most 200",
                  refused);
}

// Checks that hedges start neither before the 95th percentile of the latency nor before
// 20 samples exist.
Test(routing_balancer, hedge_delay_is_the_95th_percentile)
{
    backend_server_balancer balancer{domain_name{"a"}};
    balancer.update({member("1")}, at(0));
    for (int i = 0; i < 1'000; ++i)
    {
        cr_assert_eq(balancer.hedge_delay(at(0)).has_value(), i >= 20);
        const auto call = balancer.on_start(node_id{"1"}, at(0));
        balancer.on_finish(node_id{"1"}, call, milliseconds{1 + i % 100}, outcome::ok, {},
                           at(0));
    }
    const auto delay = balancer.hedge_delay(at(0))->count();
    cr_assert_geq(delay, 95, "hedge delay %d ms, expected at least 95 ms",
                  static_cast<int>(delay));
    cr_assert_leq(delay, 106, "hedge delay %d ms, expected at most 106 ms",
                  static_cast<int>(delay));
    cr_assert_not(balancer.hedge_delay(at(20'000)).has_value());
}

// The pool size covers the recent peak of calls in flight, so that the next burst finds
// open connections, and shrinks after it.
Test(routing_balancer, pool_follows_the_recent_peak)
{
    backend_server_balancer balancer{domain_name{"a"}};
    balancer.update({member("1")}, at(0));
    const node_id node{"1"};
    std::vector<started_call_id> calls;
    for (int i = 0; i < 30; ++i)
    {
        calls.push_back(balancer.on_start(node, at(0)));
    }
    for (const auto call : calls)
    {
        balancer.on_finish(node, call, milliseconds{10}, outcome::ok, {}, at(10));
    }
    cr_assert_eq(balancer.pool_size_target(node, at(9'000)), 30);
    cr_assert_eq(balancer.pool_size_target(node, at(30'000)), 1);
}

// Hedged calls to a slow server are cancelled before their latency is known, which hides
// its slowness. Consecutive cancelled calls mark it as straggler, and an answer clears
// the mark.
Test(routing_balancer, server_with_cancelled_calls_is_a_straggler)
{
    backend_server_balancer balancer(domain_name{"a"});
    balancer.update({member("slow"), member("fast")}, at(0));
    const auto finish = [&](const char* name, int ms, int now, bool cancelled)
    {
        const node_id node{name};
        const auto call = balancer.on_start(node, at(now - ms));
        const auto reason =
            cancelled ? std::optional(refusal_reason::cancelled) : std::nullopt;
        balancer.on_finish(node, call, milliseconds(ms),
                           cancelled ? outcome::unknown : outcome::ok, reason, at(now));
    };
    const auto is_straggler = [&](int now)
    {
        random_engine random(1);
        balancer.choose(at(now), random);
        const auto statuses = balancer.server_statuses(at(now));
        const auto slow =
            std::find_if(statuses.begin(), statuses.end(),
                         [](const auto& entry) { return entry.node == node_id{"slow"}; });
        return slow->straggler;
    };
    finish("slow", 20, 100, false);
    finish("fast", 20, 100, false);
    for (int i = 1; i <= 4; ++i)
    {
        cr_assert_not(is_straggler(100 + 100 * i));
        finish("slow", 40, 120 + 100 * i, true);
    }
    cr_assert(is_straggler(600));
    finish("slow", 20, 5'000, false);
    cr_assert_not(is_straggler(5'100));
}
