#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"

namespace fescueridge::gateway
{

/// Name of a compacted topic of the platform's log: records have keys, and the newest
/// record of each key is retained indefinitely.
using topic_name = strong_type<std::string, struct topic_name_tag>;

/// A record of a topic. A record with an empty value removes its key.
struct keyed_record
{
    std::string key;
    std::string value;
};

/// One page of the newest records by key.
struct newest_page
{
    std::vector<keyed_record> records;
    std::size_t unreadable = 0; ///< Skipped records, corrupted by another writer.
    bool has_more = false; ///< Further pages follow, after the key of the last record.
    log_offset end;        ///< Offset of the next record to be appended to the topic.
};

/// Consecutive records, ordered by offset.
struct record_batch
{
    std::vector<keyed_record> records;
    std::size_t unreadable = 0; ///< Skipped records, corrupted by another writer.
    log_offset next;            ///< Offset at which to continue reading.
};

/// Result of an append: the offset after the appended record.
struct append_receipt
{
    log_offset end;
};

/// Why an operation on the log failed.
enum class log_failure_kind : std::uint8_t
{
    unavailable, ///< The log refused the operation or was unreachable; it had no effect.
    unknown,     ///< No answer; an append may still take effect.
    truncated,   ///< The requested records have been removed from the log.
    malformed    ///< The answer could not be decoded.
};

/// Returns the name of a kind in log lines; stable across versions.
std::string_view to_string(log_failure_kind value) noexcept;

struct log_failure
{
    log_failure_kind kind = log_failure_kind::unavailable;
    std::string detail;
};

template <class Value>
using log_result = std::variant<Value, log_failure>;

/// Interface to the platform's log. Every operation calls `done` exactly once, on the io
/// thread and never before the operation has returned.
class keyed_log
{
public:
    keyed_log() = default;
    keyed_log(const keyed_log&) = delete;
    keyed_log& operator=(const keyed_log&) = delete;
    virtual ~keyed_log() = default;

    /// Lists the newest record of each key greater than `after`; an empty `after` starts
    /// at the first key.
    virtual void list_newest(const topic_name& topic, const std::string& after,
                             milliseconds timeout,
                             std::function<void(log_result<newest_page>)> done) = 0;

    /// Reads records starting at an offset; waits up to `wait` for the first one.
    virtual void read(const topic_name& topic, log_offset from, milliseconds wait,
                      milliseconds timeout,
                      std::function<void(log_result<record_batch>)> done) = 0;

    virtual void append(const topic_name& topic, const keyed_record& record,
                        milliseconds timeout,
                        std::function<void(log_result<append_receipt>)> done) = 0;

    /// Sets the function that is called when the log has come back from an earlier copy:
    /// what it acknowledged of late is gone and its offsets are given out again. It is
    /// called before any answer of the restored log is delivered; answers of the log
    /// before end as failures from then on.
    void on_restored(std::function<void()> callback)
    {
        restored_callback_ = std::move(callback);
    }

protected:
    void notify_restored() const
    {
        if (restored_callback_)
            restored_callback_();
    }

private:
    std::function<void()> restored_callback_;
};

} // namespace fescueridge::gateway
