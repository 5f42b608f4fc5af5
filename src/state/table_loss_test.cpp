#include <atomic>
#include <criterion/criterion.h>
#include <mutex>
#include <thread>

#include "claim_test_support.hpp"
#include "fescueridge/log_service/memory_log_service.hpp"
#include "fescueridge/state/claim_client.hpp"

using namespace fescueridge;
using test::claim;
using test::is;

namespace
{

const std::string stream = "claims.publish";
constexpr milliseconds retention{400};

claim_client_options client_options(std::uint64_t node)
{
    claim_client_options options;
    options.service = service_name("publish");
    options.node = incarnation(node);
    options.retention = retention;
    options.append_interval = milliseconds(1);
    options.max_done_delay = milliseconds(5);
    options.decision_timeout = milliseconds(300);
    options.append_timeout = milliseconds(100);
    options.follow.max_poll_wait = milliseconds(20);
    options.follow.min_backoff = milliseconds(5);
    options.follow.max_backoff = milliseconds(30);
    return options;
}

template <class Condition>
bool eventually(const Condition& condition)
{
    const time_point deadline = clock::now() + milliseconds(5'000);
    while (!condition() && clock::now() < deadline)
    {
        std::this_thread::sleep_for(milliseconds(5));
    }
    return condition();
}

bool has_table_lost_record(const memory_log_service& log)
{
    for (const log_record& raw : log.records(stream))
    {
        if (std::holds_alternative<claims_table_lost>(decode_claims_record(raw.data)))
        {
            return true;
        }
    }
    return false;
}

log_record record_at(std::uint64_t offset, std::int64_t wall_ms,
                     const claims_record& record)
{
    return {log_offset(offset), wall_ms, encode_claims_record(record)};
}

claims_record make_claim_record(std::uint64_t key, const std::string& call)
{
    return claims_batch{{claim_entry{key_hash(key), call_id(call), incarnation(1),
                                     std::chrono::hours(24)}}};
}

} // namespace

// After its last checkpoint was dropped, a service must not refuse at-most-once calls
// forever, and must not accept them before the earlier keys have expired.
Test(table_loss, service_recovers_after_keys_expire, .timeout = 30)
{
    memory_log_service log;
    std::atomic<std::int64_t> clock_offset_ms{0};
    log.set_wall_clock([&] { return wall_clock_ms() + clock_offset_ms; });
    {
        claim_client first(log, client_options(1));
        cr_assert(is<claim_granted>(claim(first, "key", "a-1")));
        cr_assert(first.confirm_dispatch(call_id("a-1"), clock::now()));
        first.finish(call_id("a-1"));
    }
    log.drop_before(stream, log_offset(100));
    std::mutex mutex;
    std::string events;
    claim_client client(log, client_options(2),
                        [&](const std::string& name, const std::string&)
                        {
                            const std::lock_guard<std::mutex> lock(mutex);
                            events += name + " ";
                        });
    cr_assert(is<claim_unavailable>(claim(client, "key", "b-1")));
    cr_assert(eventually([&] { return has_table_lost_record(log); }));
    const auto is_reported = [&]
    {
        const std::lock_guard<std::mutex> lock(mutex);
        return events.find("claims_table_lost") != std::string::npos;
    };
    cr_assert(eventually(is_reported));
    clock_offset_ms = max_remember_time.count() - 10'000;
    log.append(stream, encode_claims_record(claims_batch{}), milliseconds(100));
    std::this_thread::sleep_for(milliseconds(100));
    cr_assert(!client.ready());
    cr_assert(is<claim_unavailable>(claim(client, "key", "b-2")));
    clock_offset_ms = max_remember_time.count() + 10'000;
    log.append(stream, encode_claims_record(claims_batch{}), milliseconds(100));
    cr_assert(eventually([&] { return client.ready(); }));
    cr_assert(is<claim_granted>(claim(client, "key", "b-3")));
}

// A running node must append checkpoints even if its table is empty. Otherwise its last
// checkpoint is dropped, and a new node declares the table lost.
Test(table_loss, running_node_appends_checkpoints_of_empty_table, .timeout = 30)
{
    memory_log_service log;
    log.set_retention(retention);
    claim_client idle(log, client_options(1));
    cr_assert(eventually([&] { return idle.ready(); }));
    cr_assert(is<claim_granted>(claim(idle, "key", "a-1")));
    cr_assert(idle.abandon(call_id("a-1")));
    std::this_thread::sleep_for(4 * retention);
    claim_client fresh(log, client_options(2));
    cr_assert(eventually([&] { return fresh.ready(); }));
    cr_assert(is<claim_granted>(claim(fresh, "key", "b-1")));
    cr_assert(!has_table_lost_record(log));
}

// A delayed claims_table_lost record must not discard a table that readers know. After a
// valid one, all readers must reject the claims made while the table is unknown.
Test(table_loss, delayed_table_lost_record_is_ignored)
{
    const claims_table_lost delayed{log_offset(0), std::chrono::hours(24)};
    const claims_table_lost valid{log_offset(2), std::chrono::hours(24)};
    claims_state known;
    known.add(record_at(0, 0, make_claim_record(1, "a")));
    known.add(record_at(1, 0, delayed));
    cr_assert(known.table().find(key_hash(1)).has_value());
    claims_state fresh;
    fresh.restart(log_offset(1));
    fresh.add(record_at(1, 0, delayed));
    cr_assert(!fresh.complete());
    for (claims_state* reader : {&known, &fresh})
    {
        reader->table().take_decisions();
        reader->add(record_at(2, 1'000, valid));
        cr_assert(reader->complete());
        reader->add(record_at(3, 2'000, make_claim_record(1, "b")));
        const auto decisions = reader->table().take_decisions();
        cr_assert(decisions.size() == 1 && !decisions[0].granted &&
                  decisions[0].table_unknown);
    }
    const claims_checkpoint checkpoint = known.table().to_checkpoint(log_offset(4));
    cr_assert_eq(checkpoint.unknown_until_ms, 24 * 3'600'000 + 1'000);
    claims_state later;
    later.restart(log_offset(4));
    later.add(record_at(4, 3'000, checkpoint));
    cr_assert_eq(later.table().unknown_until_ms(), checkpoint.unknown_until_ms);
    later.add(record_at(5, checkpoint.unknown_until_ms, make_claim_record(1, "c")));
    cr_assert(later.table().take_decisions().at(0).granted);
}

// A reader that was paused, or had no answer from the log, must not declare a table
// lost before another node had time to append a checkpoint.
Test(table_loss, wait_restarts_after_a_pause)
{
    table_loss_timer timer;
    const time_point start{milliseconds(1'000)};
    const auto is_due_at = [&](int at_ms)
    {
        return timer.is_due(true, start + milliseconds(at_ms), milliseconds(800));
    };
    cr_assert(!is_due_at(0) && !is_due_at(200) && !is_due_at(399));
    cr_assert(is_due_at(400));
    cr_assert(!is_due_at(500) && !is_due_at(700));
    cr_assert(!is_due_at(1'000), "no page for over a quarter of the retention");
    timer.reset();
    cr_assert(!is_due_at(1'100) && !is_due_at(1'300) && !is_due_at(1'450));
    cr_assert(is_due_at(1'500));
}
