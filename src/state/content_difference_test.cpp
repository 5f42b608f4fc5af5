#include <algorithm>
#include <criterion/criterion.h>
#include <random>

#include "fescueridge/base/random.hpp"
#include "fescueridge/state/content_difference.hpp"
#include "test_seed.hpp"

using namespace fescueridge;

namespace
{

/// Encodes, decodes and applies the difference, and returns the result.
std::string apply_encoded_difference(const std::string& base, const std::string& result)
{
    const std::string bytes = encode_difference(find_difference(base, result));
    return apply_difference(base, decode_difference(bytes));
}

std::string join_rows(const std::vector<std::string>& rows, bool last_line_end)
{
    std::string content;
    for (const std::string& row : rows)
    {
        content += row + "\n";
    }
    if (!last_line_end && !content.empty())
    {
        content.pop_back();
    }
    return content;
}

/// Applies up to 5 random edits that insert, repeat, swap or remove rows.
void edit_rows(std::vector<std::string>& rows, std::mt19937_64& random)
{
    const std::size_t edits = random() % 6;
    for (std::size_t i = 0; i < edits; ++i)
    {
        const std::size_t place = random() % (rows.size() + 1);
        const auto at = rows.begin() + static_cast<std::ptrdiff_t>(place);
        switch (random() % 4)
        {
        case 0:
            rows.insert(at, "row," + std::to_string(random() % 20));
            break;
        case 1:
            rows.insert(at, rows.empty() ? "" : rows[random() % rows.size()]);
            break;
        case 2:
            rows.empty() ? void() : std::swap(rows.front(), rows[random() % rows.size()]);
            break;
        default:
            rows.empty() ? void() : rows.pop_back();
        }
    }
}

} // namespace

// Applying a difference must restore the result byte for byte, for random sheets and
// edits.
Test(content_difference, random_sheets_are_restored_byte_for_byte)
{
    const std::uint64_t seed = test::test_seed();
    cr_log_info("seed %llu", static_cast<unsigned long long>(seed));
    std::mt19937_64 random(seed);
    for (int round = 0; round < 3000; ++round)
    {
        std::vector<std::string> rows;
        for (std::size_t i = random() % 30; i > 0; --i)
        {
            rows.push_back("row," + std::to_string(random() % 20));
        }
        const std::string base = join_rows(rows, random() % 2 == 0);
        round % 10 == 0 ? std::shuffle(rows.begin(), rows.end(), random)
                        : edit_rows(rows, random);
        const std::string result = join_rows(rows, random() % 2 == 0);
        cr_assert(apply_encoded_difference(base, result) == result, "seed %llu, round %d",
                  static_cast<unsigned long long>(seed), round);
    }
}

// Covers an empty base, an empty result, a missing final line feed, and empty and equal
// rows.
Test(content_difference, edge_cases)
{
    const std::vector<std::string> contents{
        "", "\n", "\n\n\n", "a", "a\n", "a\na\n", "a\na", "a\nb\na\n", "b\na\r\n"};
    for (const std::string& base : contents)
    {
        for (const std::string& result : contents)
        {
            cr_assert(apply_encoded_difference(base, result) == result);
        }
    }
}

// After a change of one row and a move of another, the difference must be small and not
// about the size of the sheet.
Test(content_difference, small_change_is_small)
{
    std::vector<std::string> rows;
    rows.reserve(6000);
    for (int i = 0; i < 6000; ++i)
    {
        rows.push_back("rule,caller,service," + std::to_string(i));
    }
    const std::string base = join_rows(rows, true);
    rows[3000] = "rule,caller,service,changed";
    std::rotate(rows.begin() + 10, rows.begin() + 11, rows.begin() + 4000);
    const std::string result = join_rows(rows, true);
    cr_assert_lt(encode_difference(find_difference(base, result)).size(), 200);
    cr_assert(apply_encoded_difference(base, result) == result);
}

// A difference must be rejected if it is applied to another sheet, if its rows do not fit
// the base, or if the result does not match its hash.
Test(content_difference, wrong_base_or_result_is_rejected)
{
    const content_difference difference = find_difference("a\nb\nc\n", "a\nx\nc\n");
    cr_assert_throw(apply_difference("a\nb\n", difference), difference_base_error);
    content_difference damaged = difference;
    damaged.added[0].text = "y\n";
    cr_assert_throw(apply_difference("a\nb\nc\n", damaged), difference_result_error);
    damaged = difference;
    damaged.removed = {{1, 1}, {1, 1}};
    cr_assert_throw(apply_difference("a\nb\nc\n", damaged), difference_result_error);
    damaged.removed = {{2, ~std::uint64_t{0}}};
    cr_assert_throw(apply_difference("a\nb\nc\n", damaged), difference_result_error);
    damaged = difference;
    damaged.added[0].first = ~std::uint64_t{0};
    cr_assert_throw(apply_difference("a\nb\nc\n", damaged), difference_result_error);
}

// Malformed bytes must raise codec_error instead of ending the process.
Test(content_difference, malformed_bytes_are_rejected)
{
    const std::string bytes = encode_difference(find_difference("a\nb\n", "a\nc\n"));
    for (std::size_t size = 0; size < bytes.size(); ++size)
    {
        cr_assert_throw(decode_difference(bytes.substr(0, size)), codec_error);
    }
    cr_assert_throw(decode_difference("\x84\x01\x81\x01\x80\x02"), codec_error);
}
