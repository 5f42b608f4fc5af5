#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "fescueridge/log_service/log_service.hpp"

namespace fescueridge
{

/// Log service in memory with faults, for tests and for the stand-in process.
class memory_log_service : public log_service
{
public:
    /// What happens to one append.
    enum class append_fault
    {
        none,
        down,        ///< Refused without effect.
        lost_answer, ///< Takes effect, the answer is lost.
        lost_append, ///< Neither takes effect nor is answered.
        delayed      ///< The answer is lost and the effect comes `delay` later.
    };

    /// Draws the fault of each append; called under the lock.
    using fault_source = std::function<append_fault()>;

    log_offset append(const std::string& stream, const std::string& data,
                      milliseconds timeout) override;

    log_page read(const std::string& stream, log_offset from, std::uint32_t max_records,
                  milliseconds wait, milliseconds timeout) override;

    /// Does nothing: several readers share one object, and reads end by themselves.
    void interrupt_reads(const std::string& /*stream*/) override {}

    /// Refuses every operation while set.
    void set_down(bool down);

    /// Delays every operation; longer than an operation's timeout gives the timeout
    /// error.
    void set_slow(milliseconds delay);

    /// Sets the source of append faults; none by default.
    void set_append_faults(fault_source source, milliseconds delay = milliseconds(0));

    /// Drops the records below an offset.
    void drop_before(const std::string& stream, log_offset offset);

    /// Drops records older than this by the wall clock; zero keeps everything.
    void set_retention(milliseconds retention);

    /// Removes the newest records, so the log goes backwards.
    void rewind(const std::string& stream, log_offset next);

    /// Sets the source of record times; the wall clock by default.
    void set_wall_clock(std::function<std::int64_t()> source);

    /// Returns the number of appends that took effect, over all streams.
    std::size_t append_count() const;

    /// Returns every retained record of a stream.
    std::vector<log_record> records(const std::string& stream) const;

private:
    struct stream_data
    {
        std::deque<log_record> records;
        std::uint64_t next = 0;
    };
    struct delayed_append
    {
        time_point due;
        std::string stream;
        std::string data;
    };

    log_offset store(const std::string& stream, const std::string& data);
    void settle(time_point now);
    std::optional<time_point> next_due() const;
    log_page page_of(const stream_data& data, log_offset from,
                     std::uint32_t max_records) const;
    void apply_delay(std::unique_lock<std::mutex>& lock, milliseconds timeout,
                     bool is_append);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, stream_data> streams_;
    std::vector<delayed_append> delayed_;
    bool down_ = false;
    milliseconds slow_{0};
    milliseconds delay_{0};
    milliseconds retention_{0};
    fault_source faults_;
    std::function<std::int64_t()> wall_clock_;
    std::size_t append_count_ = 0;
};

} // namespace fescueridge
