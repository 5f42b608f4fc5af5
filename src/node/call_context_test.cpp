#include <criterion/criterion.h>

#include "fescueridge/node/call_context.hpp"
#include "fescueridge/node/sheet_holder.hpp"

using namespace fescueridge;

namespace
{

call_context make_context()
{
    return call_context(root_id("r"), caller_name("c"), root_class{priority(3)},
                        clock::now() + milliseconds(1000), retry_allowance(3));
}

std::string sheet_text(const std::string& service)
{
    return "kind,caller,service,priority,limit_per_s,timeout_ms,at_most_once,path,note\n"
           "rule,*," +
           service + ",5,,,,,\n";
}

} // namespace

// A downstream call whose parent has ended wastes capacity, because its result is no
// longer needed. Ending a call must cancel each of its downstream calls once.
Test(node_call_context, end_cancels_children_once)
{
    call_context context = make_context();
    int cancelled = 0;
    const auto kept = context.add_child([&] { ++cancelled; });
    const auto removed = context.add_child([&] { cancelled += 100; });
    cr_assert(kept.has_value());
    context.remove_child(*removed);
    context.end();
    context.end();
    cr_assert_eq(cancelled, 1);
    cr_assert(!context.add_child([] {}).has_value());
}

// A service may report several admission levels during one call. Only the latest level of
// each service must be kept.
Test(node_call_context, latest_level_of_a_service_is_kept)
{
    call_context context = make_context();
    context.add_levels({{service_name("a"), 5, 10}, {service_name("b"), 9, 0}});
    context.add_levels({{service_name("a"), 2, 20}});
    const auto levels = context.levels();
    cr_assert_eq(levels.size(), 2);
    cr_assert_eq(levels[0].cut_priority, 2);
}

// Sheets may arrive out of order or damaged. A sheet with an equal or lower version, or
// with invalid content, must not replace the sheet in force.
Test(node_sheet_holder, version_never_decreases)
{
    sheet_holder holder;
    cr_assert(holder.adopt(sheet_version(2), log_offset(1), sheet_text("a")));
    cr_assert(!holder.adopt(sheet_version(1), log_offset(2), sheet_text("b")));
    cr_assert(!holder.adopt(sheet_version(2), log_offset(2), sheet_text("b")));
    cr_assert(!holder.adopt(sheet_version(3), log_offset(3), "no sheet"));
    cr_assert(holder.version() == sheet_version(2));
    cr_assert(holder.get()->rules->find("a", "x", "/") != nullptr);
}
