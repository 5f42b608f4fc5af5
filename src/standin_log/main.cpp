#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <thread>
#include <websocketpp/base64/base64.hpp>

#include "fescueridge/base/endpoint.hpp"
#include "fescueridge/log_service/memory_log_service.hpp"
#include "rate_cap.hpp"

using namespace fescueridge;
using json = nlohmann::json;

namespace
{

// Longer than any slowness that a test sets, so the stand-in never times out by itself.
constexpr milliseconds no_timeout{3'600'000};

// Longest poll that is granted; a client that asks for more polls again.
constexpr std::uint64_t max_wait_ms = 30'000;

constexpr const char* json_type = "application/json";

/// Serves the log service's HTTP protocol and the control requests of the tests.
class log_server
{
public:
    log_server(milliseconds retention, double appends_per_second)
        : cap_(appends_per_second)
    {
        log_.set_retention(retention);
    }

    void add_routes(httplib::Server& server)
    {
        const char* const records = R"(/v1/streams/(.+)/records)";
        server.Post(records,
                    [this](const httplib::Request& request, httplib::Response& answer)
                    { append(request, answer); });
        server.Get(records, [this](const httplib::Request& request,
                                   httplib::Response& answer) { read(request, answer); });
        server.Post("/control",
                    [this](const httplib::Request& request, httplib::Response& answer)
                    { control(request, answer); });
        server.Get("/control/stats",
                   [this](const httplib::Request&, httplib::Response& answer)
                   { stats(answer); });
    }

    /// Ends the long polls under way.
    void shut_down() { log_.set_down(true); }

private:
    void append(const httplib::Request& request, httplib::Response& answer)
    {
        if (!cap_.take(clock::now()))
        {
            refuse(answer, "too many appends a second");
            return;
        }
        try
        {
            const log_offset offset =
                log_.append(request.matches[1], request.body, no_timeout);
            answer.set_content(json{{"offset", offset.get()}}.dump(), json_type);
        }
        catch (const log_unavailable_error& problem)
        {
            refuse(answer, problem.what());
        }
        catch (const log_unknown_error&)
        {
            ++lost_answers_;
            cut(answer);
        }
    }

    void read(const httplib::Request& request, httplib::Response& answer)
    {
        ++reads_;
        try
        {
            const std::uint64_t wait =
                std::min(number(request, "wait_ms", 0), max_wait_ms);
            const log_page page =
                log_.read(request.matches[1], log_offset(number(request, "from", 0)),
                          static_cast<std::uint32_t>(number(request, "max", 256)),
                          milliseconds(wait), no_timeout);
            answer.set_content(to_json(page).dump(), json_type);
        }
        catch (const log_truncated_error& problem)
        {
            answer.status = 410;
            answer.set_content(json{{"oldest", problem.oldest().get()}}.dump(),
                               json_type);
        }
        catch (const log_unavailable_error& problem)
        {
            refuse(answer, problem.what());
        }
        catch (const std::logic_error&)
        {
            answer.status = 400;
            answer.set_content(json{{"error", "bad number"}}.dump(), json_type);
        }
    }

    void control(const httplib::Request& request, httplib::Response& answer)
    {
        try
        {
            apply(json::parse(request.body));
            answer.set_content(json::object().dump(), json_type);
        }
        catch (const json::exception& problem)
        {
            answer.status = 400;
            answer.set_content(json{{"error", problem.what()}}.dump(), json_type);
        }
    }

    void apply(const json& settings)
    {
        if (settings.contains("down"))
        {
            log_.set_down(settings.at("down").get<bool>());
        }
        if (settings.contains("slow_ms"))
        {
            log_.set_slow(milliseconds(settings.at("slow_ms").get<std::int64_t>()));
        }
        if (settings.contains("retention_ms"))
        {
            log_.set_retention(
                milliseconds(settings.at("retention_ms").get<std::int64_t>()));
        }
        if (settings.contains("clock_ahead_ms"))
        {
            const auto ahead = settings.at("clock_ahead_ms").get<std::int64_t>();
            log_.set_wall_clock([ahead] { return wall_clock_ms() + ahead; });
        }
        if (settings.contains("drop_before"))
        {
            const json& drop = settings.at("drop_before");
            log_.drop_before(drop.at("stream").get<std::string>(),
                             log_offset(drop.at("offset").get<std::uint64_t>()));
        }
        if (settings.contains("lose_answers") || settings.contains("delay_effect_ms"))
        {
            set_faults(settings);
        }
    }

