#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <criterion/criterion.h>

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

} // namespace

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
