#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "fescueridge/base/error.hpp"

namespace fescueridge
{

/// Difference between two sheet contents by rows. A row ends with a line feed, which the
/// last row may lack. Applying the difference to its base gives the result byte for byte.
struct content_difference
{
    /// Consecutive rows of the base that the result does not contain.
    struct removed_rows
    {
        std::uint64_t first = 0;
        std::uint64_t count = 0;
    };

    /// Consecutive rows of the result that do not come from the base.
    struct added_rows
    {
        std::uint64_t first = 0; ///< Row number in the result.
        std::string text;        ///< One or more rows with their line feeds.
    };

    std::uint64_t base_hash = 0;
    std::vector<removed_rows> removed; ///< Ascending, not overlapping.
    std::vector<added_rows> added;     ///< Ascending, not overlapping.
    std::uint64_t result_hash = 0;
};

/// The content to which a difference is applied is not its base.
class difference_base_error : public error
{
public:
    using error::error;
};

/// The rows of a difference do not fit its base, or the hash of the result differs from
/// `result_hash`.
class difference_result_error : public error
{
public:
    using error::error;
};

/// Returns the hash that identifies a content in a difference.
std::uint64_t content_hash(const std::string& content) noexcept;

/// Returns a difference that turns `base` into `result`, in O(n log n) for n rows. Moved
/// rows count as removed and added.
content_difference find_difference(const std::string& base, const std::string& result);

/// Returns the result. Throws difference_base_error or difference_result_error.
std::string apply_difference(const std::string& base,
                             const content_difference& difference);

/// Encodes a difference as CBOR for log records and messages.
std::string encode_difference(const content_difference& difference);

/// Throws codec_error on malformed bytes.
content_difference decode_difference(const std::string& bytes);

} // namespace fescueridge
