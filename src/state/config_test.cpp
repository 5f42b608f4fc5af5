#include <algorithm>
#include <atomic>
#include <criterion/criterion.h>
#include <mutex>
#include <random>
#include <thread>

#include "fescueridge/log_service/memory_log_service.hpp"
#include "fescueridge/state/config_follower.hpp"
#include "fescueridge/state/contacts_log.hpp"
#include "fescueridge/state/quarantine_log.hpp"
#include "test_seed.hpp"

using namespace fescueridge;

namespace
{

using fault = memory_log_service::append_fault;

constexpr milliseconds timeout{500};

template <class Predicate>
bool eventually(Predicate&& predicate, milliseconds limit = milliseconds(5'000))
{
    const time_point deadline = clock::now() + limit;
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

log_record record_at(std::uint64_t offset, const config_record& record)
{
    return {log_offset(offset), static_cast<std::int64_t>(offset) * 10,
            encode_config_record(record)};
}

submit_record make_submit(const std::string& id, std::uint64_t base)
{
    return {id, sheet_version(base), "author-" + id, "content-" + id};
}

sheet_checkpoint_record make_checkpoint(std::uint64_t version, std::uint64_t as_of,
                                        const std::string& id)
{
    return {sheet_version(version), log_offset(as_of), "content-" + id};
}

config_follower_options fast_options()
{
    config_follower_options options;
    options.follow.max_poll_wait = milliseconds(50);
    options.follow.min_backoff = milliseconds(5);
    options.follow.max_backoff = milliseconds(40);
    return options;
}

} // namespace

// Of two submits with the same base, only the first in the log may be accepted. A submit
// repeated under its id must count once.
Test(config, first_submit_in_log_order_wins)
{
    config_state state;
    state.add(record_at(0, make_submit("a", 0)));
    state.add(record_at(1, make_submit("b", 0)));
    state.add(record_at(2, make_submit("a", 0)));
    state.add(record_at(3, make_submit("c", 1)));
    const config_table& table = state.table();
    cr_assert(table.version() == sheet_version(2));
    cr_assert_str_eq(table.content().c_str(), "content-c");
    const auto accepted_submit = std::get<submit_accepted>(table.find_decision("a"));
    cr_assert(accepted_submit.version == sheet_version(1));
    const auto rejected = std::get<submit_rejected>(table.find_decision("b"));
    cr_assert_str_eq(rejected.winner_id.c_str(), "a");
    cr_assert_str_eq(rejected.winner_author.c_str(), "author-a");
    cr_assert(std::holds_alternative<submit_not_seen>(table.find_decision("d")));
}

// After old records were dropped, a new reader must be able to start from a checkpoint.
// It must skip a delayed checkpoint if records between its `as_of` and the checkpoint are
// missing, since the sheet in it may be outdated.
Test(config, mid_stream_reader_requires_verified_checkpoint)
{
    config_state reader;
    reader.restart(log_offset(5));
    reader.add(record_at(5, make_submit("x", 3)));
    reader.add(record_at(6, make_checkpoint(2, 4, "old")));
    cr_assert(!reader.complete(),
              "a record between as_of 4 and the checkpoint was dropped");
    reader.add(record_at(7, make_checkpoint(3, 5, "three")));
    cr_assert(reader.complete());
    cr_assert(reader.table().version() == sheet_version(4),
              "records are replayed from as_of on");
    cr_assert_str_eq(reader.table().content().c_str(), "content-x");
    reader.add(record_at(8, make_checkpoint(2, 4, "old")));
    cr_assert(reader.table().version() == sheet_version(4),
              "a stale checkpoint is ignored");
}

// Malformed records must be reported and skipped; they must neither stop a reader nor
// change its state.
Test(config, malformed_records_are_reported_and_skipped)
{
    config_state state;
    cr_assert(state.add({log_offset(0), 0, "garbage"}).has_value());
    cr_assert(state.add(record_at(1, make_checkpoint(9, 7, "future"))).has_value());
    cr_assert(!state.add(record_at(2, make_submit("a", 0))).has_value());
    cr_assert(state.table().version() == sheet_version(1));
    for (const char* bytes : {"", "\x80", "\x81\x01", "\x84\x02\x01\x01\x01"})
    {
        cr_assert_throw(decode_config_record(bytes), codec_error);
    }
}

// Several operators submit concurrently to a log that loses answers, loses appends and
// delays effects. Each accepted submit must create exactly one version, and no other
// submit may create one. Otherwise an update would be lost.
Test(config, concurrent_operators_with_log_faults)
{
    const std::uint64_t seed = test::test_seed();
    cr_log_info("seed %llu", static_cast<unsigned long long>(seed));
    memory_log_service log;
    std::mt19937_64 random(seed);
    log.set_append_faults(
        [&random]
        {
            const auto draw = random() % 10;
            return draw < 2   ? fault::lost_answer
                   : draw < 3 ? fault::lost_append
                   : draw < 4 ? fault::delayed
                              : fault::none;
        },
        milliseconds(80));
    std::mutex mutex;
    std::map<std::uint64_t, std::string> accepted;
    const auto run_operator = [&](int number)
    {
        config_follower follower(log, fast_options(), {});
        for (int i = 0; i < 4; ++i)
        {
            const auto base = follower.current();
            const std::string content = std::to_string(number) + "/" + std::to_string(i);
            const submit_decision result = follower.submit(
                content, base ? base->version : sheet_version(0), "operator");
            if (const auto* accepted_submit = std::get_if<submit_accepted>(&result))
            {
                const std::lock_guard<std::mutex> lock(mutex);
                cr_assert(
                    accepted.emplace(accepted_submit->version.get(), content).second);
            }
            else
            {
                cr_assert(std::holds_alternative<submit_rejected>(result), "seed %llu",
                          static_cast<unsigned long long>(seed));
            }
        }
    };
    std::vector<std::thread> operators;
    for (int i = 0; i < 4; ++i)
    {
        operators.emplace_back(run_operator, i);
    }
    for (std::thread& thread : operators)
    {
        thread.join();
    }
    config_state replay;
    for (const log_record& record : log.records("config"))
    {
        replay.add(record);
        const std::uint64_t version = replay.table().version().get();
        cr_assert(version == 0 || accepted.at(version) == replay.table().content());
    }
    cr_assert_eq(replay.table().version().get(), accepted.size());
}

// The version in force must not decrease after an outage of the log, on an older sheet
// from a peer, or when the end of the log goes backwards.
Test(config, version_in_force_never_decreases)
{
    memory_log_service log;
    std::mutex mutex;
    std::vector<std::uint64_t> published_versions;
    std::vector<std::string> faults;
    config_follower_handlers handlers;
    handlers.changed = [&](const sheet_in_force& sheet)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        published_versions.push_back(sheet.version.get());
    };
    handlers.fault = [&](const std::string& name, const std::string&)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        faults.push_back(name);
    };
    const auto reported = [&](const std::string& name)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        return std::find(faults.begin(), faults.end(), name) != faults.end();
    };
    for (int i = 0; i < 3; ++i)
    {
        log.append("config", encode_config_record(make_submit(std::to_string(i), i)),
                   timeout);
    }
    config_follower follower(log, fast_options(), handlers);
    follower.set_following(true);
    cr_assert(eventually([&] { return follower.caught_up() && follower.current(); }));
    cr_assert(follower.offer({sheet_version(5), log_offset(9), "five"}));
    cr_assert(!follower.offer({sheet_version(4), log_offset(8), "four"}));
    log.set_down(true);
    cr_assert(eventually([&] { return reported("log_unavailable"); }));
    log.rewind("config", log_offset(1));
    log.set_down(false);
    cr_assert(eventually([&] { return reported("log_backwards"); }));
    for (int i = 1; i < 6; ++i)
    {
        log.append("config",
                   encode_config_record(make_submit("n" + std::to_string(i), i)),
                   timeout);
    }
    cr_assert(
        eventually([&] { return follower.current()->version == sheet_version(6); }));
    cr_assert(follower.current()->content == "content-n5");
    follower.stop();
    cr_assert(std::is_sorted(published_versions.begin(), published_versions.end()));
    cr_assert_eq(published_versions.front(), 3,
                 "a reader publishes no version before it has caught up");
}

