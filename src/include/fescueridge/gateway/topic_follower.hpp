#pragma once

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "fescueridge/gateway/decision_log.hpp"
#include "fescueridge/gateway/keyed_log.hpp"

namespace fescueridge::gateway
{

/// What a topic_follower reports.
struct topic_callbacks
{
    /// A record, as listed at the start or appended later. May repeat older values.
    std::function<void(const keyed_record&)> on_record;
};

/// Least time from an answer with records to the next read. It begins with `first` and
/// doubles with each such answer up to `longest`; a read that finds nothing new, or a
/// failure, sets it back.
struct read_rest
{
    milliseconds first{0};
    milliseconds longest{0};
};

/// Follows a topic: lists the newest record of each key, then waits for new records.
/// Failures are retried with growing pauses; when records were dropped meanwhile, the
/// keys are listed anew.
class topic_follower : public std::enable_shared_from_this<topic_follower>
{
public:
    topic_follower(asio::io_context& io, keyed_log& log, decision_log& decisions,
                   topic_name topic, topic_callbacks callbacks, read_rest rest = {});

    void start();
    void stop();

private:
    void list(const std::string& after);
    void read();
    void take(const newest_page& page);
    void take(const record_batch& batch);
    void failed(const log_failure& failure, bool listing);
    void contact();
    void after_pause(const std::function<void()>& next);
    void after(milliseconds pause, const std::function<void()>& next);

    keyed_log& log_;
    decision_log& decisions_;
    topic_name topic_;
    topic_callbacks callbacks_;
    read_rest rest_;
    milliseconds next_rest_;
    asio::steady_timer timer_;
    log_offset next_;
    milliseconds pause_{0};
    bool lost_ = false;
    bool stopped_ = false;
    std::string last_key_;
};

} // namespace fescueridge::gateway
