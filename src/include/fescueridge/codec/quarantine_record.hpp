#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "fescueridge/base/types.hpp"

namespace fescueridge
{

/// What is known of a request that was running when a server died. Records of several
/// nodes merge in any order and any number of times to the same result: crashes and
/// cleared crashes only grow, the time only rises.
struct quarantine_record
{
    fingerprint request;
    std::map<incarnation, bool> crashes;   ///< Server incarnations; true: it ran alone.
    std::set<incarnation> cleared;         ///< Crashes before a completed run.
    std::int64_t last_attempt_wall_ms = 0; ///< Decides only when the record expires.
};

/// Encodes a record as CBOR, for the stream `quarantine` and for links.
std::string encode_quarantine_record(const quarantine_record& record);

/// Throws codec_error on malformed bytes.
quarantine_record decode_quarantine_record(const std::string& bytes);

} // namespace fescueridge
