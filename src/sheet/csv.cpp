#include "fescueridge/sheet/csv.hpp"

#include <algorithm>

#include "text.hpp"

namespace fescueridge
{

namespace
{

constexpr std::string_view byte_order_mark = "\xef\xbb\xbf";

/// Returns the separator that occurs more often outside quotes in the first row.
char detect_separator(std::string_view text)
{
    std::size_t commas = 0;
    std::size_t semicolons = 0;
    bool quoted = false;
    for (const char c : text)
    {
        if (c == '"')
        {
            quoted = !quoted;
        }
        if (!quoted && (c == '\n' || c == '\r'))
        {
            break;
        }
        commas += !quoted && c == ',' ? 1 : 0;
        semicolons += !quoted && c == ';' ? 1 : 0;
    }
    return semicolons > commas ? ';' : ',';
}

/// Splits a text into rows and cells in one pass.
class csv_reader
{
public:
    explicit csv_reader(std::string_view text) : text_(text)
    {
        table_.separator = detect_separator(text);
    }

    csv_table read()
    {
        while (at_ < text_.size() && table_.rows.size() < max_csv_rows)
        {
            read_row();
        }
        if (at_ < text_.size())
        {
            add_fault(row_.number + 1, 0, csv_fault_kind::too_many_rows);
        }
        return std::move(table_);
    }

private:
    void add_fault(std::uint32_t row, std::size_t column, csv_fault_kind kind)
    {
        table_.faults.push_back({row, column, kind});
    }

    void add_fault(csv_fault_kind kind) { add_fault(row_.number, column_, kind); }

    void read_row()
    {
        row_.number += 1;
        row_.cells.clear();
        column_ = 0;
        bool more = true;
        while (more)
        {
            std::string cell = read_cell();
            check_bytes(cell);
            keep(std::move(cell));
            column_ += 1;
            more = skip_separator();
        }
        const bool blank = std::all_of(row_.cells.begin(), row_.cells.end(),
                                       [](const std::string& cell)
                                       { return detail::trim(cell).empty(); });
        if (!blank)
        {
            table_.rows.push_back(row_);
        }
    }

    void keep(std::string cell)
    {
        if (column_ < max_csv_cells)
        {
            row_.cells.push_back(std::move(cell));
        }
        else if (column_ == max_csv_cells)
        {
            add_fault(csv_fault_kind::too_many_cells);
        }
    }

    /// Steps over a separator or a row end; returns true for a separator.
    bool skip_separator()
    {
        if (at_ == text_.size())
        {
            return false;
        }
        const char c = text_[at_];
        at_ += 1;
        if (c == '\r' && at_ < text_.size() && text_[at_] == '\n')
        {
            at_ += 1;
        }
        return c == table_.separator;
    }

    std::string read_cell()
    {
        if (at_ < text_.size() && text_[at_] == '"')
        {
            return read_quoted_cell();
        }
        const std::string_view cell = take_until_cell_end();
        if (cell.find('"') != std::string_view::npos)
        {
            add_fault(csv_fault_kind::stray_quote);
        }
        return std::string(cell);
    }

    std::string_view take_until_cell_end()
    {
        const std::size_t start = at_;
        while (at_ < text_.size() && text_[at_] != table_.separator &&
               text_[at_] != '\n' && text_[at_] != '\r')
        {
            at_ += 1;
        }
        return text_.substr(start, at_ - start);
    }

    std::string read_quoted_cell()
    {
        std::string cell;
        at_ += 1;
        while (true)
        {
            const std::size_t quote = text_.find('"', at_);
            if (quote == std::string_view::npos)
            {
                add_fault(csv_fault_kind::quote_not_closed);
                cell.append(text_.substr(at_));
                at_ = text_.size();
                return cell;
            }
            cell.append(text_.substr(at_, quote - at_));
            at_ = quote + 1;
            if (at_ == text_.size() || text_[at_] != '"')
            {
                break;
            }
            cell.push_back('"');
            at_ += 1;
        }
        const std::string_view rest = take_until_cell_end();
        if (!detail::trim(rest).empty())
        {
            add_fault(csv_fault_kind::stray_quote);
        }
        return cell;
    }

    void check_bytes(const std::string& cell)
    {
        if (!detail::is_utf8(cell))
        {
            add_fault(csv_fault_kind::not_utf8);
        }
        else if (std::any_of(cell.begin(), cell.end(), is_unwanted_control))
        {
            add_fault(csv_fault_kind::control_character);
        }
    }

    static bool is_unwanted_control(char c)
    {
        return detail::is_control(c) && c != '\t' && c != '\n' && c != '\r';
    }

    std::string_view text_;
    std::size_t at_ = 0;
    csv_table table_;
    csv_row row_;
    std::size_t column_ = 0;
};

std::string quote_if_needed(const std::string& cell)
{
    if (cell.find_first_of(",;\"\r\n") == std::string::npos)
    {
        return cell;
    }
    std::string result = "\"";
    for (const char c : cell)
    {
        result.append(c == '"' ? 2 : 1, c);
    }
    result.push_back('"');
    return result;
}

} // namespace

csv_table parse_csv(std::string_view text)
{
    if (text.substr(0, byte_order_mark.size()) == byte_order_mark)
    {
        text.remove_prefix(byte_order_mark.size());
    }
    return csv_reader(text).read();
}

std::string to_csv_row(const std::vector<std::string>& cells)
{
    std::string result;
    for (std::size_t i = 0; i < cells.size(); ++i)
    {
        if (i > 0)
        {
            result.push_back(',');
        }
        result += quote_if_needed(cells[i]);
    }
    return result;
}

} // namespace fescueridge
