#include "backend_server.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>

#include <nlohmann/json.hpp>

namespace fescueridge::standin
{
namespace
{

using nlohmann::json;

/// Exit status of a crash on a poison request.
constexpr int crash_status = 70;

/// Service time of a server that has just started, relative to a warm one.
constexpr double cold_factor = 5;

/// A draining server stops once no request has come for this long. The node may still
/// send requests until it has taken the announcement in.
constexpr milliseconds quiet_time{500};

constexpr milliseconds default_timeout{1000};

/// Start time and 16 random bits, so that a later start has a higher number.
std::uint64_t new_incarnation()
{
    constexpr std::uint64_t random_range = 65536;
    return static_cast<std::uint64_t>(wall_clock_ms()) * random_range +
           random_seed() % random_range;
}

http_response json_response(int status, const json& body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump() + "\n"};
}

http_response downstream_failure(const std::string& service, const std::string& reason)
{
    return json_response(502, {{"downstream", service}, {"reason", reason}});
}

} // namespace

backend_server::backend_server(asio::io_context& io, const options& settings)
    : io_(io), settings_(settings), log_(settings.record_file), random_(settings.seed),
      incarnation_(new_incarnation()), started_(clock::now()), last_activity_(started_),
      server_(io, settings.listen,
              [this](http_request request, std::shared_ptr<http_exchange> exchange)
              { on_request(std::move(request), std::move(exchange)); }),
      drain_timer_(io)
{
    if (settings_.node_server)
        node_.emplace(io, *settings_.node_server, connection_count(settings_.slots));
    if (settings_.node_operator)
    {
        announcer_.emplace(io, *settings_.node_operator,
                           [this] { return announcement(); });
        announcer_->start();
    }
}

void backend_server::on_request(http_request request,
                                std::shared_ptr<http_exchange> exchange)
{
    if (request.target.rfind("/control", 0) == 0)
        return control(request, *exchange);
    last_activity_ = clock::now();
    auto work = std::make_shared<execution>(io_, std::move(request), std::move(exchange));
    work->exchange->on_closed(
        [this, weak = std::weak_ptr<execution>(work)]
        {
            if (const auto held = weak.lock())
                cancel(held);
        });
    queue_.push_back(work);
    start_waiting();
}

void backend_server::control(const http_request& request, http_exchange& exchange)
{
    if (request.method == "GET" && request.target == "/control/stats")
        return exchange.respond(
            {200, {{"Content-Type", "application/json"}}, stats() + "\n"});
    if (request.method == "POST" && request.target == "/control")
        return change_settings(request.body, exchange);
    exchange.respond(json_response(404, {{"error", "no such control"}}));
}

void backend_server::change_settings(const std::string& body, http_exchange& exchange)
{
    try
    {
        const auto change = json::parse(body);
        const double service_ms = change.value("service_ms", settings_.service_ms);
        const double fail_percent = change.value("fail_percent", fail_percent_);
        if (service_ms < 0 || fail_percent < 0 || fail_percent > 100)
            return exchange.respond(
                json_response(400, {{"error", "value out of range"}}));
        settings_.service_ms = service_ms;
        fail_percent_ = fail_percent;
        exchange.respond(json_response(
            200, {{"service_ms", service_ms}, {"fail_percent", fail_percent}}));
    }
    catch (const json::exception& problem)
    {
        exchange.respond(json_response(400, {{"error", problem.what()}}));
    }
}

std::string backend_server::stats() const
{
    return json{{"service", settings_.service},
                {"incarnation", incarnation_},
                {"executions", counters_.executions},
                {"finished", counters_.finished},
                {"failed", counters_.failed},
                {"cancelled", counters_.cancelled},
                {"dropped_from_queue", counters_.dropped_from_queue},
                {"running", running_},
                {"queued", queue_.size()},
                {"draining", draining_},
                {"max_connections_seen", server_.peak_connections()}}
        .dump();
}

std::string backend_server::announcement() const
{
    const char* state = draining_ ? "draining" : is_cold() ? "cold" : "ready";
    const auto address = settings_.announced_address.value_or(server_.bound());
    return json{{"service", settings_.service},
                {"address", to_string(address)},
                {"slots", settings_.slots},
                {"connections", settings_.connections},
                {"state", state},
                {"incarnation", incarnation_},
                {"warm_up_ms", settings_.cold.count()}}
        .dump();
}

bool backend_server::is_cold() const
{
    return clock::now() - started_ < settings_.cold;
}

std::chrono::microseconds backend_server::service_time()
{
    double mean = settings_.service_ms;
    if (is_cold())
    {
        const double age = static_cast<double>((clock::now() - started_).count());
        const double cold_part = 1 - age / static_cast<double>(settings_.cold.count());
        mean *= 1 + (cold_factor - 1) * cold_part;
    }
    if (settings_.service_dist == service_time_kind::exponential && mean > 0)
        mean = std::exponential_distribution<double>(1 / mean)(random_);
    return std::chrono::microseconds(static_cast<std::int64_t>(mean * 1000));
}

