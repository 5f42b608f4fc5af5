#include <criterion/criterion.h>

#include <memory>
#include <set>

#include "fescueridge/overload/limits.hpp"
#include "fescueridge/overload/rendezvous.hpp"

using namespace fescueridge;

namespace
{

constexpr double limit = 1'000;
constexpr std::uint32_t domains = 4;
constexpr std::uint32_t nodes = 3; // of each domain

time_point at(int ms)
{
    return time_point{milliseconds{1'000'000 + ms}};
}

domain_name name_of(std::size_t domain)
{
    return domain_name{std::to_string(domain)};
}

/// Nodes and share holders of all domains for one row; all messages arrive at once unless
/// the domains are cut off from each other.
class fleet
{
public:
    fleet()
    {
        for (std::size_t i = 0; i < domains; ++i)
        {
            holders.emplace_back(1, name_of(i), call_rate{limit}, domains);
            for (std::uint32_t n = 0; n < nodes; ++n)
            {
                tables.push_back(std::make_unique<limit_table>());
            }
        }
    }

    /// Runs one millisecond: domain i gets rates[i] calls a second, spread over its
    /// nodes. Adds the admitted calls to `admitted`.
    void step(int ms, const std::array<double, domains>& rates)
    {
        if (ms % demand_report_interval.count() == 0)
        {
            exchange(ms);
        }
        for (std::size_t i = 0; i < domains; ++i)
        {
            for (debt[i] += rates[i] / 1'000; debt[i] >= 1; debt[i] -= 1)
            {
                auto& table = *tables[i * nodes + turn++ % nodes];
                if (table.admit(1, call_rate{limit}, {domains, nodes}, at(ms)))
                {
                    ++admitted[i];
                }
            }
        }
    }

    /// Returns the admitted calls a second of each domain from `from` to `to`.
    std::array<double, domains> run(int from, int to,
                                    const std::array<double, domains>& rates)
    {
        admitted.fill(0);
        for (int ms = from; ms < to; ++ms)
        {
            step(ms, rates);
        }
        std::array<double, domains> result{};
        for (std::size_t i = 0; i < domains; ++i)
        {
            result[i] = admitted[i] * 1'000.0 / (to - from);
        }
        return result;
    }

    bool cut = false;          // between domains
    bool holders_lost = false; // nodes get no grants
    std::array<std::uint32_t, domains> admitted{};

private:
    void exchange(int ms)
    {
        if (holders_lost)
        {
            return;
        }
        for (std::size_t i = 0; i < domains; ++i)
        {
            for (std::uint32_t n = 0; n < nodes; ++n)
            {
                for (const auto& report :
                     tables[i * nodes + n]->demand(name_of(i), at(ms)))
                {
                    holders[i].on_node_demand(node_id{std::to_string(n)}, report.rate,
                                              at(ms));
                }
            }
        }
        if (ms % domain_exchange_interval.count() == 0)
        {
            for (std::size_t i = 0; i < domains; ++i)
            {
                const auto sent = holders[i].own_demand(at(ms));
                for (auto& to : holders)
                {
                    if (!cut)
                    {
                        to.on_domain_demand(sent.domain, sent.rate, at(ms));
                    }
                }
            }
        }
        for (std::size_t i = 0; i < domains; ++i)
        {
            for (const auto& grant : holders[i].grants(at(ms)))
            {
                const auto n = std::stoul(grant.node.get());
                tables[i * nodes + n]->grant(grant.message, at(ms));
            }
        }
    }

    std::vector<share_holder> holders;
    std::vector<std::unique_ptr<limit_table>> tables;
    std::array<double, domains> debt{};
    std::size_t turn = 0;
};

double total(const std::array<double, domains>& rates)
{
    double sum = 0;
    for (const double rate : rates)
    {
        sum += rate;
    }
    return sum;
}

} // namespace

// Guards against a limit that is passed, or not used, when all domains want more.
Test(overload_limits, full_demand_everywhere_gets_the_limit)
{
    fleet all;
    all.run(0, 4'000, {2'000, 2'000, 2'000, 2'000});
    const auto rates = all.run(4'000, 10'000, {2'000, 2'000, 2'000, 2'000});
    cr_assert_leq(total(rates), 1.02 * limit, "%.0f", total(rates));
    cr_assert_geq(total(rates), 0.95 * limit, "%.0f", total(rates));
    for (const double rate : rates)
    {
        cr_assert_geq(rate, 0.95 * limit / domains, "%.0f", rate);
    }
}

// Guards against unused share that is not lent to the domain that has the demand.
Test(overload_limits, unused_share_is_lent)
{
    fleet all;
    all.run(0, 4'000, {5'000, 50, 50, 50});
    const auto rates = all.run(4'000, 10'000, {5'000, 50, 50, 50});
    cr_assert_geq(rates[0], 0.75 * limit, "%.0f", rates[0]);
    cr_assert_leq(total(rates), 1.05 * limit, "%.0f", total(rates));
    for (std::size_t i = 1; i < domains; ++i)
    {
        cr_assert_geq(rates[i], 48, "%.0f", rates[i]);
    }
}

// Guards against an overshoot over twice the limit, or longer than a lease, when lenders
// want their share back while cut off, and against a borrower that keeps a loan.
Test(overload_limits, overshoot_after_a_cut_is_bounded)
{
    fleet all;
    all.run(0, 5'001, {5'000, 0, 0, 0});
    all.cut = true;
    const std::array<double, domains> demand{5'000, 5'000, 5'000, 5'000};
    const auto lease = static_cast<int>(share_lease.count());
    const auto during = all.run(5'001, 5'001 + lease, demand);
    cr_assert_leq(total(during), 2 * limit, "%.0f", total(during));
    const auto after = all.run(5'001 + lease, 5'001 + lease + 5'000, demand);
    cr_assert_leq(total(after), 1.02 * limit, "%.0f", total(after));
}

// Guards against a cut-off domain that falls under its guaranteed share.
Test(overload_limits, undershoot_while_cut_off_is_the_guaranteed_share)
{
    fleet all;
    all.run(0, 3'001, {5'000, 0, 0, 0});
    all.cut = true;
    const auto rates = all.run(8'000, 12'000, {5'000, 0, 0, 0});
    cr_assert_geq(rates[0], 0.95 * limit / domains, "%.0f", rates[0]);
    cr_assert_leq(rates[0], 1.05 * limit / domains, "%.0f", rates[0]);
}

// Guards against nodes that go on with an old grant, or with none at all, when their
// share holder does not answer.
Test(overload_limits, nodes_without_a_holder_use_their_part)
{
    fleet all;
    all.run(0, 3'001, {5'000, 0, 0, 0});
    all.holders_lost = true;
    all.run(3'001, 6'000, {5'000, 5'000, 5'000, 5'000});
    const auto rates = all.run(6'000, 10'000, {5'000, 5'000, 5'000, 5'000});
    cr_assert_leq(total(rates), 1.02 * limit, "%.0f", total(rates));
    cr_assert_geq(total(rates), 0.95 * limit, "%.0f", total(rates));
}

// Guards against small limits that no node can use because its part is under one call.
Test(overload_limits, a_bucket_holds_at_least_one_call)
{
    token_bucket bucket{call_rate{0.01}, at(0)};
    cr_assert(bucket.try_take(at(0)));
    cr_assert_not(bucket.try_take(at(50'000)));
    cr_assert(bucket.try_take(at(101'000)));
}

// Guards against refusals far below the limit: with little traffic most nodes report no
// demand, and their next call came upon a share of nearly nothing.
Test(overload_limits, little_demand_leaves_each_node_room)
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
        cr_assert_geq(grant.message.rate.get(), 150.0, "%s is granted %.1f/s",
                      grant.node.get().c_str(), grant.message.rate.get());
    }
    cr_assert_leq(total, 1000.0 + 1e-6, "the grants pass the domain's share");
}

// Guards against nodes that choose different holders, and against many rows that move
// when one node leaves.
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
