#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fescueridge
{

/// One row of a table. The number is the one that a spreadsheet shows: it starts at 1,
/// counts blank rows, and counts a row with a line break inside quotes once.
struct csv_row
{
    std::uint32_t number = 0;
    std::vector<std::string> cells;
};

/// Largest number of cells in a row and of rows with text. They bound the memory that a
/// text of separators or line ends alone can take; the design size is thousands of rules
/// with nine cells each.
constexpr std::size_t max_csv_cells = 64;
constexpr std::size_t max_csv_rows = 20'000;

/// What is wrong with the form of a table.
enum class csv_fault_kind : std::uint8_t
{
    quote_not_closed, ///< The text ends inside a quoted cell.
    stray_quote,      ///< A quote inside an unquoted cell, or text after a closing quote.
    not_utf8,         ///< The cell holds bytes that are no UTF-8.
    control_character, ///< The cell holds a control character, such as a zero byte.
    too_many_cells,    ///< The row has over max_csv_cells cells; the rest is left out.
    too_many_rows      ///< The table has over max_csv_rows rows; the rest is left out.
};

/// A fault in the form of a table; `column` counts from 0.
struct csv_fault
{
    std::uint32_t row = 0;
    std::size_t column = 0;
    csv_fault_kind kind = csv_fault_kind::stray_quote;
};

/// A table with every fault found on the way. The rows are usable as far as they go when
/// there are faults.
struct csv_table
{
    char separator = ',';
    std::vector<csv_row> rows;
    std::vector<csv_fault> faults;
};

/// Reads comma or semicolon separated values as spreadsheets write them: quoted cells,
/// doubled quotes, rows that end in LF, CR or CRLF, and a UTF-8 byte order mark. The
/// separator is the one of the two that occurs more often in the first row. Rows without
/// any text are left out but counted.
csv_table parse_csv(std::string_view text);

/// Returns the cells as one row of comma separated values without a line end.
std::string to_csv_row(const std::vector<std::string>& cells);

} // namespace fescueridge
