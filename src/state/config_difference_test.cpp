#include <atomic>
#include <criterion/criterion.h>
#include <mutex>
#include <random>
#include <thread>

#include "fescueridge/log_service/memory_log_service.hpp"
#include "fescueridge/state/config_follower.hpp"

using namespace fescueridge;

namespace
{

constexpr milliseconds timeout{500};

template <class Predicate>
bool eventually(Predicate&& predicate)
{
    const time_point deadline = clock::now() + milliseconds(5'000);
    while (!predicate())
    {
        if (clock::now() > deadline)
        {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(2));
    }
    return true;
}

std::string make_sheet(const std::string& mark)
{
    std::string content;
    for (int i = 0; i < 40; ++i)
    {
        content += "row," + std::to_string(i) + (i == 20 ? mark : "") + "\n";
    }
    return content;
}

log_record record_at(std::uint64_t offset, const config_record& record)
{
    return {log_offset(offset), static_cast<std::int64_t>(offset) * 10,
            encode_config_record(record)};
}

submit_difference_record make_difference_submit(const std::string& id, std::uint64_t base,
                                                const std::string& from,
                                                const std::string& to)
{
    return {id, sheet_version(base), "author-" + id,
            find_difference(make_sheet(from), make_sheet(to))};
}

submit_record make_sheet_submit(const std::string& id, std::uint64_t base)
{
    return {id, sheet_version(base), "author-" + id, make_sheet(id)};
}

config_follower_options fast_options()
{
    config_follower_options options;
    options.follow.max_poll_wait = milliseconds(50);
    options.follow.min_backoff = milliseconds(5);
    options.follow.max_backoff = milliseconds(40);
    return options;
}

template <class Record>
std::size_t count_records(const memory_log_service& log)
{
    std::size_t count = 0;
    for (const log_record& record : log.records("config"))
    {
        const config_record decoded = decode_config_record(record.data);
        count += std::holds_alternative<Record>(decoded) ? 1 : 0;
    }
    return count;
}

} // namespace

// Submits with differences must be decided like those with whole sheets: in log order,
// with the accepted submit reported to the rejected one, and once for a repeated id.
Test(config_difference, log_order_decides_differences)
{
    config_state state;
    state.add(record_at(0, make_sheet_submit("a", 0)));
    state.add(record_at(1, make_difference_submit("b", 1, "a", "b")));
    state.add(record_at(2, make_difference_submit("c", 1, "a", "c")));
    state.add(record_at(3, make_difference_submit("b", 1, "a", "b")));
    const config_table& table = state.table();
    cr_assert(table.version() == sheet_version(2));
    cr_assert(table.content() == make_sheet("b"));
    cr_assert_str_eq(table.author().c_str(), "author-b");
    cr_assert(std::holds_alternative<submit_accepted>(table.find_decision("b")));
    const auto rejected = std::get<submit_rejected>(table.find_decision("c"));
    cr_assert_str_eq(rejected.winner_author.c_str(), "author-b");
    cr_assert_eq(table.differences_to_replay(), 1);
    cr_assert(table.last_step()->version == sheet_version(2));
}

// A difference that was computed from another base must advance the version but not
// change the content, which would not match the version. The content must stay unknown
// until a whole sheet of the current version is read.
Test(config_difference, difference_of_another_base_is_not_applied)
{
    config_state state;
    state.add(record_at(0, make_sheet_submit("a", 0)));
    state.add(record_at(1, make_difference_submit("b", 1, "other", "b")));
    cr_assert(state.table().version() == sheet_version(2));
    cr_assert(!state.table().has_content());
    state.add(record_at(2, make_difference_submit("c", 2, "b", "c")));
    cr_assert(!state.table().has_content(), "the base of this difference is unknown");
    state.add(record_at(3, sheet_checkpoint_record{sheet_version(2), log_offset(2),
                                                   make_sheet("b"), "ben"}));
    cr_assert(!state.table().has_content(), "a checkpoint of an older version");
    state.add(record_at(4, sheet_checkpoint_record{sheet_version(3), log_offset(3),
                                                   make_sheet("c"), "cleo"}));
    cr_assert(state.table().has_content());
    cr_assert(state.table().content() == make_sheet("c"));
    cr_assert_str_eq(state.table().author().c_str(), "cleo");
}

// A reader that starts in mid-stream must apply differences to the sheet of the
// checkpoint and keep the author stored in it.
Test(config_difference, mid_stream_reader_replays_from_checkpoint)
{
    config_state state;
    state.restart(log_offset(5));
    state.add(record_at(5, make_difference_submit("c", 2, "b", "c")));
    state.add(record_at(6, sheet_checkpoint_record{sheet_version(2), log_offset(5),
                                                   make_sheet("b"), "ben"}));
    cr_assert(state.complete());
    cr_assert(state.table().version() == sheet_version(3));
    cr_assert(state.table().content() == make_sheet("c"));
    config_state checkpoint_reader;
    checkpoint_reader.restart(log_offset(6));
    checkpoint_reader.add(
        record_at(6, sheet_checkpoint_record{sheet_version(2), log_offset(6),
                                             make_sheet("b"), "ben"}));
    cr_assert_str_eq(checkpoint_reader.table().author().c_str(), "ben");
}

// A reader that cannot apply a difference must report it and keep the version in force.
// Once a peer offers a whole sheet of the new version, it must apply later differences.
Test(config_difference, rejected_difference_is_reported_and_repaired_by_peer)
{
    memory_log_service log;
    std::mutex mutex;
    std::vector<std::string> faults;
    config_follower_handlers handlers;
    handlers.fault = [&](const std::string& name, const std::string&)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        faults.push_back(name);
    };
    config_follower follower(log, fast_options(), handlers);
    follower.set_following(true);
    log.append("config", encode_config_record(make_sheet_submit("a", 0)), timeout);
    cr_assert(eventually([&] { return follower.current().has_value(); }));
    log.append("config",
               encode_config_record(make_difference_submit("b", 1, "other", "b")),
               timeout);
    cr_assert(eventually(
        [&]
        {
            const std::lock_guard<std::mutex> lock(mutex);
            return faults == std::vector<std::string>{"sheet_difference_refused"};
        }));
    cr_assert(follower.current()->version == sheet_version(1));
    cr_assert(follower.offer({sheet_version(2), log_offset(2), make_sheet("b")}));
    log.append("config", encode_config_record(make_difference_submit("c", 2, "b", "c")),
               timeout);
    cr_assert(
        eventually([&] { return follower.current()->version == sheet_version(3); }));
    cr_assert(follower.current()->content == make_sheet("c"));
}

