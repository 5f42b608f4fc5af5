#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"

namespace fescueridge
{

/// Largest sheet in bytes. A sheet travels in one log record and in one link frame.
constexpr std::size_t max_sheet_bytes = std::size_t{8} * 1024 * 1024;

/// Longest cell in bytes. The text of a row is part of explain tokens, which travel in an
/// HTTP header.
constexpr std::size_t max_cell_bytes = 200;

/// Number of faults after which the check of a sheet stops, which bounds its memory.
constexpr std::size_t max_sheet_faults = 10'000;

/// The caller of a default rule.
constexpr std::string_view any_caller = "*";

/// One rule of the sheet.
struct rule
{
    std::uint32_t row = 0; ///< Row number as the spreadsheet shows it.
    caller_name caller;    ///< Exact name, or any_caller.
    service_name service;
    priority rank;
    std::optional<call_rate> limit;      ///< Calls per second.
    std::optional<milliseconds> timeout; ///< Upper bound of the caller's timeout.
    bool at_most_once = false;
    std::string path; ///< Path prefix without a trailing "/"; empty for every path.
    std::string note;
};

/// Returns the rule as one row of comma separated values in the order of the sheet's
/// columns. Equal for equal rules, whatever the row number and the sheet's separator.
std::string to_row_text(const rule& value);

/// What the sheet asks the fleet to favour under overload.
enum class weighting : std::uint8_t
{
    goodput,
    recovery
};

/// Returns "goodput" or "recovery".
std::string_view to_string(weighting value) noexcept;

/// The settings rows of the sheet, with the values that hold without such a row.
struct sheet_settings
{
    std::uint32_t domains = 1; ///< Number of failure domains.
    weighting weigh = weighting::goodput;
    std::uint32_t remember_days = 7; ///< How long keys of at-most-once calls are kept.
    fescueridge::retry_allowance retry_allowance{default_retry_allowance};
};

/// Why a sheet is refused. The names are part of the operator protocol.
enum class fault_reason : std::uint8_t
{
    too_large,         ///< The sheet is over max_sheet_bytes.
    empty_sheet,       ///< There is no header row or no rule.
    bad_quotes,        ///< Quotes do not match.
    bad_text,          ///< Bytes that are no UTF-8, or control characters.
    missing_column,    ///< The header lacks a column.
    unknown_column,    ///< The header has a column that does not exist.
    duplicate_column,  ///< The header has a column twice.
    extra_cell,        ///< A cell has text but its column has no header.
    unknown_kind,      ///< The kind is neither "rule" nor "setting".
    missing_value,     ///< A cell that needs a value is empty.
    unexpected_value,  ///< A cell that must be empty has a value.
    bad_name,          ///< A caller or service name has characters that are not allowed.
    bad_number,        ///< A cell is not a number.
    out_of_range,      ///< A number is outside its range.
    bad_flag,          ///< A cell is neither yes nor no.
    bad_path,          ///< A path prefix does not start with "/" or has bad characters.
    too_long,          ///< A cell is over max_cell_bytes.
    unknown_setting,   ///< A setting does not exist.
    bad_setting,       ///< A setting has a value that it cannot have.
    duplicate_setting, ///< A setting occurs twice.
    duplicate_rule,    ///< Two rules have the same caller, service and path.
    no_default_rule,   ///< A service has no rule for caller "*" without a path.
    too_many_faults    ///< Over max_sheet_faults; the rest was not checked.
};

/// Returns the protocol name of a reason, for example "duplicate_rule".
std::string_view to_string(fault_reason value) noexcept;

/// Returns the reason with this protocol name, or nothing if there is none.
std::optional<fault_reason> parse_fault_reason(std::string_view text) noexcept;

/// One fault of a sheet. Row 0 means the sheet as a whole; an empty column means the
/// whole row.
struct sheet_fault
{
    std::uint32_t row = 0;
    std::string column;
    fault_reason reason = fault_reason::empty_sheet;
    std::string text;
};

/// A checked sheet with its lookup. It never changes, so any number of threads may use
/// one through a std::shared_ptr<const sheet>. Made by parse_sheet.
class sheet
{
public:
    sheet(std::string content, std::vector<rule> rules, const sheet_settings& settings);
    sheet(const sheet&) = delete;
    sheet& operator=(const sheet&) = delete;

    /// Returns the rule that decides a call, or nullptr when the service is not in the
    /// sheet. An exact caller comes before "*", a longer path prefix before a shorter
    /// one. A prefix matches whole segments: "/price" matches "/price", "/price/7" and
    /// "/price?x", but not "/prices". `path` starts with "/".
    const rule* find(std::string_view service, std::string_view caller,
                     std::string_view path) const noexcept;

    /// Returns the rule in this row of the spreadsheet, or nullptr.
    const rule* find_row(std::uint32_t row) const noexcept;

    /// Returns the rules in the order of their rows.
    const std::vector<rule>& rules() const noexcept { return rules_; }

    const sheet_settings& settings() const noexcept { return settings_; }

    /// Returns the text that the sheet was read from.
    const std::string& content() const noexcept { return content_; }

    /// Returns the stable hash of the content.
    std::uint64_t content_hash() const noexcept { return content_hash_; }

private:
    using rule_list = std::vector<const rule*>; // longest path first
    using caller_index = std::unordered_map<std::string_view, rule_list>;

    std::string content_;
    std::vector<rule> rules_;
    sheet_settings settings_;
    std::uint64_t content_hash_;
    std::unordered_map<std::string_view, caller_index> services_;
};

/// A sheet, or every fault that was found in its text.
using sheet_or_faults =
    std::variant<std::shared_ptr<const sheet>, std::vector<sheet_fault>>;

/// Reads and checks a sheet. It is accepted whole or refused whole; the faults are in the
/// order of their rows. Never throws on account of the text.
sheet_or_faults parse_sheet(std::string_view text);

/// How a row differs between two sheets.
enum class row_change : std::uint8_t
{
    added,
    removed,
    changed
};

/// Returns "added", "removed" or "changed".
std::string_view to_string(row_change value) noexcept;

/// One row that differs. Rules are matched by caller, service and path, settings by name;
/// a row that only moved does not differ. Row numbers are 0 where the row is missing and
/// for settings, and the text is empty where the row is missing.
struct row_difference
{
    row_change change = row_change::changed;
    std::uint32_t row_before = 0;
    std::uint32_t row_after = 0;
    std::string before;
    std::string after;
};

/// Returns the rows that differ: settings first, then rules in the order of `after`, then
/// removed rules in the order of `before`.
std::vector<row_difference> differences(const sheet& before, const sheet& after);

} // namespace fescueridge
