#include "fescueridge/gateway/entry_port.hpp"

#include <algorithm>

#include <asio/post.hpp>

namespace fescueridge::gateway
{
namespace
{

/// Servers that are asked for one request before it is refused as not run.
constexpr unsigned max_placements = 4;

/// A server's own answer at the timeout may come this much later.
constexpr milliseconds answer_margin{20};

/// Share of a route that is admitted from which a soon return is likely to succeed.
constexpr double slight_overload_share = 0.7;

/// Bounds of Retry-After under slight overload, as parts of the route's target latency:
/// an answer is then still in time.
constexpr double soon_return_from = 0.15;
constexpr double soon_return_to = 0.4;

/// Bounds of Retry-After under heavy overload, as parts of the longest wait that clients
/// follow: the surge has the most time to pass.
constexpr double late_return_from = 0.7;
constexpr double late_return_to = 1.0;

/// Clients follow a Retry-After up to this part of the time that they have left.
constexpr double usable_wait_share = 1.0 / 3;

constexpr int first_failure_status = 500;
constexpr int gateway_timeout_status = 504;

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

std::string_view to_string(request_outcome value) noexcept
{
    switch (value)
    {
    case request_outcome::answered:
        return "answered";
    case request_outcome::failed:
        return "failed";
    case request_outcome::refused:
        return "refused";
    }
    return "failed";
}

struct entry_port::request_state
{
    explicit request_state(asio::io_context& io) : timer(io) {}

    std::uint64_t number = 0;
    std::shared_ptr<http_exchange> exchange;
    std::shared_ptr<const route_table> table;
    const route* way = nullptr;
    forward_message message;
    time_point arrival{};
    time_point client_deadline{};
    time_point answer_by{};
    asio::steady_timer timer;
    std::vector<node_id> tried;
    node_id at;
    unsigned placements = 0;
    unsigned sends = 0; ///< Attempts that may have reached a backend server.
    bool returned = false;
    std::uint64_t forwarded = 0; ///< Number at the peers; 0 for none.
    run_number local_run;
    bool ended = false;

