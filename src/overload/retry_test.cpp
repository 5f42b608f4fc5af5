#include "fescueridge/overload/retry.hpp"

#include <criterion/criterion.h>

#include <atomic>
#include <thread>
#include <vector>

using namespace fescueridge;

namespace
{

time_point at(int seconds)
{
    return time_point{std::chrono::seconds{1'000 + seconds}};
}

const retry_allowance full_allowance{3};

} // namespace

// A wrong decision runs a non-idempotent call twice, adds load under overload, or charges
// for a retry although nothing ran. The table lists the expected decision for each
// outcome and reason.
Test(overload_retry, decides_by_outcome_and_reason)
{
    using reason = refusal_reason;
    const retry_decision never = retry_never{};
    const retry_decision paid = retry_paid{};
    const retry_decision free = retry_free{};
    struct decision_case
    {
        failed_attempt attempt;
        retry_decision expected;
    };
    const std::vector<decision_case> cases{
        {{outcome::ok, {}, true, true, false}, never},
        {{outcome::not_run, {}, true, true, false}, never},
        {{outcome::not_run, reason::overload, true, true, false}, never},
        {{outcome::not_run, reason::overload_downstream, true, true, false}, never},
        {{outcome::not_run, reason::limit, true, true, false}, never},
        {{outcome::not_run, reason::quarantined, true, true, false}, never},
        {{outcome::not_run, reason::deadline, true, true, false}, never},
        {{outcome::not_run, reason::log_unavailable, true, true, false}, never},
        {{outcome::not_run, reason::draining, false, true, false}, free},
        {{outcome::not_run, reason::server_gone, false, false, false}, free},
        {{outcome::not_run, reason::draining, true, true, true}, never},
        {{outcome::not_run, reason::link_broken, false, false, false}, paid},
        {{outcome::not_run, reason::shutting_down, false, true, false}, paid},
        {{outcome::unknown, reason::server_failed, true, true, false}, paid},
        {{outcome::unknown, reason::server_failed, false, true, false}, never},
        {{outcome::unknown, reason::link_broken, true, true, false}, paid},
        {{outcome::unknown, reason::link_broken, false, true, false}, never},
        {{outcome::unknown, reason::deadline, true, true, false}, never},
        {{outcome::unknown, reason::cancelled, true, true, false}, never},
        {{outcome::unknown, reason::key_in_use, true, true, false}, never},
        {{outcome::failed, {}, true, true, false}, paid},
        {{outcome::failed, reason::server_failed, true, true, false}, paid},
        {{outcome::failed, reason::server_failed, false, true, false}, never},
        {{outcome::failed, reason::bad_request, true, true, false}, never},
    };
    for (std::size_t i = 0; i < cases.size(); ++i)
    {
        cr_expect_eq(decide_retry(cases[i].attempt).index(), cases[i].expected.index(),
                     "wrong retry decision in row %zu of the table", i);
    }
}

// Parallel downstream calls cannot spend the same allowance: while it is transferred to
// one call, others get 0, and only the returned part is available again.
Test(overload_retry, transferred_allowance_is_unavailable_to_parallel_calls)
{
    allowance_account account{full_allowance};
    cr_assert_eq(account.take_all().get(), 3);
    cr_assert_eq(account.take_all().get(), 0);
    cr_assert_not(account.try_spend());
    account.return_unused(retry_allowance{2});
    cr_assert(account.try_spend());
    cr_assert_eq(account.remaining().get(), 1);
}

// Calls of one context run on several threads. Detects a race between spending and
// returning allowance that loses or duplicates part of it.
Test(overload_retry, parallel_calls_spend_each_unit_once)
{
    allowance_account account{retry_allowance{1'000}};
    std::atomic<int> spent{0};
    std::vector<std::thread> threads;
    for (int t = 0; t < 4; ++t)
    {
        threads.emplace_back(
            [&]
            {
                for (int i = 0; i < 2'000; ++i)
                {
                    spent += account.try_spend() ? 1 : 0;
                    account.return_unused(account.take_all());
                }
            });
    }
    for (auto& each : threads)
    {
        each.join();
    }
    cr_assert_eq(spent.load(), 1'000);
    cr_assert_eq(account.remaining().get(), 0);
}

// More than 0.1 retries per first attempt would multiply the load when a service fails.
Test(overload_retry, budget_allows_a_tenth_of_first_attempts)
{
    retry_budget budget;
    while (budget.try_spend())
    {
    }
    int retries = 0;
    for (int i = 0; i < 1'000; ++i)
    {
        budget.on_first_attempt();
        retries += budget.try_spend() ? 1 : 0;
    }
    cr_assert_eq(retries, 100);
}

// A paid retry needs both allowance and budget. If one of them is missing, the other is
// not spent.
Test(overload_retry, paid_retry_spends_allowance_and_budget_or_neither)
{
    retry_budget budget;
    allowance_account none{retry_allowance{0}};
    for (int i = 0; i < 100; ++i)
    {
        cr_assert_not(charge_retry(retry_paid{}, none, budget));
    }
    allowance_account ample{retry_allowance{1'000}};
    int paid = 0;
    while (charge_retry(retry_paid{}, ample, budget))
    {
        ++paid;
    }
    cr_assert_eq(paid, 5);
    cr_assert_eq(ample.remaining().get(), 995);
    cr_assert(charge_retry(retry_free{}, none, budget));
    cr_assert_not(charge_retry(retry_never{}, ample, budget));
}

// A client could gain executions by resending a root request. All its attempts together
// run at most 1 + 3 times, whatever each attempt used.
Test(overload_retry, resends_share_one_allowance)
{
    root_ledger ledger;
    const root_id root{"r"};
    int executions = 0;
    std::uint32_t left =
        std::get<new_root>(ledger.begin_attempt(root, 1, full_allowance, at(0)))
            .allowance.get();
    executions += 1;
    cr_assert(std::holds_alternative<exhausted_root>(
        ledger.begin_attempt(root, 2, full_allowance, at(0))));
    left -= 1;
    executions += 1;
    ledger.end_attempt(root, retry_allowance{left}, true, at(1));
    for (std::uint32_t attempt = 2; attempt < 10; ++attempt)
    {
        const auto begun_attempt =
            ledger.begin_attempt(root, attempt, full_allowance, at(2));
        if (const auto* resumed = std::get_if<resumed_root>(&begun_attempt))
        {
            executions += 1;
            ledger.end_attempt(root, resumed->allowance, true, at(3));
        }
    }
    cr_assert_eq(executions, 4);
}

// A resend of which nothing ran does not use up the allowance.
Test(overload_retry, attempts_that_did_not_run_are_refunded)
{
    root_ledger ledger;
    const root_id root{"r"};
    ledger.begin_attempt(root, 1, full_allowance, at(0));
    ledger.end_attempt(root, full_allowance, true, at(0));
    for (int i = 0; i < 2; ++i)
    {
        const auto resumed =
            std::get<resumed_root>(ledger.begin_attempt(root, 2, full_allowance, at(1)));
        cr_assert_eq(resumed.allowance.get(), 2);
        ledger.end_attempt(root, resumed.allowance, false, at(1));
    }
}

// An unknown resend gets no new allowance, and a full ledger does not grow. Entries stay
// for 30 s after the end of the root request.
Test(overload_retry, ledger_is_bounded_and_expires_after_30_s)
{
    root_ledger ledger{16};
    const auto unknown = ledger.begin_attempt(root_id{"x"}, 2, full_allowance, at(0));
    cr_assert_not(std::get<unrecorded_root>(unknown).ledger_full);
    cr_assert(std::holds_alternative<exhausted_root>(
        ledger.begin_attempt(root_id{"x"}, 5, full_allowance, at(0))));
    int ledger_full_count = 0;
    for (int i = 0; i < 1'000; ++i)
    {
        const root_id root{std::to_string(i)};
        const auto begun_attempt = ledger.begin_attempt(root, 1, full_allowance, at(0));
        const auto* unrecorded = std::get_if<unrecorded_root>(&begun_attempt);
        ledger_full_count += unrecorded != nullptr && unrecorded->ledger_full ? 1 : 0;
        ledger.end_attempt(root, full_allowance, true, at(0));
    }
    cr_assert_eq(ledger.size(), 16);
    cr_assert_eq(ledger_full_count, 984);
    ledger.expire(at(29));
    cr_assert_eq(ledger.size(), 16);
    ledger.expire(at(30));
    cr_assert_eq(ledger.size(), 0);
}