// A small change must be appended as a difference and a large one as a whole sheet, also
// when the answer to an append is lost.
Test(config_difference, submit_appends_the_smaller_record)
{
    memory_log_service log;
    std::mutex mutex;
    std::vector<sheet_step> steps;
    config_follower_handlers handlers;
    handlers.changed = [&](const sheet_in_force& sheet)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        steps.insert(steps.end(), sheet.steps.begin(), sheet.steps.end());
    };
    config_follower follower(log, fast_options(), handlers);
    const auto submit = [&](const std::string& content, std::uint64_t base)
    {
        const submit_decision result =
            follower.submit(content, sheet_version(base), "ana");
        cr_assert(std::get<submit_accepted>(result).version == sheet_version(base + 1));
        cr_assert(eventually(
            [&] { return follower.current()->version == sheet_version(base + 1); }));
        cr_assert(follower.current()->content == content);
    };
    submit(make_sheet("a"), 0);
    log.set_append_faults([] { return memory_log_service::append_fault::lost_answer; });
    submit(make_sheet("b"), 1);
    log.set_append_faults({});
    submit(make_sheet("c"), 2);
    submit("short\n", 3);
    cr_assert_eq(count_records<submit_record>(log), 2);
    cr_assert_geq(count_records<submit_difference_record>(log), 2);
    const std::lock_guard<std::mutex> lock(mutex);
    cr_assert_eq(steps.size(), 2);
    cr_assert(steps[0].version == sheet_version(2));
    cr_assert_str_eq(steps[1].author.c_str(), "ana");
    cr_assert(apply_difference(make_sheet("b"), decode_difference(steps[1].difference)) ==
              make_sheet("c"));
}

// A checkpoint must be appended after 1,000 differences. Otherwise the number of
// differences that a new reader replays would be unbounded.
Test(config_difference, checkpoint_is_due_after_many_differences)
{
    memory_log_service log;
    config_follower_options options = fast_options();
    options.retention = milliseconds(4'000);
    config_follower follower(log, options, {});
    log.append("config", encode_config_record(make_sheet_submit("0", 0)), timeout);
    for (std::uint64_t i = 1; i <= 999; ++i)
    {
        log.append("config",
                   encode_config_record(make_difference_submit(
                       std::to_string(i), i, std::to_string(i - 1), std::to_string(i))),
                   timeout);
    }
    follower.set_following(true);
    cr_assert(eventually([&] { return follower.caught_up(); }));
    cr_assert_eq(count_records<sheet_checkpoint_record>(log), 0);
    log.append("config",
               encode_config_record(make_difference_submit("1000", 1000, "999", "1000")),
               timeout);
    cr_assert(
        eventually([&] { return count_records<sheet_checkpoint_record>(log) == 1; }));
}

// The history must stay within its limits on steps and bytes, and must never return steps
// with a gap between versions.
Test(config_difference, history_is_bounded_and_contiguous)
{
    sheet_history history;
    cr_assert(!history.since(sheet_version(0)));
    const auto add = [&](std::uint64_t version, std::size_t bytes)
    {
        history.add({sheet_version(version), log_offset(0), "", std::string(bytes, 'x')});
    };
    for (std::uint64_t version = 1; version <= 1200; ++version)
    {
        add(version, 100);
    }
    cr_assert(!history.since(sheet_version(199)));
    cr_assert_eq(history.since(sheet_version(200))->size(), 1000);
    cr_assert_eq(history.since(sheet_version(1199))->size(), 1);
    cr_assert(!history.since(sheet_version(1200)));
    add(1201, sheet_history::max_bytes - 150);
    cr_assert_eq(history.since(sheet_version(1199))->size(), 2);
    cr_assert(!history.since(sheet_version(1198)));
    add(1200, 10);
    cr_assert_eq(history.since(sheet_version(1199))->size(), 2,
                 "an older step is ignored");
    add(1203, 10);
    cr_assert(!history.since(sheet_version(1201)), "version 1202 is missing");
    cr_assert_eq(history.since(sheet_version(1202))->size(), 1);
}
