#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <map>
#include <tuple>

#include "fescueridge/sheet/csv.hpp"
#include "fescueridge/sheet/sheet.hpp"
#include "row_reader.hpp"
#include "text.hpp"

namespace fescueridge
{

namespace
{

using namespace detail;

constexpr std::uint32_t max_timeout_ms = 3'600'000;
constexpr std::uint32_t max_domains = 1000;
// Claims forget spent calls after 31 days, so a longer promise could not be kept.
constexpr std::uint32_t max_remember_days = 31;
constexpr std::uint32_t max_retry_allowance = 9;

/// Reads the rows of one sheet and collects every fault.
class sheet_parser
{
public:
    explicit sheet_parser(std::string_view text) : text_(text) {}

    sheet_or_faults parse()
    {
        if (text_.size() > max_sheet_bytes)
        {
            add(0, "", fault_reason::too_large,
                fmt::format("the sheet has {} bytes; {} are allowed", text_.size(),
                            max_sheet_bytes));
            return faults_;
        }
        const csv_table table = parse_csv(text_);
        if (table.rows.empty())
        {
            add(0, "", fault_reason::empty_sheet, "the sheet has no header row");
        }
        else if (read_header(table.rows.front()))
        {
            read_rows(table);
        }
        add_form_faults(table);
        return finish();
    }

private:
    void add(std::uint32_t row, std::string_view column, fault_reason reason,
             std::string text)
    {
        faults_.push_back({row, std::string(column), reason, std::move(text)});
    }

    bool has_too_many_faults() const { return faults_.size() >= max_sheet_faults; }

    void read_rows(const csv_table& table)
    {
        for (std::size_t i = 1; i < table.rows.size(); ++i)
        {
            if (has_too_many_faults())
            {
                add(table.rows[i].number, "", fault_reason::too_many_faults,
                    "there are too many faults; this row and the ones after it were not "
                    "checked");
                return;
            }
            read_row(table.rows[i]);
        }
        check_default_rules();
    }

    sheet_or_faults finish()
    {
        if (faults_.empty() && rules_.empty())
        {
            add(0, "", fault_reason::empty_sheet, "the sheet has no rule");
        }
        if (!faults_.empty())
        {
            std::stable_sort(faults_.begin(), faults_.end(),
                             [](const sheet_fault& a, const sheet_fault& b)
                             { return a.row < b.row; });
            return std::move(faults_);
        }
        return std::make_shared<const sheet>(std::string(text_), std::move(rules_),
                                             settings_);
    }

    bool read_header(const csv_row& header)
    {
        positions_.fill(header.cells.size());
        for (std::size_t i = 0; i < header.cells.size(); ++i)
        {
            const std::string_view name = trim(header.cells[i]);
            headers_.emplace_back(name);
            if (!name.empty())
            {
                place_column(header.number, name, i);
            }
        }
        for (std::size_t i = 0; i < positions_.size(); ++i)
        {
            if (positions_[i] == header.cells.size())
            {
                add(header.number, column_names[i], fault_reason::missing_column,
                    "the header row has no such column");
            }
        }
        return faults_.empty();
    }

    void place_column(std::uint32_t row, std::string_view name, std::size_t position)
    {
        const auto* const found =
            std::find(column_names.begin(), column_names.end(), name);
        if (found == column_names.end())
        {
            add(row, printable(name), fault_reason::unknown_column,
                "no such column exists");
            return;
        }
        std::size_t& place =
            positions_[static_cast<std::size_t>(found - column_names.begin())];
        if (place < position)
        {
            add(row, name, fault_reason::duplicate_column, "the column occurs twice");
        }
        place = position;
    }

    void read_row(const csv_row& row)
    {
        cells_.start(row.number);
        for (std::size_t i = 0; i < positions_.size(); ++i)
        {
            if (positions_[i] < row.cells.size())
            {
                cells_.set(i, row.cells[positions_[i]]);
            }
        }
        check_extra_cells(row);
        cells_.check_lengths();
        if (cells_.cell(kind_column) == "rule")
        {
            read_rule();
        }
        else if (cells_.cell(kind_column) == "setting")
        {
            read_setting();
        }
        else
        {
            cells_.add(kind_column, fault_reason::unknown_kind,
                       fmt::format("\"{}\" is neither \"rule\" nor \"setting\"",
                                   cells_.shown(kind_column)));
        }
    }

    void check_extra_cells(const csv_row& row)
    {
        for (std::size_t i = 0; i < row.cells.size(); ++i)
        {
            const bool named = i < headers_.size() && !headers_[i].empty();
            if (!named && !trim(row.cells[i]).empty())
            {
                add(cells_.row(), fmt::format("cell {}", i + 1), fault_reason::extra_cell,
                    "the cell has text but its column has no name");
                return; // One fault says enough about cells beyond the table.
            }
        }
    }

    void read_rule()
    {
        rule entry;
        entry.row = cells_.row();
        const bool named =
            cells_.read_name(caller_column) && cells_.read_name(service_column);
        entry.caller = caller_name(std::string(cells_.cell(caller_column)));
        entry.service = service_name(std::string(cells_.cell(service_column)));
        entry.rank = priority(static_cast<std::uint8_t>(
            cells_.read_whole_number(priority_column, 0, lowest_priority, true)
                .value_or(0)));
        entry.limit = cells_.read_limit();
        if (const auto timeout =
                cells_.read_whole_number(timeout_column, 1, max_timeout_ms, false))
        {
            entry.timeout = milliseconds(*timeout);
        }
        entry.at_most_once = cells_.read_flag();
        entry.path = cells_.read_path();
        entry.note = std::string(cells_.cell(note_column));
        if (named)
        {
            note_rule(entry);
        }
        rules_.push_back(std::move(entry));
    }

