#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <functional>
#include <sstream>

#include "commands.hpp"
#include "fescueridge/sheet/explain.hpp"
#include "operator_client.hpp"

namespace
{

using namespace fescueridge;

constexpr std::int64_t default_timeout_ms = 10'000;
constexpr std::int64_t max_timeout_ms = 3'600'000;

constexpr const char* examples = R"(Examples:
  fescueridge check sheet.csv
  fescueridge --node 127.0.0.1:7004,127.0.0.1:7104 submit sheet.csv --author ana --wait
  fescueridge --node 127.0.0.1:7004 show --against sheet.csv
  fescueridge --node 127.0.0.1:7004,127.0.0.1:7104 status
  fescueridge explain TOKEN --sheet sheet.csv
  fescueridge --node 127.0.0.1:7004,127.0.0.1:7104 timeline --name sheet --follow
  fescueridge --node 127.0.0.1:7004 drain

Exit codes: 0 ok, 1 refused or fault found, 2 bad use or settings, 3 unreachable)";

/// What the command line says.
struct command_line
{
    std::string nodes;
    bool json = false;
    std::int64_t timeout_ms = default_timeout_ms;
    std::string file;
    std::string against;
    std::string token;
    submit_options submit;
    timeline_options timeline;
    bool needs_node = true;
    std::function<int(const global_options&)> run;
};

CLI::App* add_command(CLI::App& app, command_line& line, const char* name,
                      const char* text, int (*run)(const global_options&))
{
    CLI::App* const command = app.add_subcommand(name, text);
    command->callback([&line, run] { line.run = run; });
    return command;
}

void add_global_options(CLI::App& app, command_line& line)
{
    app.add_option("--node", line.nodes,
                   "Operator ports, address:port[,address:port...]; may be repeated")
        ->join(',');
    app.add_flag("--json", line.json, "Print JSON");
    app.add_option("--timeout-ms", line.timeout_ms,
                   "Longest time for the whole command, with --wait too")
        ->check(CLI::Range(std::int64_t{1}, max_timeout_ms))
        ->capture_default_str();
}

void add_local_commands(CLI::App& app, command_line& line)
{
    CLI::App* const check = app.add_subcommand("check", "Check a sheet; needs no node");
    check->add_option("FILE", line.file, "Sheet (CSV)")->required();
    check->callback(
        [&line]
        {
            line.needs_node = false;
            line.run = [&line](const global_options& global)
            {
                return run_check(global, line.file);
            };
        });
    CLI::App* const explain =
        app.add_subcommand("explain", "Explain a refusal from its token; needs no node");
    explain->add_option("TOKEN", line.token, "Value of Fescue-Refusal")->required();
    explain->add_option("--sheet", line.file, "Sheet to look for the row in");
    explain->callback(
        [&line]
        {
            line.needs_node = false;
            line.run = [&line](const global_options& global)
            {
                return run_explain(global, line.token, line.file);
            };
        });
}

void add_sheet_commands(CLI::App& app, command_line& line)
{
    CLI::App* const submit = app.add_subcommand("submit", "Submit a sheet");
    submit->add_option("FILE", line.submit.file, "Sheet (CSV)")->required();
    submit->add_option("--author", line.submit.author, "Who submits it")->required();
    submit->add_option("--base", line.submit.base,
                       "Version that was edited; default is the one in force");
    submit->add_flag("--wait", line.submit.wait,
                     "Wait until it is in force in every failure domain");
    submit->callback(
        [&line]
        {
            line.run = [&line](const global_options& global)
            {
                return run_submit(global, line.submit);
            };
        });
    CLI::App* const show = app.add_subcommand("show", "Print the sheet in force");
    show->add_option("--against", line.against, "Print how it differs from this sheet");
    show->callback(
        [&line]
        {
            line.run = [&line](const global_options& global)
            {
                return run_show(global, line.against);
            };
        });
}

void add_fleet_commands(CLI::App& app, command_line& line)
{
    add_command(app, line, "status", "Show every node given and the failure domains",
                run_status);
    add_command(app, line, "members", "List the members that a node knows", run_members);
    add_command(app, line, "pressure", "Show the admission levels that a node knows",
                run_pressure);
    add_command(app, line, "drain", "Drain the backend server of the one node given",
                run_drain);
    CLI::App* const timeline =
        app.add_subcommand("timeline", "Merge the events of all nodes in causal order");
    timeline->add_option("--since", line.timeline.since_ms,
                         "Oldest time wanted, in ms since the Unix epoch");
    timeline->add_option("--name", line.timeline.name, "Prefix of the event name");
    timeline->add_flag("--follow", line.timeline.follow, "Go on with new events");
    timeline->callback(
        [&line]
        {
            line.run = [&line](const global_options& global)
            {
                return run_timeline(global, line.timeline);
            };
        });
}

std::vector<endpoint> parse_nodes(const std::string& text)
{
    std::vector<endpoint> result;
    std::istringstream parts(text);
    std::string part;
    while (std::getline(parts, part, ','))
    {
        result.push_back(parse_endpoint(part));
    }
    return result;
}

int run(const command_line& line)
{
    global_options global;
    global.nodes = parse_nodes(line.nodes);
    global.json = line.json;
    global.deadline = clock::now() + milliseconds(line.timeout_ms);
    if (line.needs_node && global.nodes.empty())
    {
        throw usage_error("this command needs --node");
    }
    return line.run(global);
}

int report(const std::exception& problem, exit_code code)
{
    fmt::print(stderr, "fescueridge: {}\n", problem.what());
    return code;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Manages the sheet and the nodes of fescueridge", "fescueridge");
    app.footer(examples);
    app.require_subcommand(1);
    app.fallthrough();
    command_line line;
    add_global_options(app, line);
    add_local_commands(app, line);
    add_sheet_commands(app, line);
    add_fleet_commands(app, line);
    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& problem)
    {
        return app.exit(problem) == 0 ? exit_ok : exit_usage;
    }
    try
    {
        return run(line);
    }
    catch (const usage_error& problem)
    {
        return report(problem, exit_usage);
    }
    catch (const address_error& problem)
    {
        return report(problem, exit_usage);
    }
    catch (const unreachable_error& problem)
    {
        return report(problem, exit_unreachable);
    }
    catch (const error& problem)
    {
        return report(problem, exit_fault);
    }
}
