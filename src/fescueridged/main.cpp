#include <CLI/CLI.hpp>
#include <csignal>
#include <fmt/format.h>
#include <thread>

#include "fescueridge/base/error.hpp"
#include "fescueridge/base/error_line.hpp"
#include "fescueridge/node/node.hpp"

namespace
{

constexpr int exit_ok = 0;
constexpr int exit_startup_error = 2;

/// Blocks SIGTERM and SIGINT in this thread and in all threads it starts later, so that
/// one thread can wait for them with sigwait().
sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int serve(const std::string& settings_file)
{
    const sigset_t signals = block_stop_signals();
    std::signal(SIGPIPE, SIG_IGN);
    fescueridge::node node(fescueridge::load_settings(settings_file));
    std::thread signal_thread(
        [&]
        {
            int received = 0;
            sigwait(&signals, &received);
            node.request_stop();
        });
    node.run();
    signal_thread.join();
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("fescueridge node: overload control beside one backend server");
    std::string settings_file;
    bool check_only = false;
    app.add_option("settings", settings_file, "Settings file (JSON with comments)")
        ->required();
    app.add_flag("--check", check_only, "Check the settings file and exit");
    app.footer(
        "Example: fescueridged /etc/fescueridge/node.json\n"
        "On SIGTERM or SIGINT the node exits after the calls in flight have ended. "
        "Exit codes: 0 stopped, 2 invalid settings or a port in use.");
    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& problem)
    {
        return app.exit(problem) == 0 ? exit_ok : exit_startup_error;
    }
    try
    {
        if (check_only)
        {
            fescueridge::load_settings(settings_file);
            return exit_ok;
        }
        return serve(settings_file);
    }
    catch (const fescueridge::settings_error& problem)
    {
        fescueridge::print_error_line("settings_error", settings_file, problem.key(),
                                      problem.what());
    }
    catch (const fescueridge::listen_error& problem)
    {
        fescueridge::print_error_line("address_error", settings_file, problem.key(),
                                      fmt::format("{}: key \"{}\": {}", settings_file,
                                                  problem.key(), problem.what()));
    }
    return exit_startup_error;
}
