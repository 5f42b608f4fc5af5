#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "commands.hpp"
#include "fescueridge/base/random.hpp"
#include "fescueridge/sheet/explain.hpp"
#include "operator_client.hpp"
#include "output.hpp"

namespace fescueridge
{

namespace
{

using json = nlohmann::json;

void print_faults(const std::string& file, const std::vector<sheet_fault>& faults)
{
    for (const sheet_fault& fault : faults)
    {
        const std::string column =
            fault.column.empty() ? "" : fmt::format(", column {}", fault.column);
        const std::string row =
            fault.row == 0 ? "sheet" : fmt::format("row {}", fault.row);
        fmt::print("{}: {}{}: {}: {}\n", file, row, column, to_string(fault.reason),
                   fault.text);
    }
}

int print_check(const global_options& global, const std::string& file,
                const check_result& result)
{
    if (global.json)
    {
        fmt::print("{}\n", to_text(json(result)));
    }
    else if (result.ok)
    {
        fmt::print("{}: no faults\n", file);
    }
    else
    {
        print_faults(file, result.faults);
    }
    return result.ok ? exit_ok : exit_fault;
}

void print_differences(const std::vector<row_difference>& rows)
{
    for (const row_difference& row : rows)
    {
        if (!row.before.empty())
        {
            const std::string place =
                row.row_before == 0 ? "" : fmt::format("row {}: ", row.row_before);
            fmt::print("- {}{}\n", place, row.before);
        }
        if (!row.after.empty())
        {
            const std::string place =
                row.row_after == 0 ? "" : fmt::format("row {}: ", row.row_after);
            fmt::print("+ {}{}\n", place, row.after);
        }
    }
}

json to_json_list(const std::vector<row_difference>& rows)
{
    json result = json::array();
    for (const row_difference& row : rows)
    {
        result.push_back({{"change", std::string(to_string(row.change))},
                          {"row_before", row.row_before},
                          {"row_after", row.row_after},
                          {"before", row.before},
                          {"after", row.after}});
    }
    return result;
}

/// Returns the sheet, or nothing after printing its faults.
std::shared_ptr<const sheet> check_file(const global_options& global,
                                        const std::string& file, const std::string& text)
{
    auto parsed = parse_sheet(text);
    if (auto* const faults = std::get_if<std::vector<sheet_fault>>(&parsed))
    {
        print_check(global, file, check_result{false, std::move(*faults)});
        return nullptr;
    }
    return std::get<std::shared_ptr<const sheet>>(parsed);
}

/// Sends the submit until its result is known or the deadline has passed. The submit id
/// makes it safe to send the same submit again, also through another node.
submit_result send_submit(const global_options& global, const submit_request& request)
{
    while (true)
    {
        submit_result result = ask_first(global.nodes, global.deadline,
                                         [&](const operator_client& client) {
                                             return client.post_view<submit_result>(
                                                 "/v1/sheet/submit", to_body(request));
                                         });
        const bool late = clock::now() + poll_interval >= global.deadline;
        if (result.status != submit_status::pending || late)
        {
            return result;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

std::uint64_t version_in_force(const global_options& global)
{
    return ask_first(global.nodes, global.deadline,
                     [](const operator_client& client)
                     { return client.view<status_view>("/v1/status").version; });
}

/// Prints how the file differs from the sheet that won the race; left out when no node
/// can tell.
void print_winner(const global_options& global, const sheet& submitted)
{
    try
    {
        const auto view = ask_first(global.nodes, global.deadline,
                                    [](const operator_client& client)
                                    { return client.view<sheet_view>("/v1/sheet"); });
        const auto parsed = parse_sheet(view.content);
        if (const auto* const winner = std::get_if<0>(&parsed))
        {
            fmt::print("your sheet against version {}:\n", view.version);
            print_differences(differences(**winner, submitted));
        }
    }
    catch (const unreachable_error&)
    {
        fmt::print(stderr, "fescueridge: the winning sheet cannot be read now\n");
    }
}

void print_submit(const global_options& global, const submit_request& request,
                  const submit_result& result, const sheet& submitted,
                  const std::string& file)
{
    switch (result.status)
    {
    case submit_status::accepted:
        fmt::print("accepted as version {}\n", result.version);
        break;
    case submit_status::lost:
        fmt::print("lost the race: the submit of \"{}\" (id {}) made version {} before "
                   "this one, which was based on version {}; version {} is in force\n",
                   result.winner_author, result.winner_submit, result.version,
                   request.base, result.current_version);
        print_winner(global, submitted);
        break;
    case submit_status::pending:
        fmt::print("pending: the log has not confirmed the submit (id {}); look at "
                   "\"show\" before submitting again\n",
                   request.submit_id);
        break;
    case submit_status::refused:
        print_faults(file, result.faults);
        break;
    case submit_status::unavailable:
        fmt::print(stderr, "fescueridge: the log cannot be reached; nothing was "
                           "accepted\n");
        break;
    }
}

int exit_code_of(submit_status status)
{
    if (status == submit_status::accepted)
    {
        return exit_ok;
    }
    return status == submit_status::unavailable ? exit_unreachable : exit_fault;
}

json to_json_record(const refusal_record& record)
{
    json result = {{"version", record.version.get()},
                   {"content_hash", fmt::format("{:016x}", record.content_hash)},
                   {"row", record.row},
                   {"row_text", record.row_text},
                   {"reason", std::string(to_string(record.reason))},
                   {"outcome", std::string(to_string(record.result))},
                   {"service", record.service.get()},
                   {"caller", record.caller.get()},
                   {"priority", record.rank.get()},
                   {"domain", record.domain.get()},
                   {"node", record.node.get()},
                   {"time_ms", record.wall_ms}};
    if (record.resend)
    {
        result["resend"] = *record.resend;
    }
    if (record.level)
    {
        result["level"] = {{"service", record.level->service.get()},
                           {"cut_priority", record.level->cut_priority},
                           {"cut_fraction", record.level->cut_fraction},
                           {"cut_resends", record.level->cut_resends}};
    }
    return result;
}

/// Returns the version with its author, whom not every node knows.
std::string version_text(const sheet_view& view)
{
    const std::string author = view.author.empty() ? "" : " by " + view.author;
    return fmt::format("version {}{}", view.version, author);
}

std::string_view describe(verification value)
{
    switch (value)
    {
    case verification::confirmed:
        return "The sheet given is that version, and the row stands in it.";
    case verification::same_row:
        return "The sheet given is another version, and the same row stands in it.";
    case verification::row_differs:
        return "The row does not stand in the sheet given.";
    case verification::no_row_in_record:
        return "No row decided, so there is none to look for in the sheet given.";
    }
    return "";
}

} // namespace

std::string read_file(const std::string& name)
{
    std::ifstream file(name, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    if (!file)
    {
        throw usage_error(fmt::format("cannot read file \"{}\"", name));
    }
    return content.str();
}

int run_check(const global_options& global, const std::string& file)
{
    if (check_file(global, file, read_file(file)) == nullptr)
    {
        return exit_fault;
    }
    return print_check(global, file, check_result{true, {}});
}

int run_submit(const global_options& global, const submit_options& options)
{
    submit_request request;
    request.content = read_file(options.file);
    const auto submitted = check_file(global, options.file, request.content);
    if (submitted == nullptr)
    {
        return exit_fault;
    }
    request.author = options.author;
    request.base = options.base ? *options.base : version_in_force(global);
    request.submit_id = fmt::format("{:016x}", random_seed());
    const submit_result result = send_submit(global, request);
    int code = exit_code_of(result.status);
    json document = result;
    if (!global.json)
    {
        print_submit(global, request, result, *submitted, options.file);
    }
    if (options.wait && result.status == submit_status::accepted)
    {
        std::vector<domain_view> domains;
        const bool everywhere =
            wait_in_force(global, result.version, submitted->settings().domains, domains);
        code = everywhere ? exit_ok : exit_fault;
        document["in_force"] = everywhere;
        document["domains"] = domains;
    }
    if (global.json)
    {
        fmt::print("{}\n", to_text(document));
    }
    return code;
}

int run_show(const global_options& global, const std::string& against)
{
    const auto view = ask_first(global.nodes, global.deadline,
                                [](const operator_client& client)
                                { return client.view<sheet_view>("/v1/sheet"); });
    if (view.version == 0)
    {
        fmt::print(stderr, "fescueridge: no sheet is in force\n");
        return exit_fault;
    }
    if (against.empty())
    {
        fmt::print("{}", global.json ? to_text(json(view)) + "\n" : view.content);
        fmt::print(stderr, "{}\n", version_text(view));
        return exit_ok;
    }
    const auto before = check_file(global, against, read_file(against));
    const auto after = parse_sheet(view.content);
    if (before == nullptr || after.index() != 0)
    {
        return exit_fault;
    }
    const auto rows = differences(*before, *std::get<0>(after));
    if (global.json)
    {
        fmt::print("{}\n", to_text({{"version", view.version},
                                    {"author", view.author},
                                    {"differences", to_json_list(rows)}}));
        return exit_ok;
    }
    fmt::print("{} (-) against {} (+): {} rows differ\n", against, version_text(view),
               rows.size());
    print_differences(rows);
    return exit_ok;
}

int run_explain(const global_options& global, const std::string& token,
                const std::string& sheet_file)
{
    const refusal_record record = decode_token(token);
    const std::string text = explain(record);
    json document = {{"text", text}, {"record", to_json_record(record)}};
    std::optional<verification> verified;
    if (!sheet_file.empty())
    {
        const auto source = check_file(global, sheet_file, read_file(sheet_file));
        if (source == nullptr)
        {
            return exit_fault;
        }
        verified = verify_against(record, *source);
        document["verification"] = std::string(to_string(*verified));
    }
    if (global.json)
    {
        fmt::print("{}\n", to_text(document));
    }
    else
    {
        fmt::print("{}", text);
        fmt::print("{}{}", verified ? describe(*verified) : "", verified ? "\n" : "");
    }
    return verified == verification::row_differs ? exit_fault : exit_ok;
}

} // namespace fescueridge