    void set_faults(const json& settings)
    {
        using fault = memory_log_service::append_fault;
        const milliseconds delay(settings.value("delay_effect_ms", std::int64_t{0}));
        fault chosen = fault::none;
        if (settings.value("lose_answers", false))
        {
            chosen = fault::lost_answer;
        }
        if (delay > milliseconds(0))
        {
            chosen = fault::delayed;
        }
        log_.set_append_faults([chosen] { return chosen; }, delay);
    }

    void stats(httplib::Response& answer) const
    {
        const json result = {{"appends", log_.append_count()},
                             {"reads", reads_.load()},
                             {"refused", refused_.load()},
                             {"lost_answers", lost_answers_.load()}};
        answer.set_content(result.dump(), json_type);
    }

    static std::uint64_t number(const httplib::Request& request, const char* name,
                                std::uint64_t fallback)
    {
        return request.has_param(name) ? std::stoull(request.get_param_value(name))
                                       : fallback;
    }

    static json to_json(const log_page& page)
    {
        json records = json::array();
        for (const log_record& record : page.records)
        {
            records.push_back({{"offset", record.offset.get()},
                               {"time_ms", record.wall_ms},
                               {"data", websocketpp::base64_encode(record.data)}});
        }
        return {{"oldest", page.oldest.get()},
                {"next", page.next.get()},
                {"records", std::move(records)}};
    }

    void refuse(httplib::Response& answer, const char* reason)
    {
        ++refused_;
        answer.status = 503;
        answer.set_content(json{{"error", reason}}.dump(), json_type);
    }

    /// Breaks the connection in the middle of the answer.
    static void cut(httplib::Response& answer)
    {
        answer.set_content_provider(16, json_type,
                                    [](std::size_t, std::size_t, httplib::DataSink&)
                                    { return false; });
    }

    memory_log_service log_;
    rate_cap cap_;
    std::atomic<std::uint64_t> reads_{0};
    std::atomic<std::uint64_t> refused_{0};
    std::atomic<std::uint64_t> lost_answers_{0};
};

int serve(const endpoint& listen, log_server& log, std::size_t threads)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    httplib::Server server;
    server.new_task_queue = [threads]
    {
        return new httplib::ThreadPool(threads);
    };
    server.set_tcp_nodelay(true);
    server.set_payload_max_length(std::size_t{64} * 1024 * 1024);
    log.add_routes(server);
    int port = listen.port;
    const bool bound = port == 0 ? (port = server.bind_to_any_port(listen.address)) > 0
                                 : server.bind_to_port(listen.address, port);
    if (!bound)
    {
        fmt::print(stderr, "cannot listen on {}\n", to_string(listen));
        return 2;
    }
    std::thread stopper(
        [&]
        {
            int received = 0;
            sigwait(&signals, &received);
            log.shut_down();
            server.stop();
        });
    fmt::print(stderr, "{}\n", json{{"event", "listening"}, {"port", port}}.dump());
    server.listen_after_bind();
    stopper.join();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Stand-in for the platform's log service"};
    std::string listen = "127.0.0.1:0";
    std::int64_t retention_ms = 0;
    double appends_per_second = 0;
    std::size_t threads = 128;
    app.add_option("--listen", listen, "address:port; port 0 picks a free one");
    app.add_option("--retention-ms", retention_ms, "age at which records are dropped");
    app.add_option("--appends-per-second", appends_per_second, "refuse more with 503");
    app.add_option("--threads", threads, "each long poll holds one")
        ->check(CLI::PositiveNumber);
    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& problem)
    {
        return app.exit(problem) == 0 ? 0 : 2;
    }
    try
    {
        log_server log(milliseconds(retention_ms), appends_per_second);
        return serve(parse_endpoint(listen), log, threads);
    }
    catch (const error& problem)
    {
        fmt::print(stderr, "fescue_standin_log: {}\n", problem.what());
        return 2;
    }
}
