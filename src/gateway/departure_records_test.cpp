#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <criterion/criterion.h>
#include <map>
#include <memory>
#include <optional>

#include "fescueridge/codec/messages.hpp"
#include "fescueridge/gateway/departure_records.hpp"

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

/// In-memory log that can fail: what it appends without an answer has taken effect.
class fake_log : public keyed_log
{
public:
    explicit fake_log(asio::io_context& io) : io_(io) {}

    void list_newest(const topic_name&, const std::string& after, milliseconds,
                     std::function<void(log_result<newest_page>)> done) override
    {
        newest_page page;
        const auto next = newest.upper_bound(after);
        if (next != newest.end())
            page.records.push_back({next->first, next->second});
        page.has_more = next != newest.end();
        answer(std::move(done), page);
    }

    void read(const topic_name&, log_offset, milliseconds, milliseconds,
              std::function<void(log_result<record_batch>)>) override
    {
    }

    void append(const topic_name&, const keyed_record& record, milliseconds,
                std::function<void(log_result<append_receipt>)> done) override
    {
        ++appends;
        if (failure != log_failure_kind::unavailable && record.value.empty())
            newest.erase(record.key);
        else if (failure != log_failure_kind::unavailable)
            newest[record.key] = record.value;
        answer(std::move(done), append_receipt{});
    }

    std::map<std::string, std::string> newest;
    std::optional<log_failure_kind> failure;
    unsigned appends = 0;

private:
    template <class Value>
    void answer(std::function<void(log_result<Value>)> done, const Value& value)
    {
        log_result<Value> result = value;
        if (failure)
            result = log_failure{*failure, "test"};
        asio::post(io_, [done = std::move(done), result] { done(result); });
    }

    asio::io_context& io_;
};

/// The departures of one process of a node.
struct process
{
    explicit process(fake_log& log)
        : decisions(io, node_id("vm-1")),
          records(settings(), log, decisions,
                  [this](const auto& stored) { listed = stored; })
    {
    }

    static const node_settings& settings()
    {
        static const node_settings result = []
        {
            node_settings made;
            made.node = node_id("vm-1");
            made.departures_topic = topic_name("departures");
            return made;
        }();
        return result;
    }

    asio::io_context io;
    decision_log decisions;
    std::optional<std::vector<departed_start>> listed;
    departure_records records;
};

const departed_start departed{instance_id("a"), 1'000};
constexpr milliseconds ack_delay{900};

} // namespace

// Guards against a departure that is acknowledged and then forgotten, as every process
// that knows of it is killed.
Test(departure_records, survive_the_end_of_the_process)
{
    asio::io_context io;
    fake_log log(io);
    {
        process first(log);
        first.records.store(departed);
        std::optional<bool> acknowledged;
        first.records.when_stored(ack_delay, [&](bool stored) { acknowledged = stored; });
        cr_expect(!acknowledged.has_value());
        io.poll();
        cr_expect(acknowledged == true);
    }
    process second(log);
    second.records.start();
    io.restart();
    io.poll();
    cr_assert(second.listed.has_value());
    cr_assert_eq(second.listed->size(), 1U);
    cr_expect(second.listed->front().id == departed.id);
    cr_expect_eq(second.listed->front().until_ms, departed.until_ms);
}

// Guards against an acknowledgement without a record while the log cannot be written, and
// against giving up.
Test(departure_records, are_not_acknowledged_before_the_log_has_them)
{
    for (const auto kind : {log_failure_kind::unavailable, log_failure_kind::unknown})
    {
        asio::io_context io;
        fake_log log(io);
        process node(log);
        log.failure = kind;
        node.records.store(departed);
        std::optional<bool> acknowledged;
        node.records.when_stored(ack_delay, [&](bool stored) { acknowledged = stored; });
        io.poll();
        const auto now = clock::now();
        node.records.poll(now + ack_delay / 2);
        cr_expect(!acknowledged.has_value());
        node.records.poll(now + 2 * ack_delay);
        cr_expect(acknowledged == false);
        io.restart();
        io.poll();
        log.failure.reset();
        node.records.poll(now + 4 * ack_delay);
        io.restart();
        io.poll();
        cr_expect_eq(node.records.waiting(), 0U);
        node.records.when_stored(ack_delay, [&](bool stored) { acknowledged = stored; });
        cr_expect(acknowledged == true);
    }
}

// Guards against a departure that the log loses when it comes back from an earlier copy.
Test(departure_records, are_written_again_to_a_restored_log)
{
    asio::io_context io;
    fake_log log(io);
    process node(log);
    node.records.store(departed);
    io.poll();
    log.newest.clear();
    node.records.on_log_restored();
    io.restart();
    io.poll();
    cr_expect_eq(log.newest.size(), 1U);
    cr_expect_eq(node.records.waiting(), 0U);
}

// Guards against records that accumulate: of a VM whose server is replaced often, and of
// VMs that are gone. What cannot be read is skipped.
Test(departure_records, are_bounded)
{
    asio::io_context io;
    fake_log log(io);
    process node(log);
    for (int n = 1; n <= 40; ++n)
    {
        node.records.store({instance_id("a" + std::to_string(n)), n});
        io.restart();
        io.poll();
    }
    cr_expect_eq(log.newest.size(), 16U);
    log.newest["vm-0/spoiled"] = "not a record";
    log.newest["vm-0/old"] = encode_frame(
        {0, departed_start_message{node_id("vm-0"), instance_id("z"), 1, 1}});
    process next(log);
    next.records.start();
    io.restart();
    io.poll();
    cr_assert(next.listed.has_value());
    cr_expect_eq(next.listed->size(), 16U);
    cr_expect_eq(next.listed->back().until_ms + next.listed->front().until_ms, 40 + 25);
    cr_expect_eq(log.newest.count("vm-0/old"), 0U);
    cr_expect_eq(log.newest.count("vm-0/spoiled"), 1U);
}
