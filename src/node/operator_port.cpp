#include "fescueridge/node/operator_port.hpp"

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <thread>

#include "fescueridge/sheet/explain.hpp"

namespace fescueridge
{

namespace
{

using json = nlohmann::json;

// Enough for concurrent requests from a few operator tools and the backend server.
constexpr std::size_t worker_threads = 8;

std::string string_member(const json& body, const char* name)
{
    const auto found = body.find(name);
    if (found == body.end() || !found->is_string())
    {
        throw codec_error(
            fmt::format("announcement member \"{}\" must be a text string", name));
    }
    return found->get<std::string>();
}

std::uint64_t unsigned_member(const json& body, const char* name, std::uint64_t low,
                              std::uint64_t high,
                              std::optional<std::uint64_t> fallback = {})
{
    const auto found = body.find(name);
    if (found == body.end() && fallback)
    {
        return *fallback;
    }
    if (found == body.end() || !found->is_number_unsigned())
    {
        throw codec_error(
            fmt::format("announcement member \"{}\" must be a whole number", name));
    }
    const auto value = found->get<std::uint64_t>();
    if (value < low || value > high)
    {
        throw codec_error(fmt::format("announcement member \"{}\" must be from {} to {}",
                                      name, low, high));
    }
    return value;
}

server_state parse_state(const std::string& text)
{
    for (const server_state state : {server_state::cold, server_state::ready,
                                     server_state::draining, server_state::gone})
    {
        if (to_string(state) == text)
        {
            return state;
        }
    }
    throw codec_error(fmt::format("announcement member \"state\": no server state is "
                                  "named \"{}\"; expected cold, ready, draining or gone",
                                  text));
}

// Bounds the size of log records, and of the submit results that nodes keep in memory.
constexpr std::size_t max_submit_text_bytes = 200;

submit_request parse_submit(const std::string& text)
{
    auto request = parse_body<submit_request>(text);
    if (request.submit_id.size() > max_submit_text_bytes ||
        request.author.size() > max_submit_text_bytes)
    {
        throw codec_error(
            fmt::format("members \"author\" and \"submit_id\" must have at most {} bytes",
                        max_submit_text_bytes));
    }
    return request;
}

void respond_json(httplib::Response& response, const std::string& body, int status = 200)
{
    response.status = status;
    response.set_content(body, "application/json");
}

void respond_error(httplib::Response& response, const std::string& text, int status)
{
    const json body{{"error", text}};
    respond_json(response, body.dump(-1, ' ', false, json::error_handler_t::replace),
                 status);
}

} // namespace

server_announcement parse_announcement(const std::string& text)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object())
    {
        throw codec_error("announcement body must be a JSON object");
    }
    constexpr std::uint64_t max_uint64 = std::numeric_limits<std::uint64_t>::max();
    server_announcement result;
    result.service = service_name(string_member(body, "service"));
    try
    {
        result.address = parse_endpoint(string_member(body, "address"));
    }
    catch (const address_error& problem)
    {
        throw codec_error(problem.what());
    }
    result.slots = slot_count(
        static_cast<std::uint32_t>(unsigned_member(body, "slots", 1, 100'000)));
    result.connections = connection_count(
        static_cast<std::uint32_t>(unsigned_member(body, "connections", 1, 100'000)));
    result.state = parse_state(string_member(body, "state"));
    result.incarnation_number =
        incarnation(unsigned_member(body, "incarnation", 0, max_uint64));
    result.warm_up = milliseconds(static_cast<std::int64_t>(
        unsigned_member(body, "warm_up_ms", 0, 3'600'000, 10'000)));
    return result;
}

class operator_port::impl
{
public:
    impl(const endpoint& listen, operator_functions functions)
        : functions_(std::move(functions))
    {
        server_.new_task_queue = []
        {
            return new httplib::ThreadPool(worker_threads);
        };
        // Replaces the default options, which include SO_REUSEPORT: with it a second node
        // on the same port would start without an error.
        server_.set_socket_options(
            [](socket_t socket)
            {
                const int enable = 1;
                setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
            });
        server_.set_payload_max_length(max_sheet_bytes + 65'536);
        server_.set_tcp_nodelay(true);
        // A kept-alive connection would occupy a thread, and stop() would wait up to 5 s
        // for it. A connection without a request is closed after 1 s.
        server_.set_keep_alive_max_count(1);
        server_.set_keep_alive_timeout(1);
        add_sheet_routes();
        add_view_routes();
        add_command_routes();
        if (!server_.bind_to_port(listen.address, listen.port))
        {
            throw address_error(
                fmt::format("cannot listen on {}: the address is in use or does not "
                            "belong to this host",
                            to_string(listen)));
        }
    }

    ~impl() { stop(); }

    void start()
    {
        thread_ = std::thread([this] { server_.listen_after_bind(); });
    }

    void stop()
    {
        if (thread_.joinable())
        {
            // httplib::Server::stop() has no effect before the accept loop is running.
            while (!server_.is_running())
            {
                std::this_thread::sleep_for(milliseconds(1));
            }
            server_.stop();
            thread_.join();
        }
    }

private:
    using request = httplib::Request;
    using response = httplib::Response;

    /// Responds with an error to a malformed request body.
    void respond_bad_request(const request& in, response& out, const std::string& text)
    {
        functions_.events->record("bad_request", {{"path", in.path}, {"text", text}});
        respond_error(out, text, 400);
    }

    void add_sheet_routes()
    {
        server_.Post(
            "/v1/sheet/check",
            [](const request& in, response& out)
            {
                check_result result;
                const sheet_or_faults parsed = parse_sheet(in.body);
                result.ok = std::holds_alternative<std::shared_ptr<const sheet>>(parsed);
                if (const auto* faults = std::get_if<std::vector<sheet_fault>>(&parsed))
                {
                    result.faults = *faults;
                }
                respond_json(out, to_body(result));
            });
        server_.Post("/v1/sheet/submit",
                     [this](const request& in, response& out)
                     {
                         try
                         {
                             const submit_request submit = parse_submit(in.body);
                             respond_json(out, to_body(functions_.submit(submit)));
                         }
                         catch (const codec_error& problem)
                         {
                             respond_bad_request(in, out, problem.what());
                         }
                     });
        server_.Get("/v1/sheet", [this](const request&, response& out)
                    { respond_json(out, to_body(functions_.sheet())); });
    }

    void add_view_routes()
    {
        server_.Get("/v1/status", [this](const request&, response& out)
                    { respond_json(out, to_body(functions_.status())); });
        server_.Get("/v1/members", [this](const request&, response& out)
                    { respond_json(out, to_body(functions_.members())); });
        server_.Get("/v1/pressure", [this](const request&, response& out)
                    { respond_json(out, to_body(functions_.pressure())); });
        server_.Get("/v1/metrics", [this](const request&, response& out)
                    { respond_json(out, functions_.metrics()); });
        server_.Get("/v1/events",
                    [this](const request& in, response& out)
                    {
                        std::uint64_t since = 0;
                        if (in.has_param("since"))
                        {
                            since = std::strtoull(in.get_param_value("since").c_str(),
                                                  nullptr, 10);
                        }
                        std::string lines;
                        for (const event& entry : functions_.events->since(since))
                        {
                            lines += to_json_line(entry) + '\n';
                        }
                        out.set_content(lines, "application/x-ndjson");
                    });
        server_.Get(R"(/v1/explain/(.+))",
                    [](const request& in, response& out)
                    {
                        try
                        {
                            const explain_view view{
                                explain(decode_token(in.matches[1].str()))};
                            respond_json(out, to_body(view));
                        }
                        catch (const token_error& problem)
                        {
                            respond_error(out, problem.what(), 400);
                        }
                    });
    }

    void add_command_routes()
    {
        server_.Post("/v1/drain", [this](const request&, response& out)
                     { respond_json(out, to_body(functions_.drain())); });
        server_.Post("/v1/server",
                     [this](const request& in, response& out)
                     {
                         try
                         {
                             functions_.announce(parse_announcement(in.body));
                             respond_json(out, "{}");
                         }
                         catch (const codec_error& problem)
                         {
                             respond_bad_request(in, out, problem.what());
                         }
                     });
    }

    operator_functions functions_;
    httplib::Server server_;
    std::thread thread_;
};

operator_port::operator_port(const endpoint& listen, operator_functions functions)
    : impl_(std::make_unique<impl>(listen, std::move(functions)))
{
}

operator_port::~operator_port() = default;

void operator_port::start()
{
    impl_->start();
}

void operator_port::stop()
{
    impl_->stop();
}

} // namespace fescueridge
