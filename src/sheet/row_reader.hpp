#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fescueridge/sheet/sheet.hpp"

namespace fescueridge::detail
{

/// The columns of a sheet.
enum column : std::uint8_t
{
    kind_column,
    caller_column,
    service_column,
    priority_column,
    limit_column,
    timeout_column,
    at_most_once_column,
    path_column,
    note_column,
    column_count
};

// In the order of column.
inline constexpr std::array<std::string_view, column_count> column_names{
    "kind",       "caller",       "service", "priority", "limit_per_s",
    "timeout_ms", "at_most_once", "path",    "note"};

/// The cells of one row. Reading a value adds a fault when the cell does not hold one.
class row_reader
{
public:
    explicit row_reader(std::vector<sheet_fault>& faults) : faults_(faults) {}

    /// Starts the next row with empty cells.
    void start(std::uint32_t row);

    /// Sets a cell without the blanks around it. The text must outlive the row.
    void set(std::size_t at, std::string_view cell);

    /// Returns the number of the row.
    std::uint32_t row() const noexcept { return row_; }

    std::string_view cell(column at) const noexcept { return cells_[at]; }

    /// Returns a cell for an error message: printable and not too long.
    std::string shown(column at) const;

    /// Adds a fault at a cell of this row.
    void add(column at, fault_reason reason, std::string text);

    /// Adds a fault for each cell that is too long.
    void check_lengths();

    /// Returns whether the cell holds the name of a service, or of a caller or "*".
    bool read_name(column at);

    /// Returns the whole number in the cell, or nothing when it is empty or faulty.
    std::optional<std::uint32_t> read_whole_number(column at, std::uint32_t low,
                                                   std::uint32_t high, bool required);

    /// Returns the limit in calls per second, or nothing when it is empty or faulty.
    std::optional<call_rate> read_limit();

    /// Returns whether the call must run at most once; an empty cell means no.
    bool read_flag();

    /// Returns the path prefix without a trailing "/".
    std::string read_path();

private:
    std::vector<sheet_fault>& faults_;
    std::uint32_t row_ = 0;
    std::array<std::string_view, column_count> cells_{};
};

} // namespace fescueridge::detail
