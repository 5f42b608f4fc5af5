#include "fescueridge/state/content_difference.hpp"

#include <algorithm>
#include <limits>
#include <string_view>
#include <unordered_map>

#include "cbor_array_reader.hpp"
#include "fescueridge/base/random.hpp"

namespace fescueridge
{

namespace
{

using rows = std::vector<std::string_view>;

constexpr std::size_t no_row = std::numeric_limits<std::size_t>::max();

rows split_rows(std::string_view content)
{
    rows result;
    while (!content.empty())
    {
        const std::size_t end = content.find('\n');
        const std::size_t size = end == std::string_view::npos ? content.size() : end + 1;
        result.push_back(content.substr(0, size));
        content.remove_prefix(size);
    }
    return result;
}

/// Positions of the rows of the base that have the same text, in ascending order.
struct row_positions
{
    std::vector<std::size_t> positions;
    std::size_t matched_count = 0;
};

/// Matches the rows between the common prefix and suffix: the n-th occurrence of a text
/// in the result with its n-th occurrence in the base. Returns the row of the base for
/// each row of the result, or no_row if it has no match.
std::vector<std::size_t> match_rows(const rows& base, const rows& result,
                                    std::size_t prefix_rows, std::size_t suffix_rows)
{
    std::unordered_map<std::string_view, row_positions> positions_by_text;
    for (std::size_t i = prefix_rows; i < base.size() - suffix_rows; ++i)
    {
        positions_by_text[base[i]].positions.push_back(i);
    }
    std::vector<std::size_t> matches;
    matches.reserve(result.size() - prefix_rows - suffix_rows);
    for (std::size_t i = prefix_rows; i < result.size() - suffix_rows; ++i)
    {
        const auto found = positions_by_text.find(result[i]);
        const bool has_match =
            found != positions_by_text.end() &&
            found->second.matched_count < found->second.positions.size();
        matches.push_back(
            has_match ? found->second.positions[found->second.matched_count++] : no_row);
    }
    return matches;
}

/// Sets all matches outside a longest ascending subsequence to no_row, by patience
/// sorting.
void keep_ascending(std::vector<std::size_t>& matches)
{
    std::vector<std::size_t> ends; // index of the lowest last value for each length
    std::vector<std::size_t> previous(matches.size(), no_row);
    for (std::size_t i = 0; i < matches.size(); ++i)
    {
        if (matches[i] == no_row)
        {
            continue;
        }
        const auto position = std::lower_bound(ends.begin(), ends.end(), matches[i],
                                               [&](std::size_t end, std::size_t value)
                                               { return matches[end] < value; });
        previous[i] = position == ends.begin() ? no_row : *(position - 1);
        if (position == ends.end())
        {
            ends.push_back(i);
        }
        else
        {
            *position = i;
        }
    }
    std::vector<std::size_t> kept(matches.size(), no_row);
    for (std::size_t i = ends.empty() ? no_row : ends.back(); i != no_row;
         i = previous[i])
    {
        kept[i] = matches[i];
    }
    matches = std::move(kept);
}

std::size_t common_prefix(const rows& base, const rows& result)
{
    const std::size_t limit = std::min(base.size(), result.size());
    std::size_t count = 0;
    while (count < limit && base[count] == result[count])
    {
        ++count;
    }
    return count;
}

std::size_t common_suffix(const rows& base, const rows& result, std::size_t prefix_rows)
{
    const std::size_t limit = std::min(base.size(), result.size()) - prefix_rows;
    std::size_t count = 0;
    while (count < limit &&
           base[base.size() - 1 - count] == result[result.size() - 1 - count])
    {
        ++count;
    }
    return count;
}

void append_removed_rows(content_difference& difference, std::size_t first,
                         std::size_t end)
{
    if (first < end)
    {
        difference.removed.push_back({first, end - first});
    }
}

void append_added_row(content_difference& difference, std::size_t number,
                      std::size_t next_added, std::string_view text)
{
    if (difference.added.empty() || next_added != number)
    {
        difference.added.push_back({number, {}});
    }
    difference.added.back().text += text;
}

/// Iterates over the rows of the base that are not removed.
class kept_rows
{
public:
    kept_rows(const rows& base,
              const std::vector<content_difference::removed_rows>& removed)
        : base_(base), removed_(removed)
    {
        skip_removed();
    }

    bool at_end() const noexcept { return position_ >= base_.size(); }

