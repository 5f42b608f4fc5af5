#include <atomic>
#include <criterion/criterion.h>
#include <map>
#include <thread>

#include "claim_test_support.hpp"
#include "fescueridge/log_service/memory_log_service.hpp"
#include "fescueridge/state/claim_client.hpp"

using namespace fescueridge;
using test::claim;
using test::is;

namespace
{

using fault = memory_log_service::append_fault;

const service_name service{"publish"};
const std::string stream = "claims.publish";
constexpr std::int64_t day_ms = std::int64_t{24} * 3'600'000;
constexpr milliseconds week{7 * day_ms};

claim_entry make_claim(std::uint64_t key, const std::string& call)
{
    return {key_hash(key), call_id(call), incarnation(1), week};
}

release_entry make_release(std::uint64_t key, const std::string& call)
{
    return {key_hash(key), call_id(call)};
}

/// Replays entries, one per record, and stores the decisions.
struct replay
{
    claims_state state;
    std::map<std::string, bool> granted;
    std::int64_t wall_ms = 0;

    void add(const claims_record& record)
    {
        state.add({state.next(), wall_ms, encode_claims_record(record)});
        for (const claim_decision& decision : state.table().take_decisions())
        {
            granted[decision.call.get()] = decision.granted;
        }
    }
    void add(const claims_entry& entry) { add(claims_record(claims_batch{{entry}})); }
    bool is_held_by(std::uint64_t key, const std::string& call) const
    {
        const std::optional<key_holder> holder = state.table().find(key_hash(key));
        return holder && holder->call && holder->call->get() == call;
    }
    bool is_free(std::uint64_t key) const { return !state.table().find(key_hash(key)); }
    bool is_done(std::uint64_t key) const
    {
        const std::optional<key_holder> holder = state.table().find(key_hash(key));
        return holder && holder->done();
    }
};

claim_client_options client_options(std::uint64_t node)
{
    claim_client_options options;
    options.service = service;
    options.node = incarnation(node);
    options.append_interval = milliseconds(1);
    options.max_done_delay = milliseconds(20);
    options.decision_timeout = milliseconds(300);
    options.append_timeout = milliseconds(100);
    options.follow.max_poll_wait = milliseconds(50);
    options.follow.min_backoff = milliseconds(5);
    options.follow.max_backoff = milliseconds(30);
    return options;
}

bool wait_for_releases(memory_log_service& log, std::uint64_t min_releases)
{
    const time_point deadline = clock::now() + milliseconds(3'000);
    while (clock::now() < deadline)
    {
        std::uint64_t releases = 0;
        for (const log_record& raw : log.records(stream))
        {
            const claims_record record = decode_claims_record(raw.data);
            for (const claims_entry& entry : std::get<claims_batch>(record).entries)
            {
                releases += std::holds_alternative<release_entry>(entry) ? 1 : 0;
            }
        }
        if (releases >= min_releases)
        {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(2));
    }
    return false;
}

} // namespace

// A key must never be granted to two calls. A rejected claim must stay rejected after the
// first one is released, and a release entry must also apply to a claim that follows it
// in the log.
Test(claims, first_valid_claim_is_granted)
{
    replay log;
    log.add(make_claim(1, "a"));
    log.add(make_claim(1, "b"));
    log.add(make_release(1, "a"));
    log.add(make_claim(1, "b"));
    cr_assert(log.granted.at("a") && !log.granted.at("b"));
    cr_assert(log.is_free(1), "the claim of b stays rejected");
    log.add(make_claim(1, "c"));
    cr_assert(log.is_held_by(1, "c"));
    log.add(make_release(2, "d"));
    log.add(make_claim(2, "d"));
    cr_assert_eq(log.granted.count("d"), 0,
                 "a release entry also applies to a later claim");
    log.add(make_claim(2, "e"));
    cr_assert(log.is_held_by(2, "e"));
    log.add(done_entry{key_hash(2), call_id("e")});
    log.add(make_release(2, "e"));
    cr_assert(log.is_done(2), "a done key is not released");
}

// The table does not keep the call of a done key. A done key must still not be freed by
// later entries, and only the call that holds a key may mark it as done.
Test(claims, done_keys_stay_held)
{
    replay log;
    log.add(make_claim(1, "a"));
    log.add(make_claim(1, "b"));
    log.add(done_entry{key_hash(1), call_id("b")});
    cr_assert(log.is_held_by(1, "a"), "a done entry of a rejected call is ignored");
    log.add(make_release(1, "b"));
    cr_assert(log.is_held_by(1, "a"));
    for (int i = 0; i < 2; ++i)
    {
        log.add(done_entry{key_hash(1), call_id("a")});
        cr_assert(log.is_done(1), "done entry %d", i);
    }
    for (const char* call : {"a", "b"})
    {
        log.add(make_release(1, call));
        cr_assert(log.is_done(1), "release entry of %s", call);
    }
    log.add(make_claim(1, "a"));
    log.add(make_claim(1, "c"));
    cr_assert(log.is_done(1) && !log.granted.at("c"));
}

// When a done entry follows the expiry of its key, one node may have freed the key
// already and another not yet. All nodes must ignore the entry, or they would decide
// differently.
Test(claims, done_after_expiry_is_ignored)
{
    replay log;
    log.add(make_claim(1, "a"));
    log.wall_ms = 7 * day_ms;
    log.add(claims_record(
        claims_batch{{done_entry{key_hash(1), call_id("a")}, make_claim(1, "b")}}));
    cr_assert(log.granted.at("b"));
    cr_assert(log.is_held_by(1, "b"));
}

// A done key must not be dropped before it expires. It may stay up to an hour longer,
// until the end of the hour in which it expires.
Test(claims, done_keys_expire_with_their_hour)
{
    replay log;
    log.wall_ms = 1;
    log.add(make_claim(1, "a"));
    log.add(done_entry{key_hash(1), call_id("a")});
    log.wall_ms = 7 * day_ms + 3'600'000 - 1;
    log.add(make_claim(1, "b"));
    cr_assert(!log.granted.at("b"));
    log.wall_ms = 7 * day_ms + 3'600'000;
    log.add(make_claim(1, "c"));
    cr_assert(log.granted.at("c"));
}

// All nodes must drop a key at the same record of the log. Expiry must therefore depend
// only on the times in the log and the remember time in the claim.
Test(claims, keys_expire_by_log_time)
{
    replay log;
    log.add(make_claim(1, "a"));
    log.wall_ms = 7 * day_ms - 1;
    log.add(make_claim(1, "b"));
    cr_assert(!log.granted.at("b"));
    log.wall_ms = 7 * day_ms;
    log.add(make_claim(1, "c"));
    cr_assert(log.granted.at("c"));
}

// Retention drops the records of claims and release entries. A checkpoint must preserve
// them, or a new node would grant a held key, or a claim whose release entry precedes it.
Test(claims, checkpoint_preserves_keys_and_tombstones)
{
    replay log;
    log.add(make_claim(1, "a"));
    log.add(make_release(2, "late"));
    log.add(make_claim(3, "done"));
    log.add(done_entry{key_hash(3), call_id("done")});
    const claims_record checkpoint = log.state.table().to_checkpoint(log.state.next());
    claims_checkpoint stale;
    stale.as_of = log_offset(1);

    replay fresh;
    fresh.state.restart(log_offset(4));
    fresh.add(claims_record(stale));
    cr_assert(!fresh.state.complete(), "an unverified checkpoint is skipped");
    fresh.add(make_claim(1, "b"));
    cr_assert_eq(fresh.granted.size(), 0);
    fresh.add(checkpoint);
    cr_assert(fresh.state.complete());
    cr_assert(fresh.is_held_by(1, "a") && !fresh.granted.at("b"));
    cr_assert(fresh.is_done(3));
    fresh.add(make_claim(2, "late"));
    cr_assert(fresh.is_free(2));
}

// A malformed record must not be decoded as a table: truncated fields, the earlier
// checkpoint layout, and done keys with incomplete hashes or in the wrong order.
Test(claims, malformed_records_are_rejected)
{
    using namespace std::string_literals;
    // The fields of a checkpoint before its done keys: as_of 1, time 0, known, no keys.
    const std::string checkpoint = "\x87\x03\x01\x00\x00\x80"s;
    const std::string one_hash = "\x48\x01\0\0\0\0\0\0\0"s;
    const auto with_done_keys = [&](const std::string& done)
    {
        return checkpoint + done + "\x80";
    };
    const auto decoded = decode_claims_record(with_done_keys("\x82\x05" + one_hash));
    const done_keys::buckets wanted{{5, {1}}};
    cr_assert(std::get<claims_checkpoint>(decoded).done == wanted);
    const std::vector<std::string> malformed{
        "",
        "\x81\x07",
        "\x82\x01\x02",
        "\x83\x03\x01\x01",
        "\x83\x04\x01\x20"s,                             // unknown time below 0
        "\x83\x04\x01\x1a\xff\xff\xff\xff"s,             // unknown time over 31 days
        "\x85\x02\x01\x00\x80\x80"s,                     // earlier checkpoint layout
        with_done_keys("\x81\x05"),                      // hour without a bucket
        with_done_keys("\x82\x05\x40"),                  // empty bucket
        with_done_keys("\x82\x05\x47\x01\0\0\0\0\0\0"s), // incomplete hash
        with_done_keys("\x82\x20" + one_hash),           // hour below 0
        with_done_keys("\x84\x05" + one_hash + "\x05" + one_hash), // repeated hour
        with_done_keys("\x82\x05\x50"s + one_hash.substr(1) +
                       one_hash.substr(1)) // repeated hash
    };
    for (const std::string& bytes : malformed)
    {
        cr_assert_throw(decode_claims_record(bytes), codec_error);
    }
}

// When two nodes claim a key at the same time, only one may be granted it. A later call
// with the same key must be answered with whether the first call has ended.
Test(claims, two_nodes_claim_one_key)
{
    memory_log_service log;
    claim_client a(log, client_options(1));
    claim_client b(log, client_options(2));
    const auto claim_is_granted = [](claim_client& client, const std::string& call)
    {
        return is<claim_granted>(claim(client, "key", call));
    };
    auto b_granted =
        std::async(std::launch::async, [&] { return claim_is_granted(b, "b-1"); });
    const bool a_granted = claim_is_granted(a, "a-1");
    cr_assert(a_granted != b_granted.get());
    claim_client& winner = a_granted ? a : b;
    const call_id call(a_granted ? "a-1" : "b-1");
    cr_assert(!std::get<claim_key_in_use>(claim(a, "key", "a-2")).done);
    cr_assert(winner.confirm_dispatch(call, clock::now()));
    cr_assert(!winner.confirm_dispatch(call, clock::now()),
              "a call is dispatched only once");
    winner.finish(call);
    std::this_thread::sleep_for(milliseconds(200));
    cr_assert(std::get<claim_key_in_use>(claim(b, "key", "b-2")).done);
}

// When the log fails, calls must be refused in less than 1 s. A claim may reach the log
// after its caller was answered "not run"; the release entry must then free its key.
Test(claims, log_faults_refuse_in_time)
{
    memory_log_service log;
    claim_client client(log, client_options(1));
    cr_assert(is<claim_granted>(claim(client, "warm", "a-0")));
    log.set_append_faults([] { return fault::lost_answer; });
    cr_assert(is<claim_granted>(claim(client, "lost", "a-1")),
              "the claim is read back after a lost answer");
    log.set_append_faults([] { return fault::delayed; }, milliseconds(500));
    const time_point start = clock::now();
    cr_assert(is<claim_unavailable>(claim(client, "late", "a-2")));
    cr_assert(clock::now() - start < milliseconds(1'000));
    cr_assert(!client.confirm_dispatch(call_id("a-2"), clock::now()));
    log.set_append_faults({});
    cr_assert(wait_for_releases(log, 1), "the release entry is appended");
    std::this_thread::sleep_for(milliseconds(500));
    cr_assert(is<claim_granted>(claim(client, "late", "a-3")),
              "the release entry frees the key");
    log.set_down(true);
    const time_point down_since = clock::now();
    cr_assert(is<claim_unavailable>(claim(client, "down", "a-4")));
    cr_assert(clock::now() - down_since < milliseconds(1'000));
}

// A holder that was paused past the deadline must not dispatch its call. If abandon()
// and confirm_dispatch() race, exactly one of them must succeed.
Test(claims, paused_holder_and_abandon_race)
{
    memory_log_service log;
    claim_client client(log, client_options(1));
    cr_assert(is<claim_granted>(claim(client, "frozen", "a-0", milliseconds(400))));
    const time_point resumed_at = clock::now() + milliseconds(400);
    cr_assert(!client.confirm_dispatch(call_id("a-0"), resumed_at));
    for (int i = 1; i <= 50; ++i)
    {
        const call_id call("a-" + std::to_string(i));
        cr_assert(is<claim_granted>(claim(client, call.get(), call.get())));
        auto abandoned =
            std::async(std::launch::async, [&] { return client.abandon(call); });
        const bool dispatched = client.confirm_dispatch(call, clock::now());
        cr_assert(abandoned.get() != dispatched);
    }
}

// A node must not grant keys while its table is incomplete. Here the record that claims a
// key is dropped, and the log contains no checkpoint.
Test(claims, new_node_without_complete_table_refuses)
{
    memory_log_service log;
    log.append(stream, encode_claims_record(claims_batch{{make_claim(1, "a")}}),
               milliseconds(100));
    log.append(stream, encode_claims_record(claims_batch{}), milliseconds(100));
    log.drop_before(stream, log_offset(1));
    claim_client client(log, client_options(1));
    cr_assert(is<claim_unavailable>(claim(client, "key", "b-1")));
    cr_assert(!client.ready());
    cr_assert_eq(log.append_count(), 2);
}

// Claims that arrive within one append interval must share an append. The log service
// accepts only several hundred appends per second.
Test(claims, claims_are_committed_in_groups)
{
    memory_log_service log;
    claim_client_options options = client_options(1);
    options.append_interval = milliseconds(20);
    claim_client client(log, options);
    std::atomic<int> granted_count{0};
    for (int i = 0; i < 200; ++i)
    {
        client.acquire(idempotency_key(std::to_string(i)), call_id(std::to_string(i)),
                       milliseconds(2'000),
                       [&](const claim_result& r)
                       { granted_count += is<claim_granted>(r) ? 1 : 0; });
    }
    std::this_thread::sleep_for(milliseconds(200));
    cr_assert_eq(granted_count, 200);
    cr_assert(log.append_count() < 10, "%zu appends", log.append_count());
    client.stop();
}
