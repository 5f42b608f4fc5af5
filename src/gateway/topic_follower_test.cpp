#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <criterion/criterion.h>
#include <memory>
#include <optional>

#include "fescueridge/gateway/topic_follower.hpp"

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

/// In-memory log with one topic; a read completes when there is a record to return.
class memory_log : public keyed_log
{
public:
    explicit memory_log(asio::io_context& io) : io_(io) {}

    void list_newest(const topic_name&, const std::string&, milliseconds,
                     std::function<void(log_result<newest_page>)> done) override
    {
        newest_page page;
        page.end = log_offset(records_.size());
        asio::post(io_, [done, page] { done(page); });
    }

    void read(const topic_name&, log_offset from, milliseconds, milliseconds,
              std::function<void(log_result<record_batch>)> done) override
    {
        ++reads;
        pending_read_ = std::move(done);
        pending_offset_ = from.get();
        answer_pending_read();
    }

    void append(const topic_name&, const keyed_record& record, milliseconds,
                std::function<void(log_result<append_receipt>)> done) override
    {
        records_.push_back(record);
        asio::post(io_, [done] { done(append_receipt{}); });
        answer_pending_read();
    }

    unsigned reads = 0;

private:
    void answer_pending_read()
    {
        if (!pending_read_ || pending_offset_ >= records_.size())
            return;
        record_batch batch;
        batch.records.assign(records_.begin() +
                                 static_cast<std::ptrdiff_t>(pending_offset_),
                             records_.end());
        batch.next = log_offset(records_.size());
        asio::post(io_,
                   [done = std::exchange(pending_read_, {}), batch] { done(batch); });
    }

    asio::io_context& io_;
    std::vector<keyed_record> records_;
    std::function<void(log_result<record_batch>)> pending_read_;
    std::uint64_t pending_offset_ = 0;
};

/// Log whose first read falls silent: it ends only at its timeout, while a record is
/// appended. Later reads return the record.
class silent_log : public keyed_log
{
public:
    explicit silent_log(asio::io_context& io) : io_(io), timer_(io) {}

    void list_newest(const topic_name&, const std::string&, milliseconds,
                     std::function<void(log_result<newest_page>)> done) override
    {
        asio::post(io_, [done] { done(newest_page{}); });
    }

    void read(const topic_name&, log_offset from, milliseconds, milliseconds timeout,
              std::function<void(log_result<record_batch>)> done) override
    {
        if (std::exchange(silent_, false))
        {
            timer_.expires_after(timeout);
            timer_.async_wait(
                [done](asio::error_code) {
                    done(log_failure{log_failure_kind::unknown, "timed_out"});
                });
            return;
        }
        if (from.get() > 0)
            return;
        record_batch batch;
        batch.records.push_back({"config", "2"});
        batch.next = log_offset(1);
        asio::post(io_, [done, batch] { done(batch); });
    }

    void append(const topic_name&, const keyed_record&, milliseconds,
                std::function<void(log_result<append_receipt>)>) override
    {
    }

private:
    asio::io_context& io_;
    asio::steady_timer timer_;
    bool silent_ = true;
};

/// Log that answers each read without wait `delay` after it was sent. Waiting reads get
/// no answer.
class slow_log : public keyed_log
{
public:
    slow_log(asio::io_context& io, milliseconds delay) : io_(io), delay_(delay) {}

    void list_newest(const topic_name&, const std::string&, milliseconds,
                     std::function<void(log_result<newest_page>)> done) override
    {
        asio::post(io_, [done] { done(newest_page{}); });
    }

    void read(const topic_name&, log_offset, milliseconds wait, milliseconds,
              std::function<void(log_result<record_batch>)> done) override
    {
        if (wait > milliseconds{0})
            return;
        auto timer = std::make_shared<asio::steady_timer>(io_, delay_);
        timer->async_wait([timer, done](asio::error_code) { done(record_batch{}); });
    }

    void append(const topic_name&, const keyed_record&, milliseconds,
                std::function<void(log_result<append_receipt>)>) override
    {
    }

private:
    asio::io_context& io_;
    milliseconds delay_;
};

} // namespace

// An answer that was held up on its way proves nothing about the time since the probe was
// sent. A node that counted from the answer could tell its peers too short an age.
Test(topic_follower, counts_a_confirmation_from_the_sending_of_its_probe)
{
    constexpr milliseconds answer_delay{300};
    asio::io_context io;
    slow_log log(io, answer_delay);
    decision_log decisions(io, node_id("vm-1"));
    std::optional<milliseconds> age;
    std::shared_ptr<topic_follower> follower;
    topic_callbacks callbacks;
    callbacks.on_record = [](const keyed_record&) {
    };
    callbacks.on_probe_answered = [&]
    {
        age = follower->unconfirmed_for();
        io.stop();
    };
    follower = std::make_shared<topic_follower>(
        io, log, decisions, topic_name("op"), std::move(callbacks), read_delay{},
        freshness::probe_timing::for_config(milliseconds{2'000}));
    follower->start();
    io.run_for(std::chrono::milliseconds(3'000));
    follower->stop();
    cr_assert(age.has_value());
    cr_expect_geq(age->count(), answer_delay.count());
}

// Guards against a configuration that is not seen while the read waits on a silent
// connection: reads were given up after 21 s only.
Test(topic_follower, notices_a_silent_read_within_the_bound)
{
    asio::io_context io;
    silent_log log(io);
    decision_log decisions(io, node_id("vm-1"));
    unsigned received = 0;
    topic_callbacks callbacks;
    callbacks.on_record = [&](const keyed_record&)
    {
        ++received;
    };
    const auto follower = std::make_shared<topic_follower>(
        io, log, decisions, topic_name("op"), std::move(callbacks), read_delay{},
        freshness::probe_timing::for_config(milliseconds{2'000}));
    follower->start();
    io.run_for(std::chrono::milliseconds(2'000));
    follower->stop();
    cr_expect_eq(received, 1U);
}

// Without a delay between reads, each of 73 starting or restarted nodes read the log 73
// times, and these reads were the largest cost of such a restart. Records that arrive in
// quick succession must be read in batches.
Test(topic_follower, reads_records_in_batches_with_a_read_delay)
{
    asio::io_context io;
    memory_log log(io);
    decision_log decisions(io, node_id("vm-1"));
    unsigned received = 0;
    topic_callbacks callbacks;
    callbacks.on_record = [&](const keyed_record&)
    {
        ++received;
    };
    const read_delay delay{milliseconds{100}, milliseconds{400}};
    const auto follower = std::make_shared<topic_follower>(
        io, log, decisions, topic_name("nodes"), std::move(callbacks), delay);
    follower->start();
    asio::steady_timer timer(io);
    unsigned remaining = 50;
    std::function<void()> append_next = [&]
    {
        timer.expires_after(milliseconds{10});
        timer.async_wait(
            [&](asio::error_code)
            {
                log.append(topic_name("nodes"), {"vm", "record"}, milliseconds{100},
                           [](const log_result<append_receipt>&) {});
                if (--remaining > 0)
                    append_next();
            });
    };
    append_next();
    io.run_for(std::chrono::milliseconds(3'000));
    follower->stop();
    cr_expect_eq(received, 50U);
    cr_expect_leq(log.reads, 6U, "%u reads", log.reads);
}
