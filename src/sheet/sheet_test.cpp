#include "fescueridge/sheet/sheet.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <random>

#include "fescueridge/sheet/csv.hpp"

using namespace fescueridge;

namespace
{

void expect_text(const std::string& actual, const std::string& expected)
{
    cr_expect(actual == expected, "\"%s\" is not \"%s\"", actual.c_str(),
              expected.c_str());
}

const std::string header =
    "kind,caller,service,priority,limit_per_s,timeout_ms,at_most_once,path,note\n";

std::shared_ptr<const sheet> must_parse(const std::string& text)
{
    auto result = parse_sheet(text);
    cr_assert(std::holds_alternative<std::shared_ptr<const sheet>>(result));
    return std::get<std::shared_ptr<const sheet>>(result);
}

std::vector<sheet_fault> faults_of(const std::string& text)
{
    auto result = parse_sheet(text);
    cr_assert(std::holds_alternative<std::vector<sheet_fault>>(result));
    return std::get<std::vector<sheet_fault>>(result);
}

std::string shown(const std::vector<sheet_fault>& faults)
{
    std::string result;
    for (const sheet_fault& fault : faults)
    {
        result +=
            fmt::format("{}:{}:{} ", fault.row, fault.column, to_string(fault.reason));
    }
    return result;
}

void expect_faults(const std::string& rows, const std::string& expected)
{
    const std::string found = shown(faults_of(header + rows));
    expect_text(found, expected);
}

std::uint32_t row_for(const sheet& source, const char* service, const char* caller,
                      const char* path)
{
    const rule* const found = source.find(service, caller, path);
    return found == nullptr ? 0 : found->row;
}

const std::string small_sheet =
    header + "setting,domains,4,,,,,,\n"
             "rule,*,till-pricing,3,,,,,\n"
             "\n"
             "rule,tablet,till-pricing,0,500.5,250,yes,/price,\"a, \"\"b\"\"\"\n"
             "rule,tablet,till-pricing,1,,,,/price/now/,\n"
             "rule,*,till-pricing,5,,,,/price/now/long,\n";

} // namespace

// Guards against rows that are read into the wrong cells or get the wrong number.
Test(csv, quotes_line_ends_and_row_numbers)
{
    const csv_table table =
        parse_csv("\xef\xbb\xbf"
                  "a;\"b;1\";c,d\r\n\r\n;;\r\n\"x\r\ny\";\"say \"\"z\"\"\";\rlast");
    cr_assert(table.faults.empty());
    cr_expect_eq(table.separator, ';');
    cr_assert_eq(table.rows.size(), 3);
    expect_text(table.rows[0].cells[0], "a");
    expect_text(table.rows[0].cells[1], "b;1");
    expect_text(table.rows[0].cells[2], "c,d");
    cr_expect_eq(table.rows[1].number, 4);
    expect_text(table.rows[1].cells[0], "x\r\ny");
    expect_text(table.rows[1].cells[1], "say \"z\"");
    cr_expect_eq(table.rows[1].cells.size(), 3);
    cr_expect_eq(table.rows[2].number, 5);
}

// Guards against damaged tables that pass, and against a huge row that takes much memory.
Test(csv, form_faults)
{
    const auto kind_of = [](const std::string& text)
    {
        return parse_csv(text).faults.at(0).kind;
    };
    cr_expect_eq(kind_of("a,\"b"), csv_fault_kind::quote_not_closed);
    cr_expect_eq(kind_of("a,b\"c"), csv_fault_kind::stray_quote);
    cr_expect_eq(kind_of("\"a\"b,c"), csv_fault_kind::stray_quote);
    cr_expect_eq(kind_of("a\xe4,b"), csv_fault_kind::not_utf8);
    cr_expect_eq(kind_of(std::string("a\0,b", 4)), csv_fault_kind::control_character);
    const csv_table wide = parse_csv("x" + std::string(1000, ','));
    cr_expect_eq(wide.faults.at(0).kind, csv_fault_kind::too_many_cells);
    cr_expect_eq(wide.rows[0].cells.size(), max_csv_cells);
    std::string tall;
    for (std::size_t i = 0; i <= max_csv_rows; ++i)
    {
        tall += "x\n";
    }
    cr_expect_eq(kind_of(tall), csv_fault_kind::too_many_rows);
}