    std::string_view next_row()
    {
        const std::string_view row = base_[position_++];
        skip_removed();
        return row;
    }

private:
    void skip_removed()
    {
        while (next_removed_ < removed_.size() &&
               removed_[next_removed_].first == position_)
        {
            const auto& range = removed_[next_removed_++];
            if (range.count == 0 || range.count > base_.size() - position_)
            {
                throw difference_result_error("removed rows are not in the base");
            }
            position_ += range.count;
        }
        if (next_removed_ < removed_.size() &&
            (removed_[next_removed_].first < position_ || at_end()))
        {
            throw difference_result_error("removed rows are not in the base");
        }
    }

    const rows& base_;
    const std::vector<content_difference::removed_rows>& removed_;
    std::size_t position_ = 0;
    std::size_t next_removed_ = 0;
};

std::string merge(const rows& base, const content_difference& difference,
                  std::size_t base_bytes)
{
    std::string result;
    result.reserve(base_bytes);
    kept_rows kept(base, difference.removed);
    std::uint64_t result_row_count = 0;
    for (const content_difference::added_rows& added : difference.added)
    {
        for (; result_row_count < added.first; ++result_row_count)
        {
            if (kept.at_end())
            {
                throw difference_result_error(
                    "first row of added rows is beyond the end of the result");
            }
            result += kept.next_row();
        }
        result += added.text;
        result_row_count += split_rows(added.text).size();
    }
    while (!kept.at_end())
    {
        result += kept.next_row();
    }
    return result;
}

} // namespace

std::uint64_t content_hash(const std::string& content) noexcept
{
    return stable_hash(content);
}

content_difference find_difference(const std::string& base, const std::string& result)
{
    const rows base_rows = split_rows(base);
    const rows result_rows = split_rows(result);
    const std::size_t prefix_rows = common_prefix(base_rows, result_rows);
    const std::size_t suffix_rows = common_suffix(base_rows, result_rows, prefix_rows);
    std::vector<std::size_t> matches =
        match_rows(base_rows, result_rows, prefix_rows, suffix_rows);
    keep_ascending(matches);
    content_difference difference;
    difference.base_hash = content_hash(base);
    difference.result_hash = content_hash(result);
    std::size_t next_base_row = prefix_rows;
    std::size_t next_added = no_row;
    for (std::size_t i = 0; i < matches.size(); ++i)
    {
        if (matches[i] == no_row)
        {
            append_added_row(difference, prefix_rows + i, next_added,
                             result_rows[prefix_rows + i]);
            next_added = prefix_rows + i + 1;
            continue;
        }
        append_removed_rows(difference, next_base_row, matches[i]);
        next_base_row = matches[i] + 1;
    }
    append_removed_rows(difference, next_base_row, base_rows.size() - suffix_rows);
    return difference;
}

std::string apply_difference(const std::string& base,
                             const content_difference& difference)
{
    if (content_hash(base) != difference.base_hash)
    {
        throw difference_base_error(
            "hash of the content differs from base_hash of the difference");
    }
    std::string result = merge(split_rows(base), difference, base.size());
    if (content_hash(result) != difference.result_hash)
    {
        throw difference_result_error(
            "hash of the result differs from result_hash of the difference");
    }
    return result;
}

std::string encode_difference(const content_difference& difference)
{
    detail::json removed = detail::json::array();
    for (const content_difference::removed_rows& range : difference.removed)
    {
        removed.push_back(range.first);
        removed.push_back(range.count);
    }
    detail::json added = detail::json::array();
    for (const content_difference::added_rows& range : difference.added)
    {
        added.push_back(range.first);
        added.push_back(detail::to_binary(range.text));
    }
    return detail::to_cbor(
        detail::json::array({difference.base_hash, std::move(removed), std::move(added),
                             difference.result_hash}));
}

content_difference decode_difference(const std::string& bytes)
{
    detail::cbor_array_reader in(bytes);
    content_difference difference;
    difference.base_hash = in.read_unsigned();
    detail::cbor_array_reader removed = in.read_array();
    while (!removed.at_end())
    {
        const std::uint64_t first = removed.read_unsigned();
        difference.removed.push_back({first, removed.read_unsigned()});
    }
    detail::cbor_array_reader added = in.read_array();
    while (!added.at_end())
    {
        const std::uint64_t first = added.read_unsigned();
        difference.added.push_back({first, added.read_bytes()});
    }
    difference.result_hash = in.read_unsigned();
    in.expect_end();
    return difference;
}

} // namespace fescueridge
