#include "fescueridge/gateway/request_router.hpp"

#include <algorithm>

#include "request_state.hpp"
#include "run_replies.hpp"

namespace fescueridge::gateway
{

using namespace detail;

namespace
{

/// Minimum admitted share at which the overload counts as slight, so that an early client
/// retry is likely to succeed.
constexpr double slight_overload_min_share = 0.7;

/// Range of Retry-After under slight overload, as a fraction of the route's target
/// latency: short enough for the retry to be answered within the target.
constexpr double slight_overload_min_wait_fraction = 0.15;
constexpr double slight_overload_max_wait_fraction = 0.4;

/// Range of Retry-After under heavy overload, as a fraction of the longest wait that
/// clients obey. A long wait gives the surge the most time to pass.
constexpr double heavy_overload_min_wait_fraction = 0.7;
constexpr double heavy_overload_max_wait_fraction = 1.0;

/// Clients obey a Retry-After up to this fraction of their remaining time.
constexpr double max_wait_fraction = 1.0 / 3;

constexpr int gateway_timeout_status = 504;

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

void request_router::on_reply(const request_ptr& request, forward_reply_message reply)
{
    request->forward_number = 0;
    request->local_run = run_number(0);
    const bool failed = reply.result == forward_result::unknown ||
                        (reply.result == forward_result::answered &&
                         reply.status >= first_failure_status &&
                         reply.status != gateway_timeout_status) ||
                        reply.failure == forward_failure::server_rejected;
    const bool no_server_outcome = reply.result == forward_result::not_run && !failed;
    if (!no_server_outcome && request->current_node == settings_.node)
        own_failure_rate_.record(failed);
    else if (!no_server_outcome)
        peers_.record_outcome(request->current_node, failed);
    switch (reply.result)
    {
    case forward_result::not_run:
        return on_not_run(request, reply);
    case forward_result::unknown:
        if (try_retry(request, "no_whole_answer"))
            return;
        if (reply.failure == forward_failure::deadline)
            return reject(request, rejection::timeout);
        return reject(request, reply.failure == forward_failure::link_lost
                                   ? rejection::link_failed
                                   : rejection::server_failed);
    case forward_result::answered:
        if (failed && try_retry(request, "server_reports_failure"))
            return;
        return deliver_answer(request, std::move(reply));
    }
}

void request_router::on_not_run(const request_ptr& request,
                                const forward_reply_message& reply)
{
    --request->sends;
    // If an earlier attempt may have run, the answer must not claim that the request was
    // not run.
    const bool may_have_run = request->sends > 0;
    if (reply.failure == forward_failure::quarantined)
        return reject(request,
                      may_have_run ? rejection::server_failed : rejection::quarantined);
    if (reply.failure == forward_failure::deadline)
        return reject(request, may_have_run ? rejection::timeout : rejection::overload);
    // A rejection by the server counts as an arrival there, so the next attempt is
    // charged to the retry budget.
    if (reply.failure == forward_failure::server_rejected)
        request->was_rejected = true;
    if (reply.failure == forward_failure::server_rejected &&
        !retry_budget_.try_spend(request->message.service, {},
                                 !request->message.from_server, clock::now()))
        return reject(request,
                      may_have_run ? rejection::server_failed : rejection::overload);
    place_request(request);
}

bool request_router::try_retry(const request_ptr& request, const char* cause)
{
    const auto& message = request->message;
    const auto now = clock::now();
    const bool may_repeat = placing_ && message.repeat == repeat_rule::idempotent &&
                            request->sends < request->matched_route->max_servers &&
                            shedder_.share(request->request_class()) >= 1;
    // A retry that cannot complete in time would only add load.
    const bool in_time = request->answer_deadline - now > message.target_latency / 4;
    if (!may_repeat || !in_time || candidates(*request).empty() ||
        !retry_budget_.try_spend(message.service, downstream_calls(message.route),
                                 !message.from_server, now))
        return false;
    ++counters_.retried;
    log_request(
        log_event::request_retried, *request, log_category::failure,
        {{"cause", std::string(cause)}, {"failed_at", request->current_node.get()}});
    place_request(request);
    return true;
}

std::map<service_name, double>
request_router::downstream_calls(const route_name& route) const
{
    std::map<service_name, double> calls;
    for (const auto& [callee, count] : expected_calls(route, edges_))
    {
        const auto* configured = table_ ? table_->find(callee) : nullptr;
        if (configured && !configured->targets.empty())
            calls[configured->targets.front().service] += count;
    }
    return calls;
}

void request_router::deliver_answer(const request_ptr& request,
                                    forward_reply_message reply)
{
    ++counters_.answered;
    const bool failure = reply.status >= first_failure_status;
    log_request(log_event::request_answered, *request,
                failure ? log_category::failure : log_category::success,
                {{"status", std::int64_t{reply.status}}});
    answer(request, failure ? request_outcome::failed : request_outcome::answered,
           {reply.status, std::move(reply.headers), std::move(reply.body)});
}

void request_router::answer(const request_ptr& request, request_outcome outcome,
                            http_response response)
{
    latencies_[{request->message.service, outcome}].add(clock::now() - request->arrival);
    const auto exchange = request->exchange;
    end_request(request);
    exchange->respond(std::move(response));
}

milliseconds request_router::retry_after(const request_state& request)
{
    if (!request.matched_route)
        return milliseconds{200};
    const auto target_ms = static_cast<double>(request.message.target_latency.count());
    const auto left_ms =
        static_cast<double>((request.client_deadline - clock::now()).count());
    const double max_wait_ms = max_wait_fraction * left_ms;
    const bool slight_overload =
        request.min_retry_after == milliseconds{0} &&
        shedder_.share(request.request_class()) >= slight_overload_min_share;
    std::uniform_real_distribution<double> wait_fraction(
        slight_overload ? slight_overload_min_wait_fraction
                        : heavy_overload_min_wait_fraction,
        slight_overload ? slight_overload_max_wait_fraction
                        : heavy_overload_max_wait_fraction);
    const double wait_ms = std::clamp(
        wait_fraction(random_) * (slight_overload ? target_ms : max_wait_ms),
        std::min(static_cast<double>(request.min_retry_after.count()), max_wait_ms),
        max_wait_ms);
    return milliseconds(std::max<std::int64_t>(1, static_cast<std::int64_t>(wait_ms)));
}

void request_router::reject(const request_ptr& request, rejection reason)
{
    ++counters_.rejected[reason];
    log_request(log_event::request_rejected, *request, log_category::failure,
                {{"reason", std::string(to_string(reason))},
                 {"not_run", guarantees_not_run(reason)}});
    const bool not_run = guarantees_not_run(reason);
    if (not_run)
        return_quota(*request);
    const auto retry_delay =
        not_run ? std::optional<milliseconds>(retry_after(*request)) : std::nullopt;
    answer(request, retry_delay ? request_outcome::refused : request_outcome::failed,
           wire_.make_rejection(reason, request->message.request, retry_delay));
}

void request_router::on_timeout(const request_ptr& request)
{
    cancel_attempt(request);
    reject(request, request->waits_for_quota ? rejection::quota : rejection::timeout);
}

void request_router::on_client_disconnected(const request_ptr& request)
{
    if (request->ended)
        return;
    ++counters_.abandoned;
    log_request(log_event::request_abandoned, *request, log_category::failure, {});
    cancel_attempt(request);
    if (request->sends == 0)
        return_quota(*request);
    end_request(request);
}

void request_router::cancel_attempt(const request_ptr& request)
{
    if (request->forward_number != 0)
        peers_.cancel(request->forward_number);
    else if (request->local_run.get() != 0)
        executor_.cancel(request->local_run);
}

std::vector<request_router::request_ptr> request_router::open_request_list() const
{
    std::vector<request_ptr> open;
    open.reserve(requests_.size());
    for (const auto& [number, request] : requests_)
        open.push_back(request);
    return open;
}

void request_router::recall_waiting()
{
    if (!std::exchange(placing_, false))
        return;
    for (const auto& request : open_request_list())
    {
        if (request->forward_number != 0)
            peers_.recall(request->forward_number);
        else if (request->local_run.get() != 0)
            executor_.recall(request->local_run);
    }
}

void request_router::answer_all()
{
    placing_ = false;
    for (const auto& request : open_request_list())
        reject_for_stop(request);
}

void request_router::reject_for_stop(const request_ptr& request)
{
    const bool may_have_run = request->sends > 0;
    reject(request, may_have_run ? rejection::interrupted : rejection::stopping);
}

void request_router::end_request(const request_ptr& request)
{
    request->ended = true;
    request->timer.cancel();
    requests_.erase(request->number);
}

void request_router::log_request(log_event event, const request_state& request,
                                 log_category category,
                                 std::vector<event_field> extra_fields)
{
    const auto& message = request.message;
    if (!decisions_.should_log(category, message.request))
        return;
    const auto now = clock::now();
    std::vector<event_field> fields{
        {"request", message.request.get()},
        {"route", message.route.get()},
        {"service", message.service.get()},
        {"config", static_cast<std::int64_t>(
                       request.table ? request.table->config().version.get() : 0)},
        {"from_server", message.from_server},
        {"priority", to_string(message.rank)},
        {"tenant", message.tenant.get()},
        {"age_ms", static_cast<std::int64_t>((now - request.arrival).count())},
        {"left_ms", static_cast<std::int64_t>((request.answer_deadline - now).count())},
        {"server_node", request.current_node.get()},
        {"sends", std::int64_t{request.sends}},
        {"placements", std::int64_t{request.placements}},
        {"share", shedder_.share(request.request_class())},
        {"returned", request.client_retry}};
    if (const auto known = peers_.all().find(request.current_node);
        known != peers_.all().end())
        fields.push_back(
            {"report_age_ms",
             static_cast<std::int64_t>((now - known->second.report_time).count())});
    fields.insert(fields.end(), std::make_move_iterator(extra_fields.begin()),
                  std::make_move_iterator(extra_fields.end()));
    decisions_.record(event, fields, category);
}

} // namespace fescueridge::gateway