// Guards against a cell that is lost or that turns up in another field.
Test(sheet, reads_rules_and_settings)
{
    const auto parsed = must_parse(small_sheet);
    cr_expect_eq(parsed->settings().domains, 4);
    cr_expect_eq(parsed->settings().weigh, weighting::goodput);
    cr_expect_eq(parsed->settings().remember_days, 7);
    cr_expect_eq(parsed->settings().retry_allowance.get(), 3);
    const rule* const found = parsed->find_row(5);
    cr_assert_not_null(found);
    expect_text(found->caller.get(), "tablet");
    cr_expect_eq(found->rank.get(), 0);
    cr_expect_eq(found->limit->get(), 500.5);
    cr_expect_eq(found->timeout->count(), 250);
    cr_expect(found->at_most_once);
    expect_text(to_row_text(*found),
                "rule,tablet,till-pricing,0,500.5,250,yes,/price,\"a, \"\"b\"\"\"");
    cr_expect_null(parsed->find_row(4));
}

// Guards against another order of the lookup than the sheet's rules state.
Test(sheet, exact_caller_before_any_and_longest_path_first)
{
    const auto parsed = must_parse(small_sheet);
    cr_expect_eq(row_for(*parsed, "till-pricing", "tablet", "/price/now/long"), 6);
    cr_expect_eq(row_for(*parsed, "till-pricing", "tablet", "/price/nowadays"), 5);
    cr_expect_eq(row_for(*parsed, "till-pricing", "tablet", "/price?id=1"), 5);
    cr_expect_eq(row_for(*parsed, "till-pricing", "tablet", "/prices"), 3);
    cr_expect_eq(row_for(*parsed, "till-pricing", "app", "/price/now/long"), 7);
    cr_expect_eq(row_for(*parsed, "till-pricing", "app", "/price"), 3);
    cr_expect_eq(row_for(*parsed, "other", "app", "/price"), 0);
}

// Guards against a caller that names itself "*" and gets more than the default rules.
Test(sheet, caller_named_like_the_default)
{
    const auto parsed = must_parse(small_sheet);
    cr_expect_eq(row_for(*parsed, "till-pricing", "*", "/price"), 3);
}

// Guards against a sheet that is refused because of its separator or column order.
Test(sheet, semicolons_and_other_column_order)
{
    const auto parsed =
        must_parse("note;kind;caller;service;priority;limit_per_s;timeout_ms;"
                   "at_most_once;path;;\r\n"
                   "x;rule;*;menu;9;;;FALSE;/;;\r\n");
    cr_expect_eq(row_for(*parsed, "menu", "app", "/"), 2);
    expect_text(parsed->rules()[0].note, "x");
}

// Guards against faults that pass, that hide each other, or that name the wrong cell.
Test(sheet, names_every_fault)
{
    expect_faults("rule,*,menu,1,,,,,\nrule,*,menu,2,,,,/,\n", "3::duplicate_rule ");
    expect_faults("rule,app,menu,1,,,,,\nrule,*,menu,2,,,,/x,\n",
                  "2:service:no_default_rule ");
    expect_faults("rul,*,menu,1,,,,,\n", "2:kind:unknown_kind ");
    expect_faults("rule,*,menu,10,x,0,maybe,menu,\nrule,,me nu,,1e3,1.5,,/a b,\n",
                  "2:priority:out_of_range 2:limit_per_s:bad_number "
                  "2:timeout_ms:out_of_range 2:at_most_once:bad_flag 2:path:bad_path "
                  "2:service:no_default_rule "
                  "3:caller:missing_value 3:priority:missing_value "
                  "3:limit_per_s:bad_number 3:timeout_ms:bad_number 3:path:bad_path ");
    expect_faults("rule,*,a b,1,,,,,\n", "2:service:bad_name ");
    expect_faults("rule,*,*,1,,,,,\n", "2:service:bad_name ");
    expect_faults("rule,*,menu,1,nan,,,,\n", "2:limit_per_s:bad_number ");
    expect_faults("rule,*,menu,1,0,,,,\n", "2:limit_per_s:out_of_range ");
    expect_faults("rule,*,menu,99999999999999999999,,,,,\n", "2:priority:out_of_range ");
    expect_faults("rule,*,menu,1,,,,,,extra\n", "2:cell 10:extra_cell ");
    expect_faults("rule,*,menu,1,,,,," + std::string(201, 'n') + "\n",
                  "2:note:too_long ");
    expect_faults("rule,*,menu,1,,,,,\xff\n", "2:note:bad_text ");
    expect_faults("setting,domains,0,,,,,,\nsetting,color,red,,,,,,\n"
                  "setting,weigh,speed,1,,,,,\nsetting,weigh,goodput,,,,,,\n"
                  "rule,*,menu,1,,,,,\n",
                  "2:service:out_of_range 3:caller:unknown_setting "
                  "4:priority:unexpected_value 4:service:bad_setting "
                  "5:caller:duplicate_setting ");
    expect_faults("", "0::empty_sheet ");
}

