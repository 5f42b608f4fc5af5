#include <algorithm>
#include <criterion/criterion.h>
#include <set>

#include "fescueridge/node/sheet_pulls.hpp"
#include "fescueridge/node/sheet_tree.hpp"

using namespace fescueridge;

namespace
{

std::vector<node_id> nodes(std::size_t count)
{
    std::vector<node_id> result;
    result.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        result.emplace_back("node-" + std::to_string(i));
    }
    return result;
}

} // namespace

// Differences are forwarded along the distribution tree of the failure domain. The tree
// must contain every live node exactly once and stay within its fan-out and 3 levels.
Test(sheet_sync, tree_reaches_every_node_once)
{
    for (const std::size_t count : {0, 1, 3, 4, 40, 1380})
    {
        const auto live = nodes(count);
        const auto readers = sheet_readers(live);
        std::set<node_id> reached(readers.begin(), readers.end());
        std::vector<node_id> level = readers;
        std::size_t levels = 0;
        while (!level.empty())
        {
            std::vector<node_id> next_level;
            for (const node_id& node : level)
            {
                const auto children = sheet_children(node, live);
                cr_assert_leq(children.size(), sheet_tree_fan_out);
                next_level.insert(next_level.end(), children.begin(), children.end());
            }
            for (const node_id& node : next_level)
            {
                cr_assert(reached.insert(node).second, "reached twice");
            }
            levels += next_level.empty() ? 0 : 1;
            level = std::move(next_level);
        }
        cr_assert_eq(reached.size(), count);
        cr_assert_leq(levels, 3);
    }
    cr_assert(sheet_children(node_id("unknown"), nodes(40)).empty());
}

// A node must pull only if the distribution tree has not delivered a newer sheet in time.
// It must not pull again while a pull is active, but must retry if it gets no answer.
Test(sheet_sync, pulls_one_at_a_time_after_tree_delay)
{
    sheet_pull_scheduler scheduler;
    const time_point start = clock::now();
    const auto at = [&](int ms)
    {
        return start + milliseconds(ms);
    };
    cr_assert(scheduler.is_overdue(sheet_version(0), true, at(0)),
              "a fresh node, which has no sheet, must pull without delay");
    const sheet_version current(4);
    cr_assert(!scheduler.is_overdue(current, true, at(0)));
    cr_assert(!scheduler.is_overdue(current, false, at(200)));
    cr_assert(!scheduler.is_overdue(current, true, at(400)));
    cr_assert(scheduler.is_overdue(current, true, at(800)));
    cr_assert(scheduler.try_begin(at(800)));
    cr_assert(!scheduler.try_begin(at(1700)));
    cr_assert(scheduler.try_begin(at(1800)));
    scheduler.end();
    cr_assert(scheduler.try_begin(at(1900)));
    cr_assert(!scheduler.is_overdue(sheet_version(5), true, at(1900)),
              "a version change must restart the delay");
}

// When many nodes pull at once, a node must limit the bytes it sends per second. It must
// still answer with a sheet that is larger than the budget of one second.
Test(sheet_sync, answers_are_bounded)
{
    sheet_answer_budget budget;
    const time_point start = clock::now();
    const auto answered = [&](std::size_t bytes, time_point now)
    {
        int count = 0;
        while (count < 1000 && budget.try_consume(bytes, now))
        {
            ++count;
        }
        return count;
    };
    cr_assert_eq(answered(346'000, start), 13);
    cr_assert_eq(answered(346'000, start + milliseconds(1)), 0);
    cr_assert(answered(346'000, start + milliseconds(1001)) >= 11);
    sheet_answer_budget large;
    cr_assert_eq(large.try_consume(std::size_t{8} * 1024 * 1024, start), true);
    cr_assert_eq(large.try_consume(1, start + milliseconds(900)), false);
}
