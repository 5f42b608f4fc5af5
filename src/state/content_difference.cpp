#include "fescueridge/state/content_difference.hpp"

#include <algorithm>
#include <limits>
#include <string_view>
#include <unordered_map>

#include "cbor_fields.hpp"
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
struct occurrences
{
    std::vector<std::size_t> places;
    std::size_t used = 0;
};

/// Matches the rows between the common prefix and suffix: the n-th occurrence of a text
/// in the result with its n-th occurrence in the base. Returns the row of the base for
/// each row of the result, or no_row if it has no match.
std::vector<std::size_t> pair_rows(const rows& base, const rows& result, std::size_t head,
                                   std::size_t tail)
{
    std::unordered_map<std::string_view, occurrences> known;
    for (std::size_t i = head; i < base.size() - tail; ++i)
    {
        known[base[i]].places.push_back(i);
    }
    std::vector<std::size_t> pairs;
    pairs.reserve(result.size() - head - tail);
    for (std::size_t i = head; i < result.size() - tail; ++i)
    {
        const auto found = known.find(result[i]);
        const bool free =
            found != known.end() && found->second.used < found->second.places.size();
        pairs.push_back(free ? found->second.places[found->second.used++] : no_row);
    }
    return pairs;
}

/// Sets all matches outside a longest ascending subsequence to no_row, by patience
/// sorting.
void keep_ascending(std::vector<std::size_t>& pairs)
{
    std::vector<std::size_t> ends; // index of the lowest last value for each length
    std::vector<std::size_t> before(pairs.size(), no_row);
    for (std::size_t i = 0; i < pairs.size(); ++i)
    {
        if (pairs[i] == no_row)
        {
            continue;
        }
        const auto place = std::lower_bound(ends.begin(), ends.end(), pairs[i],
                                            [&](std::size_t end, std::size_t value)
                                            { return pairs[end] < value; });
        before[i] = place == ends.begin() ? no_row : *(place - 1);
        if (place == ends.end())
        {
            ends.push_back(i);
        }
        else
        {
            *place = i;
        }
    }
    std::vector<std::size_t> kept(pairs.size(), no_row);
    for (std::size_t i = ends.empty() ? no_row : ends.back(); i != no_row; i = before[i])
    {
        kept[i] = pairs[i];
    }
    pairs = std::move(kept);
}

std::size_t common_head(const rows& base, const rows& result)
{
    const std::size_t limit = std::min(base.size(), result.size());
    std::size_t count = 0;
    while (count < limit && base[count] == result[count])
    {
        ++count;
    }
    return count;
}

std::size_t common_tail(const rows& base, const rows& result, std::size_t head)
{
    const std::size_t limit = std::min(base.size(), result.size()) - head;
    std::size_t count = 0;
    while (count < limit &&
           base[base.size() - 1 - count] == result[result.size() - 1 - count])
    {
        ++count;
    }
    return count;
}

void remove_rows(content_difference& difference, std::size_t first, std::size_t end)
{
    if (first < end)
    {
        difference.removed.push_back({first, end - first});
    }
}

void add_row(content_difference& difference, std::size_t number, std::size_t before,
             std::string_view text)
{
    if (difference.added.empty() || before != number)
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

    bool at_end() const noexcept { return place_ >= base_.size(); }

    std::string_view take()
    {
        const std::string_view row = base_[place_++];
        skip_removed();
        return row;
    }

private:
    void skip_removed()
    {
        while (next_ < removed_.size() && removed_[next_].first == place_)
        {
            const auto& range = removed_[next_++];
            if (range.count == 0 || range.count > base_.size() - place_)
            {
                throw difference_result_error("removed rows are not in the base");
            }
            place_ += range.count;
        }
        if (next_ < removed_.size() && (removed_[next_].first < place_ || at_end()))
        {
            throw difference_result_error("removed rows are not in the base");
        }
    }

    const rows& base_;
    const std::vector<content_difference::removed_rows>& removed_;
    std::size_t place_ = 0;
    std::size_t next_ = 0;
};

std::string merge(const rows& base, const content_difference& difference,
                  std::size_t base_bytes)
{
    std::string result;
    result.reserve(base_bytes);
    kept_rows kept(base, difference.removed);
    std::uint64_t count = 0;
    for (const content_difference::added_rows& added : difference.added)
    {
        for (; count < added.first; ++count)
        {
            if (kept.at_end())
            {
                throw difference_result_error(
                    "first row of added rows is beyond the end of the result");
            }
            result += kept.take();
        }
        result += added.text;
        count += split_rows(added.text).size();
    }
    while (!kept.at_end())
    {
        result += kept.take();
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
    const rows old_rows = split_rows(base);
    const rows new_rows = split_rows(result);
    const std::size_t head = common_head(old_rows, new_rows);
    const std::size_t tail = common_tail(old_rows, new_rows, head);
    std::vector<std::size_t> pairs = pair_rows(old_rows, new_rows, head, tail);
    keep_ascending(pairs);
    content_difference difference;
    difference.base_hash = content_hash(base);
    difference.result_hash = content_hash(result);
    std::size_t next_old = head;
    std::size_t after_added = no_row;
    for (std::size_t i = 0; i < pairs.size(); ++i)
    {
        if (pairs[i] == no_row)
        {
            add_row(difference, head + i, after_added, new_rows[head + i]);
            after_added = head + i + 1;
            continue;
        }
        remove_rows(difference, next_old, pairs[i]);
        next_old = pairs[i] + 1;
    }
    remove_rows(difference, next_old, old_rows.size() - tail);
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
    detail::cbor_fields in(bytes);
    content_difference difference;
    difference.base_hash = in.number();
    detail::cbor_fields removed = in.array();
    while (!removed.at_end())
    {
        const std::uint64_t first = removed.number();
        difference.removed.push_back({first, removed.number()});
    }
    detail::cbor_fields added = in.array();
    while (!added.at_end())
    {
        const std::uint64_t first = added.number();
        difference.added.push_back({first, added.text()});
    }
    difference.result_hash = in.number();
    in.expect_end();
    return difference;
}

} // namespace fescueridge
