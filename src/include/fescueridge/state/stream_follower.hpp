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

/// Options of a stream_follower.
struct follow_options
{
    std::string stream;
    bool start_paused = false; ///< Polls only after set_following(true).
    std::uint32_t max_page_records = 256;
    /// Longest long poll; each poll draws 50 to 100% of this.
    milliseconds max_poll_wait{2'000};
    milliseconds answer_timeout{1'000}; ///< Added to the drawn wait of each poll.
    milliseconds max_poll_interval{0};  ///< Longest random pause between two polls.
    milliseconds min_backoff{100};      ///< First pause of an outage.
    milliseconds max_backoff{5'000};    ///< Longest pause of an outage.
};

/// The end of the stream lies below the offset up to which it was already read.
class log_backwards_error : public error
{
public:
    log_backwards_error(const std::string& stream, log_offset read_offset,
                        log_offset end_offset);

    /// Returns the offset up to which this process has read the stream.
    log_offset read_offset() const noexcept { return read_offset_; }

    /// Returns the end of the stream as reported by the log service.
    log_offset end_offset() const noexcept { return end_offset_; }

private:
    log_offset read_offset_;
    log_offset end_offset_;
};

/// Callbacks of a stream_follower; they run on its thread without locks held.
struct follow_handlers
{
    /// Passes a page that starts at the requested offset; it may be empty.
    std::function<void(const log_page&)> page;
    /// Called when records that were not read yet have been dropped; reading continues at
    /// `oldest`.
    std::function<void(log_offset oldest)> truncated;
    /// Called once at the start of each kind of fault: the log is unavailable, or its end
    /// went backwards.
    std::function<void(const error&)> fault;
};

/// Reads a stream on its own thread, from offset 0 or from the oldest retained record.
class stream_follower
{
public:
    stream_follower(log_service& log, follow_options options, follow_handlers handlers);
    ~stream_follower();
    stream_follower(const stream_follower&) = delete;
    stream_follower& operator=(const stream_follower&) = delete;

    /// Resumes or pauses polling. Polling is on initially unless the options disable it.
    void set_following(bool following);

    /// Returns whether the last poll was answered; false before the first answer.
    bool reachable() const noexcept { return reachable_; }

    /// Interrupts the current poll and ends the thread.
    void stop();

private:
    void run();
    bool wait_until_poll_allowed();
    bool is_stopping();
    void poll();
    void pause_randomly(milliseconds max_pause);
    void back_off(const error& problem);

    log_service& log_;
    const follow_options options_;
    const follow_handlers handlers_;
    random_engine random_;
    std::mutex mutex_;
    std::condition_variable state_changed_;
    bool stopping_ = false;
    bool thread_ended_ = false;
    bool following_ = true;
    log_offset next_{0};
    bool first_poll_answered_ = false;
    std::atomic<bool> reachable_{false};
    milliseconds backoff_{0};
    bool last_fault_backwards_ = false;
    std::thread thread_;
};

} // namespace fescueridge
