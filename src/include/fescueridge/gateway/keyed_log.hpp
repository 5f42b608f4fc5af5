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

/// A topic of the platform's log whose records have keys. The newest record of each key
/// is kept for good.
using topic_name = strong_type<std::string, struct topic_name_tag>;

/// A record of a topic. Without a value it removes its key.
struct keyed_record
{
    std::string key;
    std::string value;
};

/// Newest records of some keys.
struct newest_page
{
    std::vector<keyed_record> records;
    bool more = false; ///< Continue after the key of the last record.
    log_offset end;    ///< Offset that the next record of the topic gets.
};

/// Records in the order of their offsets.
struct record_batch
{
    std::vector<keyed_record> records;
    std::size_t unreadable = 0; ///< Records that another writer spoiled.
    log_offset next;            ///< Where to read on.
};

/// The offset of the record after an append.
struct append_receipt
{
    log_offset end;
};

/// Why an operation on the log failed.
enum class log_failure_kind : std::uint8_t
{
    unavailable, ///< The log refused or could not be reached; nothing was done.
    unknown,     ///< No answer; an append may still take effect.
    truncated,   ///< The records asked for are gone.
    malformed    ///< The answer could not be read.
};

/// Returns the stable name of a kind, for logs.
std::string_view to_string(log_failure_kind value) noexcept;

struct log_failure
{
    log_failure_kind kind = log_failure_kind::unavailable;
    std::string detail;
};

template <class Value>
using log_result = std::variant<Value, log_failure>;

/// Port to the platform's log. Every call ends with exactly one call of `done` on the io
/// thread, never from inside the call.
class keyed_log
{
public:
    keyed_log() = default;
    keyed_log(const keyed_log&) = delete;
    keyed_log& operator=(const keyed_log&) = delete;
    virtual ~keyed_log() = default;

    /// Returns the newest record of each key after a key (empty: from the start).
    virtual void newest(const topic_name& topic, const std::string& after,
                        milliseconds timeout,
                        std::function<void(log_result<newest_page>)> done) = 0;

    /// Reads records from an offset on; waits up to `wait` for the first one.
    virtual void read(const topic_name& topic, log_offset from, milliseconds wait,
                      milliseconds timeout,
                      std::function<void(log_result<record_batch>)> done) = 0;

    /// Appends a record.
    virtual void append(const topic_name& topic, const keyed_record& record,
                        milliseconds timeout,
                        std::function<void(log_result<append_receipt>)> done) = 0;
};

} // namespace fescueridge::gateway
