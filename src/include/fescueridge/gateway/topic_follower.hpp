#pragma once

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "fescueridge/gateway/decision_log.hpp"
#include "fescueridge/gateway/keyed_log.hpp"

namespace fescueridge::gateway
{

/// Functions called by a topic_follower.
struct topic_callbacks
{
    /// Receives a record that was listed at the start or appended later. May receive
    /// older values of a key again.
    std::function<void(const keyed_record&)> on_record;
};

/// Minimum delay between a read that returned records and the next read. It starts at
/// `first` and doubles with each such read up to `longest`; a failure or a read without
/// records resets it.
struct read_delay
{
    milliseconds first{0};
    milliseconds longest{0};
};

/// Follows a topic: lists the newest record of each key, then reads new records. Failures
/// are retried with exponential backoff. When unread records have been truncated, the
/// keys are listed again.
class topic_follower : public std::enable_shared_from_this<topic_follower>
{
public:
    topic_follower(asio::io_context& io, keyed_log& log, decision_log& decisions,
                   topic_name topic, topic_callbacks callbacks, read_delay delay = {});

    void start();
    void stop();

    /// Returns the time since the log last answered, with records or with none.
    milliseconds unconfirmed_for() const { return clock::now() - confirmed_at_; }

private:
    void list_keys(const std::string& after);
    void read_records();
    void on_page(const newest_page& page);
    void on_batch(const record_batch& batch);
    void on_failure(const log_failure& failure, bool listing);
    void on_success();
    void schedule_retry(const std::function<void()>& next);
    void schedule(milliseconds delay, const std::function<void()>& next);

    keyed_log& log_;
    decision_log& decisions_;
    topic_name topic_;
    topic_callbacks callbacks_;
    read_delay read_delay_;
    milliseconds next_read_delay_;
    asio::steady_timer timer_;
    log_offset next_offset_;
    time_point confirmed_at_; ///< When the log last answered; the start before that.
    milliseconds retry_pause_{0};
    bool log_lost_ = false;
    bool stopped_ = false;
    std::string list_after_key_;
};

} // namespace fescueridge::gateway
