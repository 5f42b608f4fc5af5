#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "fescueridge/base/random.hpp"
#include "fescueridge/log_service/log_service.hpp"

namespace fescueridge
{

/// How a stream is polled.
struct follow_options
{
    std::string stream;
    bool paused = false; ///< Polls only after set_following(true).
    std::uint32_t page_records = 256;
    milliseconds wait{2'000};    ///< Longest long poll; each poll draws 50 to 100% of it.
    milliseconds timeout{1'000}; ///< Added to the wait of a poll.
    milliseconds interval{0};    ///< Longest random pause between two polls.
    milliseconds min_backoff{100};   ///< First pause after an outage.
    milliseconds max_backoff{5'000}; ///< Longest pause in an outage.
};

/// The log's end lies before an offset that was read already.
class log_backwards_error : public error
{
public:
    log_backwards_error(const std::string& stream, log_offset known, log_offset seen);

    /// Returns the offset that this process had read up to.
    log_offset known() const noexcept { return known_; }

    /// Returns the end that the log service reports now.
    log_offset seen() const noexcept { return seen_; }

private:
    log_offset known_;
    log_offset seen_;
};

/// What a follower reports; called from its thread, without locks held.
struct follow_handlers
{
    /// A page starting at the offset asked for; may be empty.
    std::function<void(const log_page&)> page;
    /// Records that were not read yet are dropped; reading goes on at this offset.
    std::function<void(log_offset oldest)> truncated;
    /// The log is unavailable or went backwards; called once at the start of each
    /// kind of fault.
    std::function<void(const error&)> fault;
};

/// Reads a stream from its own thread, from offset 0 or the oldest retained record on.
class stream_follower
{
public:
    stream_follower(log_service& log, follow_options options, follow_handlers handlers);
    ~stream_follower();
    stream_follower(const stream_follower&) = delete;
    stream_follower& operator=(const stream_follower&) = delete;

    /// Pauses or resumes the polls; running at first.
    void set_following(bool following);

    /// Returns whether the last poll was answered; false before the first answer.
    bool reachable() const noexcept { return reachable_; }

    /// Interrupts the poll under way and ends the thread.
    void stop();

private:
    void run();
    bool may_poll();
    bool is_stopping();
    void poll();
    void pause(milliseconds longest);
    void back_off(const error& problem);

    log_service& log_;
    const follow_options options_;
    const follow_handlers handlers_;
    random_engine random_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    bool ended_ = false;
    bool following_ = true;
    log_offset next_{0};
    bool read_once_ = false;
    std::atomic<bool> reachable_{false};
    milliseconds backoff_{0};
    bool backwards_ = false;
    std::thread thread_;
};

} // namespace fescueridge
