#pragma once

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "fescueridge/base/random.hpp"
#include "fescueridge/gateway/decision_log.hpp"
#include "fescueridge/gateway/freshness.hpp"
#include "fescueridge/gateway/keyed_log.hpp"

namespace fescueridge::gateway
{

/// Functions called by a topic_follower.
struct topic_callbacks
{
    /// Receives a record that was listed at the start or appended later. May receive
    /// older values of a key again.
    std::function<void(const keyed_record&)> on_record;

    /// The log has answered a probe; may be empty.
    std::function<void()> on_probe_answered;
};

/// Minimum delay between a read that returned records and the next read. It starts at
/// `first` and doubles with each such read up to `longest`; a failure or a read without
/// records resets it.
struct read_delay
{
    milliseconds first{0};
    milliseconds longest{0};
};

/// Follows a topic: lists the newest record of each key, then waits for new records.
/// Failures are retried with exponential backoff. When unread records have been
/// truncated, the keys are listed again.
///
/// With a probe timing, a topic that has not been confirmed in time is probed by a read
/// that does not wait, on another connection: the waiting one may have fallen silent.
class topic_follower : public std::enable_shared_from_this<topic_follower>
{
public:
    topic_follower(asio::io_context& io, keyed_log& log, decision_log& decisions,
                   topic_name topic, topic_callbacks callbacks, read_delay delay = {},
                   std::optional<freshness::probe_timing> probes = {});

    void start();
    void stop();

    /// Lists the keys anew, because the log was restored and the offset is not valid.
    void restart();

    /// Returns the time since the last confirmation that no record is missing.
    milliseconds unconfirmed_for() const { return clock::now() - confirmed_at_; }

    /// Records that another node knows no newer record than this one, confirmed at `at`.
    void confirm(time_point at) { confirmed_at_ = std::max(confirmed_at_, at); }

    /// Returns whether the keys have been listed once.
    bool listed() const noexcept { return listed_; }

    /// Returns the number of records that were skipped because they could not be read.
    std::uint64_t skipped() const noexcept { return skipped_; }

private:
    void list_keys(const std::string& after);
    void read_records();
    void on_page(const newest_page& page);
    void on_batch(const record_batch& batch);
    void on_failure(const log_failure& failure, bool listing);
    void log_failure_once(const log_failure& failure);
    void on_success(time_point complete_at);
    void skip(std::size_t unreadable);
    void deliver(const record_batch& batch);
    void schedule_probe(milliseconds delay);
    void probe();
    void on_probe(const log_result<record_batch>& result, time_point sent_at);
    bool is_current(std::uint64_t chain) const { return !stopped_ && chain_ == chain; }
    milliseconds next_probe_delay();
    void abandon_waiting_read();
    void schedule_retry(const std::function<void()>& next);
    void schedule(milliseconds delay, const std::function<void()>& next);

    keyed_log& log_;
    decision_log& decisions_;
    topic_name topic_;
    topic_callbacks callbacks_;
    read_delay read_delay_;
    milliseconds next_read_delay_;
    std::optional<freshness::probe_timing> probes_;
    asio::steady_timer timer_;
    asio::steady_timer probe_timer_;
    log_offset next_offset_;
    time_point confirmed_at_;    ///< Last confirmation; the start before the first one.
    std::uint64_t chain_ = 0;    ///< Number of the current sequence of waiting reads.
    std::uint64_t restarts_ = 0; ///< A probe sent before the last one proves nothing.
    milliseconds retry_pause_{0};
    bool retry_scheduled_ = false;
    milliseconds probe_timeout_{0}; ///< Doubles with each probe that times out.
    random_engine random_;
    bool log_lost_ = false;
    bool listed_ = false;
    std::uint64_t skipped_ = 0;
    bool stopped_ = false;
    std::string list_after_key_;
};

} // namespace fescueridge::gateway
