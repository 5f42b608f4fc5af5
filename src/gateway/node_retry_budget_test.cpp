#include <criterion/criterion.h>

#include "fescueridge/gateway/node_retry_budget.hpp"

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

const service_name tills("tills");
const service_name menu("menu");
const time_point start{milliseconds{1'000'000}};
constexpr milliseconds window{10'000};

/// Simulates a window in which every request fails. Returns the retries made by one of
/// `nodes` nodes.
double retries_in_window(std::size_t nodes, double slack, int requests, bool for_client)
{
    node_retry_budget budget(0.2, slack, window);
    budget.set_node_count(nodes);
    int retries = 0;
    for (int i = 0; i < requests; ++i)
    {
        const auto now = start + window * i / requests;
        budget.on_request(tills, now);
        retries += budget.try_spend(tills, {}, for_client, now) ? 1 : 0;
    }
    return retries;
}

} // namespace

// Retries must not amplify an overload: the shared budget has to hold even when every
// request fails on every node.
Test(node_retry_budget, stays_within_the_shared_budget_when_everything_fails)
{
    constexpr std::size_t nodes = 17;
    constexpr double slack = 49;
    for (const int requests : {10, 100, 1'000, 10'000})
    {
        const double sum = nodes * retries_in_window(nodes, slack, requests, true);
        cr_expect_leq(sum, 0.2 * nodes * requests + slack, "%d requests: %f", requests,
                      sum);
    }
}

// The split among nodes must not leave most of the budget unused while requests fail.
Test(node_retry_budget, spends_most_of_the_ratio_under_steady_failures)
{
    cr_expect_gt(retries_in_window(17, 49, 10'000, true), 0.15 * 10'000);
}

// A node that does not yet know how many nodes share the slack must not spend any of it.
Test(node_retry_budget, spends_no_slack_while_the_nodes_are_unknown)
{
    node_retry_budget budget(0.2, 49, window);
    cr_expect(!budget.try_spend(tills, {}, true, start));
}

// Calls of running requests must not exhaust the tokens that client requests need.
Test(node_retry_budget, reserves_tokens_for_client_requests)
{
    node_retry_budget budget(0.2, 1'000, window);
    budget.set_node_count(1);
    budget.on_request(tills, start);
    while (budget.try_spend(tills, {}, false, start))
    {
    }
    cr_expect(budget.try_spend(tills, {}, true, start));
}

// A retry also repeats the calls of the retried run. It must be refused when a called
// service has no budget left for them.
Test(node_retry_budget, charges_the_services_called_by_a_retry)
{
    node_retry_budget budget(0.2, 20, window);
    budget.set_node_count(2);
    budget.on_request(menu, start);
    cr_expect(!budget.try_spend(menu, {{tills, 100}}, true, start));
    cr_expect(budget.try_spend(menu, {{tills, 1}}, true, start));
}

// Fewer requests are admitted while a service turns requests away. Their calls need the
// retries that the requests of the window before allow, and no more than those.
Test(node_retry_budget, keeps_the_inflow_while_fewer_requests_are_admitted)
{
    constexpr int before = 10'000;
    node_retry_budget budget(0.2, 0, window);
    budget.set_node_count(1);
    for (int i = 0; i < before; ++i)
        budget.on_request(tills, start + window * i / before);
    const auto trouble = start + window;
    budget.keep_inflow(tills, trouble);
    int retries = 0;
    for (milliseconds passed{0}; passed < window; passed += milliseconds{1})
        retries += budget.try_spend(tills, {}, false, trouble + passed) ? 1 : 0;
    cr_expect_gt(retries, 0.15 * before);
    cr_expect_leq(retries, 0.2 * before);
    const auto end = trouble + window;
    budget.keep_inflow(tills, end);
    cr_expect(!budget.keeps_inflow(tills, end), "not for two windows in a row");
    while (budget.try_spend(tills, {}, false, end))
    {
    }
    cr_expect(!budget.try_spend(tills, {}, false, end + milliseconds{500}));
}