    admission_class admitted_as() const { return {message.route, returned}; }
};

entry_port::entry_port(asio::io_context& io, const node_settings& settings,
                       const wire_format& wire, decision_log& decisions, peers& others,
                       run_executor& executor)
    : io_(io), settings_(settings), wire_(wire), decisions_(decisions), peers_(others),
      executor_(executor), caller_(settings.service), random_(random_seed()),
      retries_(settings.bounds.retry_ratio, settings.bounds.retry_slack,
               settings.bounds.retry_window)
{
}

entry_port::~entry_port()
{
    for (const auto& [number, request] : requests_)
        request->timer.cancel();
}

void entry_port::handle(http_request raw, std::shared_ptr<http_exchange> exchange)
{
    ++counters_.received;
    auto request = std::make_shared<request_state>(io_);
    request->number = ++next_number_;
    request->exchange = std::move(exchange);
    request->arrival = clock::now();
    request->table = table_;
    requests_.emplace(request->number, request);
    begin(request, std::move(raw));
}

void entry_port::begin(const request_ptr& request, http_request&& raw)
{
    auto head = wire_.read_client_request(raw);
    auto& message = request->message;
    message.request = head.id;
    if (!request->table)
        return reject(request, rejection::no_config);
    request->way = request->table->find(head.authority, path_of(raw.target));
    if (!request->way)
        return reject(request, rejection::no_route);
    const route& way = *request->way;
    if (head.id.get().empty() || way.targets.empty())
        return reject(request, rejection::bad_request);
    const auto time = std::min(head.time_left.value_or(way.timeout), way.timeout);
    request->client_deadline = request->arrival + head.time_left.value_or(way.timeout);
    request->answer_by = request->arrival + time;
    message.route = way.name;
    message.service = pickers_[way.name].next(way.targets);
    message.caller = caller_;
    message.target_latency = way.target_latency;
    message.rank = way.rank;
    message.repeat = way.repeat;
    message.from_server = origins_.called_routes().count(way.name) != 0;
    message.method = std::move(raw.method);
    message.target = std::move(raw.target);
    message.authority = std::move(head.authority);
    message.headers = std::move(raw.headers);
    message.body = std::move(raw.body);
    remove_hop_headers(message.headers);
    wire_.remove_reserved_fields(message.headers);
    // Without a run at the server beside this node there is no parent of a call.
    const bool is_call = message.from_server && executor_.open_runs() > 0;
    if (refuses_clients_ && !is_call)
        return reject(request, rejection::stopping);
    if (!may_begin(request))
        return reject(request, rejection::overload);
    retries_.on_request(message.service, request->arrival);
    request->exchange->on_closed(
        [this, weak = std::weak_ptr<request_state>(request)]
        {
            if (const auto held = weak.lock())
                on_client_left(held);
        });
    request->timer.expires_after(time + answer_margin);
    request->timer.async_wait(
        [this, weak = std::weak_ptr<request_state>(request)](asio::error_code ec)
        {
            const auto held = weak.lock();
            if (!ec && held && !held->ended)
                on_timeout(held);
        });
    place(request);
}

bool entry_port::may_begin(const request_ptr& request)
{
    auto& message = request->message;
    request->returned =
        !message.from_server &&
        returns_.is_returned(message.route, request->client_deadline - request->arrival);
    count_arrival(request->admitted_as());
    if (message.from_server)
    {
        ++counters_.calls_of_server;
        const auto inherited = executor_.on_call_of_server(
            message.route, request->client_deadline - request->arrival);
        message.rank = inherited.value_or(message.rank);
        return true;
    }
    return thinner_.admit(request->admitted_as());
}

void entry_port::count_arrival(const admission_class& of)
{
    ++arrivals_[of].count;
}

placement_candidate entry_port::own_candidate() const
{
    return {settings_.node,    distance::same_vm,      executor_.load(),
            executor_.limit(), executor_.service_ms(), own_failures_.value()};
}

placement_candidate entry_port::candidate_of(const peer& other) const
{
    placement_candidate candidate;
    candidate.node = other.record.node;
    candidate.from = other.record.domain == settings_.domain ? distance::same_domain
                                                             : distance::other_domain;
    candidate.load = other.report.load;
    candidate.load.running =
        std::max(candidate.load.running + other.sent_since_report, other.in_flight);
    candidate.limit = other.report.limit;
    candidate.service_ms = other.report.service_ms;
    candidate.failure_share = other.failures.value();
    return candidate;
}

std::vector<placement_candidate>
entry_port::candidates(const request_state& request) const
{
    const auto& service = request.message.service;
    const auto is_tried = [&](const node_id& node)
    {
        return std::find(request.tried.begin(), request.tried.end(), node) !=
               request.tried.end();
    };
    std::vector<placement_candidate> found;
    const auto& own = executor_.server();
    if (executor_.accepts() && own && own->service == service &&
        !is_tried(settings_.node))
        found.push_back(own_candidate());
    for (const auto& [node, other] : peers_.all())
    {
        const auto& report = other.report;
        if (report.accepting && report.server && report.server->service == service &&
            !is_tried(node) && !peers::is_doubtful(other))
            found.push_back(candidate_of(other));
    }
    return found;
}

void entry_port::place(const request_ptr& request)
{
    if (request->answer_by <= clock::now())
        return reject(request,
                      request->sends > 0 ? rejection::timeout : rejection::overload);
    const auto found = choose_server(candidates(*request), random_);
    if (!found || request->placements >= max_placements)
    {
        if (request->sends > 0)
            return reject(request, rejection::server_failed);
        return reject(request, request->placements > 0 ? rejection::overload
                                                       : rejection::no_server);
    }
    ++request->placements;
    request->tried.push_back(*found);
    send(request, *found);
}

void entry_port::send(const request_ptr& request, const node_id& node)
{
    request->at = node;
    request->forwarded = 0;
    request->local_run = run_number(0);
    auto message = request->message;
    message.time_left = request->answer_by - clock::now();
    ++request->sends;
    const auto on_result =
        [this, weak = std::weak_ptr<request_state>(request)](forward_reply_message reply)
    {
        const auto held = weak.lock();
        if (held && !held->ended)
            on_reply(held, std::move(reply));
    };
    if (node == settings_.node)
    {
        // The result of a refusal comes from inside: it is handled after this call.
        const auto run = executor_.submit(
            std::move(message),
            [this, on_result](forward_reply_message reply)
            {
                asio::post(io_, [on_result, reply = std::move(reply)]() mutable
                           { on_result(std::move(reply)); });
            });
        request->local_run = run;
        return;
    }
    request->forwarded = peers_.forward(node, std::move(message), on_result);
    if (request->forwarded != 0)
        return;
    --request->sends;
    place(request);
}

void entry_port::on_reply(const request_ptr& request, forward_reply_message reply)
{
    request->forwarded = 0;
    request->local_run = run_number(0);
    const bool failed = reply.result == forward_result::unknown ||
                        (reply.result == forward_result::answered &&
                         reply.status >= first_failure_status &&
                         reply.status != gateway_timeout_status) ||
                        reply.failure == forward_failure::server_rejected;
    const bool says_nothing = reply.result == forward_result::not_run && !failed;
    if (!says_nothing && request->at == settings_.node)
        own_failures_.record(failed);
    else if (!says_nothing)
        peers_.record_outcome(request->at, failed);
    switch (reply.result)
    {
    case forward_result::not_run:
        return on_not_run(request, reply);
    case forward_result::unknown:
        if (try_again(request, "no_whole_answer"))
            return;
        if (reply.failure == forward_failure::deadline)
            return reject(request, rejection::timeout);
        return reject(request, reply.failure == forward_failure::link_lost
                                   ? rejection::link_failed
                                   : rejection::server_failed);
    case forward_result::answered:
        if (failed && try_again(request, "server_reports_failure"))
            return;
        return deliver(request, std::move(reply));
    }
}

void entry_port::on_not_run(const request_ptr& request,
                            const forward_reply_message& reply)
{
    --request->sends;
    // An earlier attempt may have run: then nothing may be promised.
    const bool may_have_run = request->sends > 0;
    if (reply.failure == forward_failure::quarantined)
        return reject(request,
                      may_have_run ? rejection::server_failed : rejection::quarantined);
    if (reply.failure == forward_failure::deadline)
        return reject(request, may_have_run ? rejection::timeout : rejection::overload);
    // A rejection by the server counts as an arrival there, so the next one is a repeat.
    if (reply.failure == forward_failure::server_rejected &&
        !retries_.try_spend(request->message.service, {}, !request->message.from_server,
                            clock::now()))
        return reject(request,
                      may_have_run ? rejection::server_failed : rejection::overload);
    place(request);
}

bool entry_port::try_again(const request_ptr& request, const char* cause)
{
    const auto& message = request->message;
    const auto now = clock::now();
    const bool may_repeat = message.repeat == repeat_rule::idempotent &&
                            request->sends < request->way->max_servers &&
                            thinner_.share(request->admitted_as()) >= 1;
    // A repeat that cannot end in time would only add load.
    const bool in_time = request->answer_by - now > message.target_latency / 4;
    if (!may_repeat || !in_time || candidates(*request).empty() ||
        !retries_.try_spend(message.service, downstream_calls(message.route),
                            !message.from_server, now))
        return false;
    ++counters_.retried;
    log_request(log_event::request_retried, *request, log_weight::failure,
                {{"cause", std::string(cause)}, {"failed_at", request->at.get()}});
    place(request);
    return true;
}

std::map<service_name, double> entry_port::downstream_calls(const route_name& route) const
{
    std::map<service_name, double> calls;
    std::vector<std::pair<route_name, double>> open{{route, 1.0}};
    for (std::size_t i = 0; i < open.size() && i < max_call_depth; ++i)
    {
        const auto [from, times] = open[i];
        for (const auto& edge : edges_)
        {
            const auto* callee = table_ ? table_->find(edge.to) : nullptr;
            if (edge.from != from || !callee || callee->targets.empty())
                continue;
            calls[callee->targets.front().service] += times * edge.calls_per_run;
            open.emplace_back(edge.to, times * edge.calls_per_run);
        }
    }
    return calls;
}

void entry_port::deliver(const request_ptr& request, forward_reply_message reply)
{
    ++counters_.answered;
    const bool failure = reply.status >= first_failure_status;
    log_request(log_event::request_answered, *request,
                failure ? log_weight::failure : log_weight::success,
                {{"status", std::int64_t{reply.status}}});
    answer(request, failure ? request_outcome::failed : request_outcome::answered,
           {reply.status, std::move(reply.headers), std::move(reply.body)});
}

void entry_port::answer(const request_ptr& request, request_outcome outcome,
                        http_response response)
{
    latencies_[{request->message.service, outcome}].add(clock::now() - request->arrival);
    const auto exchange = request->exchange;
    end(request);
    exchange->respond(std::move(response));
}

milliseconds entry_port::retry_after(const request_state& request)
{
    if (!request.way)
        return milliseconds{200};
    const auto target = static_cast<double>(request.message.target_latency.count());
    const auto left =
        static_cast<double>((request.client_deadline - clock::now()).count());
    const double longest = usable_wait_share * left;
    const bool soon = thinner_.share(request.admitted_as()) >= slight_overload_share;
    std::uniform_real_distribution<double> part(soon ? soon_return_from
                                                     : late_return_from,
                                                soon ? soon_return_to : late_return_to);
    const double wait = std::min(part(random_) * (soon ? target : longest), longest);
    return milliseconds(std::max<std::int64_t>(1, static_cast<std::int64_t>(wait)));
}

void entry_port::reject(const request_ptr& request, rejection why)
{
    ++counters_.rejected[why];
    log_request(
        log_event::request_rejected, *request, log_weight::failure,
        {{"reason", std::string(to_string(why))}, {"not_run", promises_not_run(why)}});
    const auto wait = promises_not_run(why)
                          ? std::optional<milliseconds>(retry_after(*request))
                          : std::nullopt;
    answer(request, wait ? request_outcome::refused : request_outcome::failed,
           wire_.make_rejection(why, request->message.request, wait));
}

void entry_port::on_timeout(const request_ptr& request)
{
    withdraw(request);
    reject(request, rejection::timeout);
}

void entry_port::on_client_left(const request_ptr& request)
{
    if (request->ended)
        return;
    ++counters_.abandoned;
    log_request(log_event::request_abandoned, *request, log_weight::failure, {});
    withdraw(request);
    end(request);
}

void entry_port::withdraw(const request_ptr& request)
{
    if (request->forwarded != 0)
        peers_.cancel(request->forwarded);
    else if (request->local_run.get() != 0)
        executor_.cancel(request->local_run);
}

void entry_port::end(const request_ptr& request)
{
    request->ended = true;
    request->timer.cancel();
    requests_.erase(request->number);
}

void entry_port::log_request(log_event event, const request_state& request,
                             log_weight weight, std::vector<event_field> more)
{
    const auto& message = request.message;
    if (!decisions_.wants(weight, message.request))
        return;
    const auto now = clock::now();
    std::vector<event_field> fields{
        {"request", message.request.get()},
        {"route", message.route.get()},
        {"service", message.service.get()},
        {"config", static_cast<std::int64_t>(
                       request.table ? request.table->config().version.get() : 0)},
        {"from_server", message.from_server},
        {"priority", std::int64_t{message.rank.get()}},
        {"age_ms", static_cast<std::int64_t>((now - request.arrival).count())},
        {"left_ms", static_cast<std::int64_t>((request.answer_by - now).count())},
        {"server_node", request.at.get()},
        {"sends", std::int64_t{request.sends}},
        {"placements", std::int64_t{request.placements}},
        {"share", thinner_.share(request.admitted_as())},
        {"returned", request.returned}};
    if (const auto known = peers_.all().find(request.at); known != peers_.all().end())
        fields.push_back({"report_age_ms", static_cast<std::int64_t>(
                                               (now - known->second.reported).count())});
    fields.insert(fields.end(), std::make_move_iterator(more.begin()),
                  std::make_move_iterator(more.end()));
    decisions_.record(event, fields, weight);
}

std::vector<route_arrivals> entry_port::arrivals() const
{
    constexpr double least_rate = 0.05;
    std::map<route_name, route_arrivals> by_route;
    for (const auto& [of, meter] : arrivals_)
    {
        if (meter.per_s <= least_rate)
            continue;
        auto& sums = by_route[of.route];
        sums.route = of.route;
        (of.returned ? sums.returned_per_s : sums.new_per_s) = meter.per_s;
    }
    std::vector<route_arrivals> result;
    result.reserve(by_route.size());
    for (auto& [route, sums] : by_route)
        result.push_back(std::move(sums));
    return result;
}

} // namespace fescueridge::gateway