milliseconds backend_server::time_left(const execution& work) const
{
    std::int64_t timeout = default_timeout.count();
    if (const auto* text = find_header(work.request.headers, "Fescue-Timeout-Ms"))
        std::from_chars(text->data(), text->data() + text->size(), timeout);
    return milliseconds(timeout) - (clock::now() - work.arrived);
}

void backend_server::start_waiting()
{
    while (running_ < settings_.slots && !queue_.empty())
    {
        const auto work = queue_.front();
        queue_.pop_front();
        start(work);
    }
}

void backend_server::start(const execution_ptr& work)
{
    work->running = true;
    work->number = ++counters_.executions;
    ++running_;
    log_.append(work->number, work->request, "started");
    if (!settings_.poison.empty() &&
        work->request.body.find(settings_.poison) != std::string::npos)
        std::_Exit(crash_status);
    work->timer.expires_after(service_time());
    work->timer.async_wait(
        [this, work](asio::error_code ec)
        {
            if (!ec && !work->ended)
                call_downstream(work);
        });
}

void backend_server::call_downstream(const execution_ptr& work)
{
    if (!node_ || work->next_downstream == settings_.downstream.size())
        return answer(work);
    const auto& service = settings_.downstream[work->next_downstream];
    const auto& target = work->request.target;
    const bool has_slash = !target.empty() && target.front() == '/';
    http_request call{work->request.method,
                      "/call/" + service + (has_slash ? "" : "/") + target,
                      {},
                      work->request.body};
    for (const auto* name : {"Fescue-Context", "Idempotency-Key", "Content-Type"})
        if (const auto* value = find_header(work->request.headers, name))
            call.headers.push_back({name, *value});
    const auto timeout = time_left(*work);
    if (timeout <= milliseconds(0))
        return end(work, downstream_failure(service, "timed_out"));
    work->downstream = node_->send(call, timeout,
                                   [this, work](const http_result& result)
                                   { on_downstream(work, result); });
}

void backend_server::on_downstream(const execution_ptr& work, const http_result& result)
{
    if (work->ended)
        return;
    const auto& service = settings_.downstream[work->next_downstream];
    if (const auto* failure = std::get_if<http_failure>(&result))
        return end(work,
                   downstream_failure(service, std::string(to_string(failure->kind))));
    const auto& response = std::get<http_response>(result);
    if (response.status / 100 != 2)
    {
        const auto* reason = find_header(response.headers, "Fescue-Reason");
        return end(work, downstream_failure(service, reason ? *reason : "failed"));
    }
    ++work->next_downstream;
    call_downstream(work);
}

void backend_server::answer(const execution_ptr& work)
{
    if (std::uniform_real_distribution<double>(0, 100)(random_) < fail_percent_)
        return end(work, json_response(500, {{"reason", "set to fail"}}));
    const auto* key = find_header(work->request.headers, "Idempotency-Key");
    end(work, json_response(200, {{"service", settings_.service},
                                  {"method", work->request.method},
                                  {"path", work->request.target},
                                  {"body", work->request.body},
                                  {"body_hash", body_hash(work->request.body)},
                                  {"key", key ? *key : ""},
                                  {"execution", work->number},
                                  {"incarnation", incarnation_}}));
}

void backend_server::end(const execution_ptr& work, http_response response)
{
    const bool finished = response.status == 200;
    ++(finished ? counters_.finished : counters_.failed);
    log_.append(work->number, work->request, finished ? "finished" : "failed");
    work->exchange->respond(std::move(response));
    release(work);
}

void backend_server::cancel(const execution_ptr& work)
{
    if (work->ended)
        return;
    if (!work->running)
    {
        ++counters_.dropped_from_queue;
        work->ended = true;
        queue_.erase(std::remove(queue_.begin(), queue_.end(), work), queue_.end());
        work->exchange.reset();
        return;
    }
    ++counters_.cancelled;
    log_.append(work->number, work->request, "cancelled");
    release(work);
}

void backend_server::release(const execution_ptr& work)
{
    work->ended = true;
    work->timer.cancel();
    work->downstream.cancel();
    work->exchange.reset();
    last_activity_ = clock::now();
    --running_;
    start_waiting();
}

void backend_server::drain(std::function<void()> done)
{
    draining_ = true;
    drained_ = std::move(done);
    last_activity_ = clock::now();
    if (announcer_)
        announcer_->announce([this] { wait_until_quiet(); });
    else
        wait_until_quiet();
}

void backend_server::wait_until_quiet()
{
    constexpr milliseconds step{20};
    const bool idle = running_ == 0 && queue_.empty();
    const bool quiet = !announcer_ || clock::now() - last_activity_ >= quiet_time;
    if (idle && quiet)
        server_.stop_accepting();
    if (idle && quiet && server_.open_exchanges() == 0)
        return drained_();
    drain_timer_.expires_after(step);
    drain_timer_.async_wait([this](asio::error_code) { wait_until_quiet(); });
}

} // namespace fescueridge::standin