// Guards against a sheet without its columns that is read as an empty one.
Test(sheet, header_faults)
{
    expect_text(shown(faults_of("")), "0::empty_sheet ");
    const std::string found = shown(
        faults_of("kind,caller,service,priority,limit,timeout_ms,path,path,note\n"));
    expect_text(found, "1:limit:unknown_column 1:path:duplicate_column "
                       "1:limit_per_s:missing_column "
                       "1:at_most_once:missing_column ");
    expect_text(shown(faults_of(std::string(max_sheet_bytes + 1, 'x'))), "0::too_large ");
}

// Guards against a list of faults that takes more memory than a node has.
Test(sheet, number_of_faults_is_bounded)
{
    std::string rows;
    for (std::size_t i = 0; i < max_csv_rows - 1; ++i)
    {
        rows += "rul,\xff,,,,,,,\n";
    }
    const auto faults = faults_of(header + rows);
    cr_expect_leq(faults.size(), max_sheet_faults + 10);
    cr_expect_eq(faults.back().reason, fault_reason::too_many_faults);
    cr_expect_eq(parse_fault_reason("too_many_faults"), fault_reason::too_many_faults);
}

// Guards against differences that are missed, and against moved rows shown as changed.
Test(sheet, differences_between_sheets)
{
    const auto before = must_parse(header + "rule,*,menu,1,,,,,\nrule,app,menu,2,,,,,\n"
                                            "rule,app,menu,2,,,,/x,\n");
    const auto after = must_parse(header + "setting,weigh,recovery,,,,,,\n"
                                           "rule,*,menu,1,,,,,\nrule,app,menu,3,,,,,\n"
                                           "rule,tablet,menu,2,,,,/x,\n");
    const auto found = differences(*before, *after);
    cr_assert_eq(found.size(), 4);
    expect_text(found[0].after, "setting,weigh,recovery,,,,,,");
    cr_expect_eq(found[1].change, row_change::changed);
    cr_expect_eq(found[1].row_before, 3);
    cr_expect_eq(found[1].row_after, 4);
    cr_expect_eq(found[2].change, row_change::added);
    cr_expect_eq(found[3].change, row_change::removed);
    cr_expect_eq(found[3].row_before, 4);
    cr_expect(differences(*after, *after).empty());
}

// Guards against a crash, an untyped error or an endless loop on damaged sheets. A sheet
// that is accepted must have a rule for each of its services.
Test(sheet, mutated_sheets_give_faults_only)
{
    constexpr unsigned seed = 20261;
    std::mt19937 random(seed);
    const std::string alphabet = "\",;\n\r\0*/5ae\xef\xbb\xff -."
                                 "yes";
    for (int round = 0; round < 20'000; ++round)
    {
        std::string text = small_sheet;
        for (unsigned edits = 1 + random() % 8; edits > 0; --edits)
        {
            const std::size_t at = random() % text.size();
            const char c = alphabet[random() % alphabet.size()];
            switch (random() % 3)
            {
            case 0:
                text[at] = c;
                break;
            case 1:
                text.insert(at, 1, c);
                break;
            default:
                text.erase(at, 1 + random() % 20);
                break;
            }
        }
        const auto result = parse_sheet(text);
        if (const auto* const faults = std::get_if<std::vector<sheet_fault>>(&result))
        {
            cr_assert(!faults->empty(), "seed %u round %d", seed, round);
            continue;
        }
        for (const rule& entry : std::get<0>(result)->rules())
        {
            cr_assert_not_null(
                std::get<0>(result)->find(entry.service.get(), "new", "/new"),
                "seed %u round %d", seed, round);
        }
    }
}