    /// Checks a rule against the ones before it and remembers it.
    void note_rule(const rule& entry)
    {
        const auto inserted = first_rows_.emplace(
            rule_key(entry.service.get(), entry.caller.get(), entry.path), cells_.row());
        if (!inserted.second)
        {
            add(cells_.row(), "", fault_reason::duplicate_rule,
                fmt::format("row {} has the same caller, service and path",
                            inserted.first->second));
        }
        service_state& state =
            services_.emplace(entry.service.get(), service_state{cells_.row(), false})
                .first->second;
        state.has_default |= entry.caller.get() == any_caller && entry.path.empty();
    }

    void check_default_rules()
    {
        for (const auto& [service, state] : services_)
        {
            if (!state.has_default)
            {
                add(state.first_row, column_names[service_column],
                    fault_reason::no_default_rule,
                    fmt::format("service \"{}\" has no rule with caller \"*\" and no "
                                "path",
                                service));
            }
        }
    }

    void read_setting()
    {
        for (std::size_t i = priority_column; i < note_column; ++i)
        {
            if (!cells_.cell(static_cast<column>(i)).empty())
            {
                cells_.add(static_cast<column>(i), fault_reason::unexpected_value,
                           "a setting row has its name in \"caller\" and its value in "
                           "\"service\" only");
            }
        }
        const std::string name(cells_.cell(caller_column));
        if (!read_setting_value(name))
        {
            cells_.add(caller_column, fault_reason::unknown_setting,
                       fmt::format("\"{}\" is none of domains, weigh, remember_days, "
                                   "retry_allowance",
                                   cells_.shown(caller_column)));
            return;
        }
        const auto inserted = setting_rows_.emplace(name, cells_.row());
        if (!inserted.second)
        {
            cells_.add(
                caller_column, fault_reason::duplicate_setting,
                fmt::format("row {} has the same setting", inserted.first->second));
        }
    }

    /// Returns false when there is no setting with this name.
    bool read_setting_value(const std::string& name)
    {
        if (name == "domains")
        {
            read_setting_number(1, max_domains, settings_.domains);
        }
        else if (name == "remember_days")
        {
            read_setting_number(1, max_remember_days, settings_.remember_days);
        }
        else if (name == "retry_allowance")
        {
            std::uint32_t value = 0;
            read_setting_number(0, max_retry_allowance, value);
            settings_.retry_allowance = retry_allowance(value);
        }
        else if (name == "weigh")
        {
            read_weighting();
        }
        else
        {
            return false;
        }
        return true;
    }

    void read_setting_number(std::uint32_t low, std::uint32_t high, std::uint32_t& out)
    {
        out = cells_.read_whole_number(service_column, low, high, true).value_or(low);
    }

    void read_weighting()
    {
        const std::string_view value = cells_.cell(service_column);
        if (value != "goodput" && value != "recovery")
        {
            cells_.add(service_column, fault_reason::bad_setting,
                       fmt::format("\"{}\" is neither \"goodput\" nor \"recovery\"",
                                   cells_.shown(service_column)));
        }
        settings_.weigh = value == "recovery" ? weighting::recovery : weighting::goodput;
    }

    void add_form_faults(const csv_table& table)
    {
        for (const csv_fault& fault : table.faults)
        {
            if (has_too_many_faults())
            {
                return;
            }
            add_form_fault(fault);
        }
    }

    void add_form_fault(const csv_fault& fault)
    {
        const bool named =
            fault.column < headers_.size() && !headers_[fault.column].empty();
        const std::string column = named ? printable(headers_[fault.column])
                                         : fmt::format("cell {}", fault.column + 1);
        switch (fault.kind)
        {
        case csv_fault_kind::quote_not_closed:
            add(fault.row, column, fault_reason::bad_quotes,
                "the cell starts with a quote that is never closed");
            break;
        case csv_fault_kind::stray_quote:
            add(fault.row, column, fault_reason::bad_quotes,
                "a quote stands inside the cell; write it twice in a quoted cell");
            break;
        case csv_fault_kind::not_utf8:
            add(fault.row, column, fault_reason::bad_text,
                "the cell is not UTF-8; export the sheet as UTF-8");
            break;
        case csv_fault_kind::control_character:
            add(fault.row, column, fault_reason::bad_text,
                "the cell has a control character");
            break;
        case csv_fault_kind::too_many_cells:
            add(fault.row, column, fault_reason::extra_cell,
                fmt::format("the row has more than {} cells", max_csv_cells));
            break;
        case csv_fault_kind::too_many_rows:
            add(fault.row, "", fault_reason::too_large,
                fmt::format("the sheet has more than {} rows", max_csv_rows));
            break;
        }
    }

    struct service_state
    {
        std::uint32_t first_row = 0;
        bool has_default = false;
    };
    using rule_key = std::tuple<std::string, std::string, std::string>;

    std::string_view text_;
    std::vector<sheet_fault> faults_;
    std::vector<std::string> headers_;
    std::array<std::size_t, column_count> positions_{};
    row_reader cells_{faults_};
    std::vector<rule> rules_;
    sheet_settings settings_;
    std::map<rule_key, std::uint32_t> first_rows_;
    std::map<std::string, service_state> services_;
    std::map<std::string, std::uint32_t> setting_rows_;
};

} // namespace

sheet_or_faults parse_sheet(std::string_view text)
{
    return sheet_parser(text).parse();
}

} // namespace fescueridge
