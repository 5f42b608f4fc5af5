#include <criterion/criterion.h>

#include <memory>
#include <set>

#include "fescueridge/overload/limits.hpp"
#include "fescueridge/overload/rendezvous.hpp"

using namespace fescueridge;

namespace
{

constexpr double limit_per_s = 1'000;
constexpr std::uint32_t domain_count = 4;
constexpr std::uint32_t nodes_per_domain = 3;

time_point at(int ms)
{
    return time_point{milliseconds{1'000'000 + ms}};
}

domain_name domain_named(std::size_t domain)
{
    return domain_name{std::to_string(domain)};
}

/// Simulates the nodes and share holders of all domains for one row. Messages arrive
/// immediately, except between partitioned domains.
class fleet
{
public:
    fleet()
    {
        for (std::size_t i = 0; i < domain_count; ++i)
        {
            holders.emplace_back(1, domain_named(i), call_rate{limit_per_s},
                                 domain_count);
            for (std::uint32_t n = 0; n < nodes_per_domain; ++n)
            {
                tables.push_back(std::make_unique<limit_table>());
            }
        }
    }

    /// Simulates one millisecond in which domain i gets rates[i] calls per second,
    /// divided evenly among its nodes. Adds the admitted calls to `admitted`.
    void step_ms(int ms, const std::array<double, domain_count>& rates)
    {
        if (ms % demand_report_interval.count() == 0)
        {
            exchange(ms);
        }
        for (std::size_t i = 0; i < domain_count; ++i)
        {
            for (pending_calls[i] += rates[i] / 1'000; pending_calls[i] >= 1;
                 pending_calls[i] -= 1)
            {
                auto& table =
                    *tables[i * nodes_per_domain + next_node++ % nodes_per_domain];
                if (table.admit(1, call_rate{limit_per_s},
                                {domain_count, nodes_per_domain}, at(ms)))
                {
                    ++admitted[i];
                }
            }
        }
    }

    /// Simulates the time between two points in milliseconds and returns the admitted
    /// calls per second of each domain.
    std::array<double, domain_count> run(int from, int to,
                                         const std::array<double, domain_count>& rates)
    {
        admitted.fill(0);
        for (int ms = from; ms < to; ++ms)
        {
            step_ms(ms, rates);
        }
        std::array<double, domain_count> result{};
        for (std::size_t i = 0; i < domain_count; ++i)
        {
            result[i] = admitted[i] * 1'000.0 / (to - from);
        }
        return result;
    }

    bool partitioned = false;  // no messages between domains
    bool holders_lost = false; // no grants to nodes
    std::array<std::uint32_t, domain_count> admitted{};

private:
    void exchange(int ms)
    {
        if (holders_lost)
        {
            return;
        }
        for (std::size_t i = 0; i < domain_count; ++i)
        {
            for (std::uint32_t n = 0; n < nodes_per_domain; ++n)
            {
                for (const auto& report :
                     tables[i * nodes_per_domain + n]->demand_reports(domain_named(i),
                                                                      at(ms)))
                {
                    holders[i].on_node_demand(node_id{std::to_string(n)}, report.rate,
                                              at(ms));
                }
            }
        }
        if (ms % domain_exchange_interval.count() == 0)
        {
            for (std::size_t i = 0; i < domain_count; ++i)
            {
                const auto sent = holders[i].announce_demand(at(ms));
                for (auto& to : holders)
                {
                    if (!partitioned)
                    {
                        to.on_domain_demand(sent.domain, sent.rate, at(ms));
                    }
                }
            }
        }
        for (std::size_t i = 0; i < domain_count; ++i)
        {
            for (const auto& grant : holders[i].grants(at(ms)))
            {
                const auto n = std::stoul(grant.node.get());
                tables[i * nodes_per_domain + n]->apply_grant(grant.message, at(ms));
            }
        }
    }

    std::vector<share_holder> holders;
    std::vector<std::unique_ptr<limit_table>> tables;
    std::array<double, domain_count> pending_calls{};
    std::size_t next_node = 0;
};

double total(const std::array<double, domain_count>& rates)
{
    double sum = 0;
    for (const double rate : rates)
    {
        sum += rate;
    }
    return sum;
}

} // namespace

