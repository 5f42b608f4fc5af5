#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "fescueridge/base/error.hpp"

namespace fescueridge
{

/// Difference between two sheet contents by rows. A row is the bytes up to and with the
/// next line feed; the last row may lack it. Applied to its base it gives the result byte
/// for byte.
struct content_difference
{
    /// Consecutive rows of the base that the result does not keep.
    struct removed_rows
    {
        std::uint64_t first = 0;
        std::uint64_t count = 0;
    };

    /// Consecutive rows of the result that are not kept from the base.
    struct added_rows
    {
        std::uint64_t first = 0; ///< Row number in the result.
        std::string text;        ///< One row or more, with their line feeds.
    };

    std::uint64_t base_hash = 0;
    std::vector<removed_rows> removed; ///< Ascending, not overlapping.
    std::vector<added_rows> added;     ///< Ascending, not overlapping.
    std::uint64_t result_hash = 0;
};

/// The content is not the base of a difference.
class difference_base_error : public error
{
public:
    using error::error;
};

/// The rows of a difference do not fit its base, or the result has another hash.
class difference_result_error : public error
{
public:
    using error::error;
};

/// Returns the hash of a content as differences hold it.
std::uint64_t content_hash(const std::string& content) noexcept;

/// Returns a difference that makes `result` of `base`, in O(n log n) for n rows. Rows
/// that were moved count as removed and added.
content_difference find_difference(const std::string& base, const std::string& result);

/// Returns the result. Throws difference_base_error or difference_result_error.
std::string apply_difference(const std::string& base,
                             const content_difference& difference);

/// Encodes a difference as CBOR, for records of the log and messages.
std::string encode_difference(const content_difference& difference);

/// Throws codec_error on malformed bytes.
content_difference decode_difference(const std::string& bytes);

} // namespace fescueridge
