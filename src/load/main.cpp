#include <cstdint>
#include <cstdio>
#include <exception>
#include <fstream>
#include <string>

#include <CLI/CLI.hpp>
#include <asio/io_context.hpp>
#include <fmt/format.h>

#include "fescueridge/base/error.hpp"
#include "plan.hpp"
#include "report.hpp"
#include "runner.hpp"

namespace
{

struct load_options
{
    std::string plan;
    std::string out;
    std::string mode = "open";
    std::uint64_t seed = 1;
    std::size_t connections = 1;
};

void write_report(const std::string& file, const std::string& report)
{
    if (file.empty())
    {
        fmt::print("{}\n", report);
        return;
    }
    std::ofstream stream(file);
    stream << report << '\n';
    if (!stream.flush())
    {
        throw fescueridge::error(fmt::format("cannot write \"{}\"", file));
    }
}

void run(const load_options& options)
{
    const load::load_plan plan = load::load_plan_file(options.plan);
    asio::io_context context(1);
    load::runner runner(context, plan, options.seed);
    fmt::print(stderr, "{{\"event\":\"start\",\"seed\":{}}}\n", options.seed);
    if (options.mode == "closed")
    {
        runner.start_closed(options.connections);
    }
    else
    {
        runner.start_open();
    }
    runner.run_to_end();
    write_report(options.out,
                 load::make_report(plan, runner.take_record(), options.seed));
}

} // namespace

int main(int argc, char** argv)
{
    load_options options;
    CLI::App app("Sends the calls of a plan and reports how they ended, as JSON.");
    app.add_option("--plan", options.plan, "plan file, JSON with comments")->required();
    app.add_option("--out", options.out,
                   "file for the report; standard output if absent");
    app.add_option("--seed", options.seed, "seed of the arrivals");
    app.add_option("--mode", options.mode, "open (by the plan's rates) or closed")
        ->check(CLI::IsMember({"open", "closed"}));
    app.add_option("--connections", options.connections,
                   "calls under way at a time in closed mode")
        ->check(CLI::PositiveNumber);
    CLI11_PARSE(app, argc, argv);
    try
    {
        run(options);
        return 0;
    }
    catch (const fescueridge::error& problem)
    {
        fmt::print(stderr, "fescue_load: {}\n", problem.what());
        return 2;
    }
}