// All domains demand more than their share. Checks that the admitted calls neither exceed
// the limit nor stay far below it, and that each domain gets its guaranteed share.
Test(overload_limits, full_demand_of_all_domains_uses_the_limit)
{
    fleet cluster;
    cluster.run(0, 4'000, {2'000, 2'000, 2'000, 2'000});
    const auto rates = cluster.run(4'000, 10'000, {2'000, 2'000, 2'000, 2'000});
    cr_assert_leq(total(rates), 1.02 * limit_per_s,
                  "admitted %.0f calls/s, expected at most 1.02 of the limit",
                  total(rates));
    cr_assert_geq(total(rates), 0.95 * limit_per_s,
                  "admitted %.0f calls/s, expected at least 0.95 of the limit",
                  total(rates));
    for (const double rate : rates)
    {
        cr_assert_geq(rate, 0.95 * limit_per_s / domain_count,
                      "a domain admitted %.0f calls/s, expected at least 0.95 of its "
                      "guaranteed share",
                      rate);
    }
}

// Share that some domains leave unused is lent to a domain with excess demand, without a
// loss for the lenders.
Test(overload_limits, unused_share_is_lent)
{
    fleet cluster;
    cluster.run(0, 4'000, {5'000, 50, 50, 50});
    const auto rates = cluster.run(4'000, 10'000, {5'000, 50, 50, 50});
    cr_assert_geq(
        rates[0], 0.75 * limit_per_s,
        "the borrower admitted %.0f calls/s, expected at least 0.75 of the limit",
        rates[0]);
    cr_assert_leq(total(rates), 1.05 * limit_per_s,
                  "admitted %.0f calls/s, expected at most 1.05 of the limit",
                  total(rates));
    for (std::size_t i = 1; i < domain_count; ++i)
    {
        cr_assert_geq(rates[i], 48,
                      "a lender admitted %.0f calls/s, expected at least 48", rates[i]);
    }
}

// While domains are partitioned, lenders use their guaranteed share again before the
// borrower's loan ends. The overshoot is at most twice the limit and ends with the loan,
// after at most a lease.
Test(overload_limits, overshoot_after_a_partition_is_bounded)
{
    fleet cluster;
    cluster.run(0, 5'001, {5'000, 0, 0, 0});
    cluster.partitioned = true;
    const std::array<double, domain_count> demand{5'000, 5'000, 5'000, 5'000};
    const auto lease = static_cast<int>(share_lease.count());
    const auto during = cluster.run(5'001, 5'001 + lease, demand);
    cr_assert_leq(total(during), 2 * limit_per_s,
                  "admitted %.0f calls/s in the lease, expected at most twice the limit",
                  total(during));
    const auto after = cluster.run(5'001 + lease, 5'001 + lease + 5'000, demand);
    cr_assert_leq(
        total(after), 1.02 * limit_per_s,
        "admitted %.0f calls/s after the lease, expected at most 1.02 of the limit",
        total(after));
}

// A partitioned domain receives no reports of other domains. It still admits its
// guaranteed share, and no more.
Test(overload_limits, partitioned_domain_gets_its_guaranteed_share)
{
    fleet cluster;
    cluster.run(0, 3'001, {5'000, 0, 0, 0});
    cluster.partitioned = true;
    const auto rates = cluster.run(8'000, 12'000, {5'000, 0, 0, 0});
    cr_assert_geq(rates[0], 0.95 * limit_per_s / domain_count,
                  "the partitioned domain admitted %.0f calls/s, expected at least 0.95 "
                  "of its guaranteed share",
                  rates[0]);
    cr_assert_leq(rates[0], 1.05 * limit_per_s / domain_count,
                  "the partitioned domain admitted %.0f calls/s, expected at most 1.05 "
                  "of its guaranteed share",
                  rates[0]);
}

// After the share holder stops sending grants, each node uses an even part of the limit.
// Guards against nodes that continue with an expired grant or refuse all calls.
Test(overload_limits, nodes_without_a_holder_use_their_fallback_share)
{
    fleet cluster;
    cluster.run(0, 3'001, {5'000, 0, 0, 0});
    cluster.holders_lost = true;
    cluster.run(3'001, 6'000, {5'000, 5'000, 5'000, 5'000});
    const auto rates = cluster.run(6'000, 10'000, {5'000, 5'000, 5'000, 5'000});
    cr_assert_leq(total(rates), 1.02 * limit_per_s,
                  "admitted %.0f calls/s, expected at most 1.02 of the limit",
                  total(rates));
    cr_assert_geq(total(rates), 0.95 * limit_per_s,
                  "admitted %.0f calls/s, expected at least 0.95 of the limit",
                  total(rates));
}

// A small limit divided among many nodes gives each a rate far below one call per second.
// With a bucket capacity below one call, the limit could never be used.
Test(overload_limits, a_bucket_holds_at_least_one_call)
{
    token_bucket bucket{call_rate{0.01}, at(0)};
    cr_assert(bucket.try_take(at(0)));
    cr_assert_not(bucket.try_take(at(50'000)));
    cr_assert(bucket.try_take(at(101'000)));
}

// With little traffic most nodes report no demand. Shares in proportion to demand left
// them almost nothing, and their next calls were refused far below the limit. Checks that
// each node gets an even part of the unused share.
Test(overload_limits, little_demand_leaves_headroom_on_each_node)
{
    const time_point now = clock::now();
    share_holder holder(1, domain_name("d1"), call_rate{4000}, 4);
    for (const char* name : {"n1", "n2", "n3", "n4", "n5"})
    {
        const bool busy = std::string(name) == "n1";
        holder.on_node_demand(node_id(name), call_rate{busy ? 5.0 : 0.0}, now);
    }
    double total = 0;
    for (const node_grant& grant : holder.grants(now))
    {
        total += grant.message.rate.get();
        cr_assert_geq(grant.message.rate.get(), 150.0,
                      "node %s was granted %.1f calls/s, expected at least 150",
                      grant.node.get().c_str(), grant.message.rate.get());
    }
    cr_assert_leq(total, 1000.0 + 1e-6, "the grants exceed the domain's share");
}

// Nodes choose the same share holder whatever the order of their members. When one node
// leaves, only the rows assigned to it move.
Test(overload_limits, rendezvous_choice_is_stable)
{
    const std::vector<node_id> members{node_id{"a"}, node_id{"b"}, node_id{"c"},
                                       node_id{"d"}};
    const std::vector<node_id> reversed{members.rbegin(), members.rend()};
    const std::vector<node_id> fewer{members.begin(), members.end() - 1};
    std::set<std::string> used;
    for (int i = 0; i < 200; ++i)
    {
        const std::string key = "row" + std::to_string(i);
        const auto chosen = choose_by_rendezvous(key, members, 1);
        cr_assert(chosen == choose_by_rendezvous(key, reversed, 1));
        if (chosen[0] != node_id{"d"})
        {
            cr_assert(chosen == choose_by_rendezvous(key, fewer, 1));
        }
        used.insert(chosen[0].get());
    }
    cr_assert_eq(used.size(), 4);
    cr_assert(choose_by_rendezvous("row", {}, 3).empty());
    cr_assert_eq(choose_by_rendezvous("row", members, 9).size(), 4);
}