// A reader must detect an empty stream without waiting for a whole long poll. The first
// at-most-once calls of a new service were refused until then.
Test(config, empty_stream_is_detected_without_long_poll)
{
    memory_log_service log;
    config_follower_options options;
    options.follow.max_poll_wait = milliseconds(4'000); // a long poll takes at least 2 s
    config_follower follower(log, options, {});
    follower.set_following(true);
    cr_assert(eventually([&] { return follower.caught_up(); }, milliseconds(1'000)));
    cr_assert(!follower.current());
    log.append("config", encode_config_record(make_submit("a", 0)), timeout);
    cr_assert(eventually([&] { return follower.current().has_value(); }));
}

// When a tool repeats a submit through the same or another node, it must neither count
// twice nor be rejected because of its own earlier append.
Test(config, repeated_submit_id_gets_the_first_decision)
{
    memory_log_service log;
    config_follower first(log, fast_options(), {});
    config_follower second(log, fast_options(), {});
    const auto submit = [](config_follower& follower, const char* id)
    {
        return follower.submit("content", sheet_version(0), "ana", id);
    };
    cr_assert(std::get<submit_accepted>(submit(first, "id-1")).version ==
              sheet_version(1));
    cr_assert(std::get<submit_accepted>(submit(first, "id-1")).version ==
              sheet_version(1));
    cr_assert_eq(log.append_count(), 1, "a known decision needs no append");
    cr_assert(std::get<submit_accepted>(submit(second, "id-1")).version ==
              sheet_version(1));
    const auto rejected = std::get<submit_rejected>(submit(second, "id-2"));
    cr_assert_str_eq(rejected.winner_id.c_str(), "id-1");
    cr_assert(std::holds_alternative<submit_rejected>(submit(first, "")),
              "an empty id is a new submit");
    cr_assert(second.current()->version == sheet_version(1));
}

// A sheet that no operator changes must not be lost when retention drops its record.
Test(config, checkpoint_preserves_sheet_past_retention)
{
    memory_log_service log;
    log.set_retention(milliseconds(400));
    log.append("config", encode_config_record(make_submit("a", 0)), timeout);
    config_follower_options options = fast_options();
    options.retention = milliseconds(400);
    config_follower first(log, options, {});
    config_follower second(log, options, {});
    first.set_following(true);
    second.set_following(true);
    std::this_thread::sleep_for(milliseconds(1'000));
    config_follower fresh(log, options, {});
    fresh.set_following(true);
    cr_assert(eventually([&] { return fresh.current().has_value(); }));
    cr_assert(fresh.current()->version == sheet_version(1));
    cr_assert(log.append_count() < 20, "too many checkpoints: %zu appends",
              log.append_count());
}

// A submit may be reported as having no effect only if no append of it can be in the log.
// Once an append may have taken effect, its result is unknown.
Test(config, submit_with_unavailable_log)
{
    memory_log_service log;
    log.set_down(true);
    config_follower_options options = fast_options();
    options.submit_timeout = milliseconds(200);
    config_follower follower(log, options, {});
    cr_assert_throw(follower.submit("x", sheet_version(0), "a"), log_unavailable_error);
    log.set_down(false);
    log.set_append_faults([] { return fault::lost_append; });
    cr_assert(std::holds_alternative<submit_not_seen>(
        follower.submit("x", sheet_version(0), "a")));
}

// A quarantine record must keep its crashes in a round trip. A malformed record must not
// hide the other records of the streams `quarantine` and `contacts`.
Test(config, quarantine_and_contacts)
{
    memory_log_service log;
    log.append("quarantine", "garbage", timeout);
    std::atomic<std::size_t> crashes{0};
    follow_options options;
    options.max_poll_wait = milliseconds(50);
    quarantine_follower follower(log, options,
                                 [&](const quarantine_record& record)
                                 { crashes = record.crashes.size(); });
    quarantine_record record;
    record.request = fingerprint(~std::uint64_t{0});
    record.crashes = {{incarnation(7), false}, {incarnation(~std::uint64_t{0}), true}};
    follower.append(record, timeout);
    cr_assert(eventually([&] { return crashes == 2; }));

    const contact a{domain_name("a"), {"127.0.0.1", 1}};
    const contact b{domain_name("b"), {"127.0.0.1", 2}};
    write_contacts(log, {a, b}, timeout);
    write_contacts(log, {{a.domain, {"127.0.0.1", 3}}}, timeout);
    log.append("contacts", "garbage", timeout);
    log.drop_before("quarantine", log_offset(1));
    const std::vector<contact> latest = read_latest_contacts(log, timeout);
    cr_assert_eq(latest.size(), 2);
    cr_assert_eq(latest[0].gossip.port, 3);
}
