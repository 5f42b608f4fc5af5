#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "fescueridge/state/stream_follower.hpp"

namespace fescueridge
{

/// Strikes of a request, as the stream `quarantine` holds them.
struct quarantine_record
{
    fingerprint request;
    std::uint32_t strikes = 0;
    incarnation server;
    std::int64_t wall_ms = 0; ///< Last attempt.
};

std::string encode_quarantine_record(const quarantine_record& record);

/// Throws codec_error on malformed bytes.
quarantine_record decode_quarantine_record(const std::string& bytes);

/// Records by fingerprint; the most strikes and the latest attempt of each count.
class quarantine_table
{
public:
    /// Returns true if the record changes what is known of its request.
    bool merge(const quarantine_record& record);

    /// Returns the records; those whose last attempt is older than 24 h are dropped.
    std::vector<quarantine_record> current(std::int64_t wall_now_ms);

private:
    std::unordered_map<fingerprint, quarantine_record> records_;
};

/// Follows the stream and calls back with each record that changes what is known.
class quarantine_follower
{
public:
    using handler = std::function<void(const quarantine_record&)>;

    quarantine_follower(log_service& log, follow_options options, handler changed,
                        std::function<void(const error&)> fault = {});

    /// Appends a record. Repeating it after an error is harmless.
    void append(const quarantine_record& record, milliseconds timeout);

private:
    void on_page(const log_page& page);
    void report(const error& problem) const;

    log_service& log_;
    const handler changed_;
    const std::function<void(const error&)> fault_;
    quarantine_table table_;
    stream_follower follower_;
};

} // namespace fescueridge
