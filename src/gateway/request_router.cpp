#include "fescueridge/gateway/request_router.hpp"

#include <algorithm>

#include <asio/post.hpp>

#include "request_state.hpp"

namespace fescueridge::gateway
{
namespace
{

/// Maximum number of servers tried for one request before it is rejected, and for a call
/// that servers turned away: the retry budget bounds these, and the request that it is
/// part of is lost without it.
constexpr unsigned max_placements_per_request = 4;
constexpr unsigned max_placements_per_call = 12;

/// Time after the deadline during which a server's answer is still accepted.
constexpr milliseconds late_answer_tolerance{20};

std::string_view path_without_query(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

request_router::request_router(asio::io_context& io, const node_settings& settings,
                               const wire_format& wire, decision_log& decisions,
                               peers& node_peers, run_executor& executor)
    : io_(io), settings_(settings), wire_(wire), decisions_(decisions),
      peers_(node_peers), executor_(executor), caller_(settings.service),
      random_(random_seed()),
      retry_budget_(settings.bounds.retry_ratio, settings.bounds.retry_slack,
                    settings.bounds.retry_window),
      quotas_(settings, node_peers,
              [this](quota_waiter waiter, const quota_decision& decision)
              { on_quota_decided(waiter, decision); })
{
}

request_router::~request_router()
{
    for (const auto& [number, request] : requests_)
        request->timer.cancel();
}

void request_router::handle(http_request raw, std::shared_ptr<http_exchange> exchange)
{
    ++counters_.received;
    auto request = std::make_shared<request_state>(io_);
    request->number = ++next_number_;
    request->exchange = std::move(exchange);
    request->arrival = clock::now();
    request->table = table_;
    requests_.emplace(request->number, request);
    begin_request(request, std::move(raw));
}

void request_router::begin_request(const request_ptr& request, http_request&& raw)
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
    if (head.id.get().empty())
        return reject(request, rejection::bad_request);
    if (matched_route.targets.empty())
        return reject(request, rejection::unusable);
    if (const auto refused = identify_tenant(*request, head.keys))
        return reject(request, *refused);
    const auto time =
        std::min(head.time_left.value_or(matched_route.timeout), matched_route.timeout);
    request->client_deadline =
        request->arrival + head.time_left.value_or(matched_route.timeout);
    request->answer_deadline = request->arrival + time;
    message.route = matched_route.name;
    message.service = target_pickers_[matched_route.name].next(matched_route.targets);
    message.caller = caller_;
    message.target_latency = matched_route.target_latency;
    message.rank = rank_of(*request);
    message.repeat = matched_route.repeat;
    message.from_server = is_server_call(*request);
    message.method = std::move(raw.method);
    message.target = std::move(raw.target);
    message.authority = std::move(head.authority);
    message.headers = std::move(raw.headers);
    message.body = std::move(raw.body);
    remove_hop_headers(message.headers, [this](std::string_view name)
                       { return wire_.is_end_to_end(name); });
    wire_.remove_reserved_fields(message.headers);
    if (!may_begin(*request))
        return reject(request, rejection::stopping);
    watch(request, time);
    take_quota(request);
}

bool request_router::may_begin(const request_state& request) const
{
    return !answers_end_ ||
           (request.message.from_server &&
            request.answer_deadline + late_answer_tolerance < *answers_end_);
}

// Follows the client and the time limit of a request from now on.
void request_router::watch(const request_ptr& request, milliseconds time)
{
    request->exchange->on_closed(
        [this, weak = std::weak_ptr<request_state>(request)]
        {
            if (const auto locked = weak.lock())
                on_client_disconnected(locked);
        });
    request->timer.expires_after(time + late_answer_tolerance);
    request->timer.async_wait(
        [this, weak = std::weak_ptr<request_state>(request)](asio::error_code ec)
        {
            const auto locked = weak.lock();
            if (!ec && locked && !locked->ended)
                on_timeout(locked);
        });
}

void request_router::admit_request(const request_ptr& request)
{
    if (!try_admit(request))
        return reject(request, rejection::overload);
    retry_budget_.on_request(request->message.service, request->arrival);
    place_request(request);
}

bool request_router::try_admit(const request_ptr& request)
{
    auto& message = request->message;
    request->client_retry =
        !message.from_server &&
        client_retries_.is_client_retry(message.route,
                                        request->client_deadline - request->arrival);
    count_arrival(request->request_class());
    if (message.from_server)
    {
        ++counters_.server_calls;
        const auto inherited = executor_.on_server_call(
            message.route, request->client_deadline - request->arrival);
        message.rank = inherited.value_or(message.rank);
        return true;
    }
    return shedder_.admit(request->request_class());
}

void request_router::count_arrival(const admission_class& request_class)
{
    ++arrivals_[request_class].count;
}

placement_candidate request_router::own_candidate(const request_state& request) const
{
    node_report_message own;
    executor_.fill_report(own);
    placement_candidate candidate;
    candidate.node = settings_.node;
    candidate.node_distance = distance::same_vm;
    candidate.load = own.load;
    candidate.limit = own.limit;
    candidate.service_ms = executor_.service_ms(request.message.route);
    candidate.failure_rate = own_failure_rate_.value();
    candidate.running_work_ms = own.running_work_ms;
    candidate.waiting_work_ms = own.waiting_work_ms;
    return candidate;
}

// What was sent since the report waits there as far as it exceeds the slots.
placement_candidate request_router::candidate_of(const peer& other,
                                                 const request_state& request) const
{
    const auto& report = other.report;
    placement_candidate candidate;
    candidate.node = other.record.node;
    candidate.node_distance = other.record.domain == settings_.domain
                                  ? distance::same_domain
                                  : distance::other_domain;
    candidate.load = report.load;
    candidate.load.running =
        std::max(candidate.load.running + other.sent_since_report, other.in_flight);
    candidate.limit = report.limit;
    candidate.service_ms = report.service_ms;
    for (const auto& time : report.slot_times)
        if (time.route == request.message.route)
            candidate.service_ms = time.ms;
    candidate.failure_rate = other.failures.value();
    candidate.running_work_ms = report.running_work_ms;
    candidate.waiting_work_ms = report.waiting_work_ms;
    const auto busy = candidate.load.running + candidate.load.waiting;
    const auto reported = report.load.running + report.load.waiting;
    if (busy > std::max(reported, candidate.limit))
        candidate.waiting_work_ms +=
            (busy - std::max(reported, candidate.limit)) * candidate.service_ms;
    return candidate;
}

std::vector<placement_candidate>
request_router::candidates(const request_state& request) const
{
    const auto& service = request.message.service;
    const auto is_tried = [&](const node_id& node)
    {
        return std::find(request.tried_nodes.begin(), request.tried_nodes.end(), node) !=
               request.tried_nodes.end();
    };
    std::vector<placement_candidate> found;
    const auto& own = executor_.server();
    if (executor_.accepts() && own && own->service == service &&
        !is_tried(settings_.node))
        found.push_back(own_candidate(request));
    for (const auto& [node, other] : peers_.all())
    {
        const auto& report = other.report;
        if (report.accepting && report.server && report.server->service == service &&
            !is_tried(node) && !peers_.is_unresponsive(other))
            found.push_back(candidate_of(other, request));
    }
    return found;
}

void request_router::place_request(const request_ptr& request)
{
    if (!placing_)
        return reject_for_stop(request);
    if (request->answer_deadline <= clock::now())
        return reject(request,
                      request->sends > 0 ? rejection::timeout : rejection::overload);
    // The node beside the server may have been restarted and not know it.
    if (executor_.is_quarantined(request->message))
        return reject(request, request->sends > 0 ? rejection::server_failed
                                                  : rejection::quarantined);
    const auto most = request->was_rejected && request->message.from_server
                          ? max_placements_per_call
                          : max_placements_per_request;
    auto servers = candidates(*request);
    if (servers.empty() && most == max_placements_per_call)
    {
        // All have turned it away; the next time they may not.
        request->tried_nodes.clear();
        servers = candidates(*request);
    }
    const auto found = choose_server(servers, request->message.target_latency, random_);
    if (!found || request->placements >= most)
    {
        if (request->sends > 0)
            return reject(request, rejection::server_failed);
        return reject(request, request->placements > 0 ? rejection::overload
                                                       : rejection::no_server);
    }
    ++request->placements;
    request->tried_nodes.push_back(*found);
    send_attempt(request, *found);
}

void request_router::send_attempt(const request_ptr& request, const node_id& node)
{
    request->current_node = node;
    request->forward_number = 0;
    request->local_run = run_number(0);
    auto message = request->message;
    message.time_left = request->answer_deadline - clock::now();
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
    request->forward_number = peers_.forward(node, std::move(message), on_result);
    if (request->forward_number != 0)
        return;
    --request->sends;
    place_request(request);
}

// The priority of the route needs no bytes in a report.
std::optional<request_rank>
request_router::reported_rank(const admission_class& request_class) const
{
    const auto* configured = table_ ? table_->find(request_class.route) : nullptr;
    if (configured && request_rank(configured->rank) == request_class.rank)
        return std::nullopt;
    return request_class.rank;
}

std::vector<route_arrivals> request_router::arrivals() const
{
    constexpr double min_reported_rate_per_s = 0.05;
    std::map<std::pair<route_name, request_rank>, route_arrivals> by_rank;
    for (const auto& [request_class, meter] : arrivals_)
    {
        if (meter.per_s <= min_reported_rate_per_s)
            continue;
        auto& sums = by_rank[{request_class.route, request_class.rank}];
        sums.route = request_class.route;
        sums.rank = reported_rank(request_class);
        (request_class.client_retry ? sums.returned_per_s : sums.new_per_s) = meter.per_s;
    }
    std::vector<route_arrivals> result;
    result.reserve(by_rank.size());
    for (auto& [key, sums] : by_rank)
        result.push_back(std::move(sums));
    return result;
}

} // namespace fescueridge::gateway
