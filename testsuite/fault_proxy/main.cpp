#include <chrono>
#include <csignal>
#include <cstdio>
#include <functional>
#include <future>
#include <optional>
#include <string>
#include <thread>

#include <CLI/CLI.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <fmt/format.h>
#include <httplib.h>

#include "faults.hpp"
#include "fescueridge/base/endpoint.hpp"
#include "fescueridge/base/error.hpp"
#include "tcp_proxy.hpp"
#include "udp_proxy.hpp"

namespace
{

using fescueridge::endpoint;

template <class Protocol>
typename Protocol::endpoint to_asio(const endpoint& address)
{
    return {asio::ip::make_address(address.address), address.port};
}

struct proxy_options
{
    std::string listen;
    std::string target;
    std::string control;
    bool udp = false;
};

/// Runs a change on the thread of the io_context and waits for its end.
void run_there(asio::io_context& context, const std::function<void()>& change)
{
    std::promise<void> done;
    asio::post(context,
               [&]
               {
                   try
                   {
                       change();
                       done.set_value();
                   }
                   catch (...)
                   {
                       done.set_exception(std::current_exception());
                   }
               });
    done.get_future().get();
}

void answer_control(const httplib::Request& request, httplib::Response& response,
                    asio::io_context& context,
                    const std::function<void(std::string)>& set)
{
    try
    {
        run_there(context, [&] { set(request.body); });
        response.set_content("{}", "application/json");
    }
    catch (const std::exception& problem)
    {
        response.status = 400;
        response.set_content(problem.what(), "text/plain");
    }
}

void run(const proxy_options& options)
{
    asio::io_context context;
    fault_proxy::faults active;
    const endpoint listen = fescueridge::parse_endpoint(options.listen);
    const endpoint target = fescueridge::parse_endpoint(options.target);
    const endpoint control = fescueridge::parse_endpoint(options.control);
    std::optional<fault_proxy::tcp_proxy> tcp;
    std::optional<fault_proxy::udp_proxy> udp;
    if (options.udp)
    {
        udp.emplace(context, to_asio<asio::ip::udp>(listen),
                    to_asio<asio::ip::udp>(target), active);
    }
    else
    {
        tcp.emplace(context, to_asio<asio::ip::tcp>(listen),
                    to_asio<asio::ip::tcp>(target), active);
    }
    const auto set = [&](const std::string& body)
    {
        fault_proxy::apply_control(active, body);
        if (tcp)
        {
            tcp->faults_changed();
        }
    };
    httplib::Server server;
    server.Post("/control",
                [&](const httplib::Request& request, httplib::Response& response)
                { answer_control(request, response, context, set); });
    if (!server.bind_to_port(control.address.c_str(), control.port))
    {
        throw fescueridge::address_error(
            fmt::format("cannot listen on {}", options.control));
    }
    std::thread control_thread([&] { server.listen_after_bind(); });
    // A stop before the server runs would be lost.
    while (!server.is_running())
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const std::error_code&, int) { server.stop(); });
    std::thread waiter(
        [&]
        {
            control_thread.join();
            context.stop();
        });
    fmt::print(stderr, "{{\"event\":\"listening\",\"port\":{}}}\n",
               tcp ? tcp->port() : udp->port());
    context.run();
    waiter.join();
}

} // namespace

int main(int argc, char** argv)
{
    proxy_options options;
    CLI::App app("Forwards connections or datagrams and injects faults.");
    app.add_option("--listen", options.listen, "address:port to listen on")->required();
    app.add_option("--target", options.target, "address:port to forward to")->required();
    app.add_option("--control", options.control, "address:port of the control HTTP")
        ->required();
    app.add_flag("--udp", options.udp, "forward datagrams instead of connections");
    CLI11_PARSE(app, argc, argv);
    try
    {
        run(options);
        return 0;
    }
    catch (const std::exception& problem)
    {
        fmt::print(stderr, "fescue_fault_proxy: {}\n", problem.what());
        return 2;
    }
}
