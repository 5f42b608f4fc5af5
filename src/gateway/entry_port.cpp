#include "fescueridge/gateway/entry_port.hpp"

#include <algorithm>

#include <asio/post.hpp>

#include "entry_request.hpp"

namespace fescueridge::gateway
{
namespace
{

/// Maximum number of servers tried for one request before it is rejected.
constexpr unsigned max_placements_per_request = 4;

/// Time after the deadline during which a server's answer is still accepted.
constexpr milliseconds late_answer_tolerance{20};

std::string_view path_without_query(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

entry_port::entry_port(asio::io_context& io, const node_settings& settings,
                       const wire_format& wire, decision_log& decisions,
                       peers& node_peers, run_executor& executor)
    : io_(io), settings_(settings), wire_(wire), decisions_(decisions),
      peers_(node_peers), executor_(executor), caller_(settings.service),
      random_(random_seed()),
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
    request->matched_route =
        request->table->find(head.authority, path_without_query(raw.target));
    if (!request->matched_route)
        return reject(request, rejection::no_route);
    const route& matched_route = *request->matched_route;
    if (head.id.get().empty() || matched_route.targets.empty())
        return reject(request, rejection::bad_request);
    const auto time =
        std::min(head.time_left.value_or(matched_route.timeout), matched_route.timeout);
    request->client_deadline =
        request->arrival + head.time_left.value_or(matched_route.timeout);
    request->answer_by = request->arrival + time;
    message.route = matched_route.name;
    message.service = pickers_[matched_route.name].next(matched_route.targets);
    message.caller = caller_;
    message.target_latency = matched_route.target_latency;
    message.rank = matched_route.rank;
    message.repeat = matched_route.repeat;
    message.from_server = origins_.called_routes().count(matched_route.name) != 0;
    message.method = std::move(raw.method);
    message.target = std::move(raw.target);
    message.authority = std::move(head.authority);
    message.headers = std::move(raw.headers);
    message.body = std::move(raw.body);
    remove_hop_headers(message.headers);
    wire_.remove_reserved_fields(message.headers);
    // A call needs a parent run at the server beside this node.
    const bool is_call = message.from_server && executor_.open_runs() > 0;
    if (refuses_clients_ && !is_call)
        return reject(request, rejection::stopping);
    if (!may_begin(request))
        return reject(request, rejection::overload);
    retries_.on_request(message.service, request->arrival);
    request->exchange->on_closed(
        [this, weak = std::weak_ptr<request_state>(request)]
        {
            if (const auto locked = weak.lock())
                on_client_left(locked);
        });
    request->timer.expires_after(time + late_answer_tolerance);
    request->timer.async_wait(
        [this, weak = std::weak_ptr<request_state>(request)](asio::error_code ec)
        {
            const auto locked = weak.lock();
            if (!ec && locked && !locked->ended)
                on_timeout(locked);
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

void entry_port::count_arrival(const admission_class& request_class)
{
    ++arrivals_[request_class].count;
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
    const auto found =
        choose_server(candidates(*request), request->message.target_latency, random_);
    if (!found || request->placements >= max_placements_per_request)
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
        const auto locked = weak.lock();
        if (locked && !locked->ended)
            on_reply(locked, std::move(reply));
    };
    if (node == settings_.node)
    {
        // A rejection calls the callback before submit() returns, so its result is
        // posted.
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

std::vector<route_arrivals> entry_port::arrivals() const
{
    constexpr double min_reported_rate_per_s = 0.05;
    std::map<route_name, route_arrivals> by_route;
    for (const auto& [request_class, meter] : arrivals_)
    {
        if (meter.per_s <= min_reported_rate_per_s)
            continue;
        auto& sums = by_route[request_class.route];
        sums.route = request_class.route;
        (request_class.returned ? sums.returned_per_s : sums.new_per_s) = meter.per_s;
    }
    std::vector<route_arrivals> result;
    result.reserve(by_route.size());
    for (auto& [route, sums] : by_route)
        result.push_back(std::move(sums));
    return result;
}

} // namespace fescueridge::gateway
