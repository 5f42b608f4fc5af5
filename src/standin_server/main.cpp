#include <csignal>
#include <cstdio>
#include <map>

#include <CLI/CLI.hpp>
#include <asio.hpp>
#include <fmt/format.h>

#include "backend_server.hpp"
#include "fescueridge/base/error.hpp"

using namespace fescueridge;

namespace
{

/// Reads "host:port"; CLI11 reports a fault with the option's name.
std::function<bool(const CLI::results_t&)> into(std::optional<endpoint>& target)
{
    return [&target](const CLI::results_t& text)
    {
        try
        {
            target = parse_endpoint(text.at(0));
            return true;
        }
        catch (const address_error&)
        {
            return false;
        }
    };
}

int run(const standin::options& settings)
{
    asio::io_context io(1);
    standin::backend_server server(io, settings);
    fmt::print(stderr, "{{\"event\":\"listening\",\"port\":{}}}\n", server.bound().port);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait(
        [&](asio::error_code ec, int)
        {
            if (!ec)
                server.drain([&] { io.stop(); });
        });
    io.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    standin::options settings;
    std::optional<endpoint> listen;
    double cold_ms = 0;
    bool unbounded = true;
    CLI::App app{"Stand-in backend server for tests of fescueridge"};
    app.add_option("--listen", into(listen), "host:port to listen on; port 0 is free")
        ->type_name("HOST:PORT");
    app.add_option("--address", into(settings.announced_address),
                   "host:port to announce, when a proxy stands in front")
        ->type_name("HOST:PORT");
    app.add_option("--service", settings.service, "name of the service")->required();
    app.add_option("--slots", settings.slots, "requests run at the same time")
        ->check(CLI::PositiveNumber);
    app.add_option("--connections", settings.connections, "connections announced")
        ->check(CLI::PositiveNumber);
    app.add_option("--service-ms", settings.service_ms, "mean service time")
        ->check(CLI::NonNegativeNumber);
    app.add_option("--service-dist", settings.service_dist, "fixed or exp")
        ->transform(
            CLI::CheckedTransformer(std::map<std::string, standin::service_time_kind>{
                {"fixed", standin::service_time_kind::fixed},
                {"exp", standin::service_time_kind::exponential}}));
    app.add_option("--seed", settings.seed, "seed of the service time and of failures");
    app.add_option("--node-operator", into(settings.node_operator),
                   "operator port of the node; announces itself there")
        ->type_name("HOST:PORT");
    app.add_option("--node-server", into(settings.node_server),
                   "server-side port of the node, for downstream calls")
        ->type_name("HOST:PORT");
    app.add_option("--downstream", settings.downstream, "services called in sequence")
        ->delimiter(',');
    app.add_option("--cold-ms", cold_ms, "time after the start in which it is slower")
        ->check(CLI::NonNegativeNumber);
    app.add_option("--poison", settings.poison, "crash when a body contains this text");
    app.add_option("--record", settings.record_file, "file for a line per execution");
    app.add_flag("--queue-is-unbounded", unbounded,
                 "requests over the slots wait without a bound (always so)");
    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& problem)
    {
        return app.exit(problem) == 0 ? 0 : 2;
    }
    settings.cold = milliseconds(static_cast<std::int64_t>(cold_ms));
    if (listen)
        settings.listen = *listen;
    try
    {
        return run(settings);
    }
    catch (const error& problem)
    {
        fmt::print(stderr, "fescue_standin_server: {}\n", problem.what());
        return 2;
    }
}
