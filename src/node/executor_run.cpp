#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>

#include "executor_core.hpp"

namespace fescueridge::detail
{

namespace
{

// Delay between sending the strike message and failing the calls of a crashed server. A
// retry of such a call must not reach another node before the strike message: without the
// delay, a crashing request ended a third server. Opening a link and sending the message
// takes a few milliseconds.
constexpr milliseconds strike_delivery_delay{50};

bool may_indicate_server_crash(http_failure_kind kind)
{
    return kind == http_failure_kind::cut || kind == http_failure_kind::connect_failed;
}

/// Returns the refusal reason that is reported for a failure of an HTTP call.
refusal_reason to_refusal_reason(const http_failure& failure)
{
    switch (failure.kind)
    {
    case http_failure_kind::timed_out:
    case http_failure_kind::no_connection:
        return refusal_reason::deadline;
    case http_failure_kind::cancelled:
        return refusal_reason::cancelled;
    case http_failure_kind::connect_failed:
    case http_failure_kind::not_sent:
        return refusal_reason::server_gone;
    case http_failure_kind::too_large:
        return refusal_reason::too_large;
    default:
        return refusal_reason::server_failed;
    }
}

} // namespace

void executor_core::dispatch(const job_ptr& job)
{
    std::shared_ptr<http_client_pool> pool;
    std::shared_ptr<claim_client> claim;
    {
        const std::lock_guard lock(mutex_);
        pool = pool_;
        claim = job->claim;
    }
    if (!pool)
    {
        leave_queue(job, false);
        refuse(job, refusal_reason::server_gone, outcome::not_run);
        return;
    }
    const time_point now = clock::now();
    const bool in_time = now < job->context->deadline;
    // See spec/claims.pml, label dispatch: the last check before the call leaves the
    // node.
    if (!in_time || (claim && !claim->confirm_dispatch(job->call.id, now)))
    {
        leave_queue(job, false);
        refuse(job, refusal_reason::deadline, outcome::not_run);
        return;
    }
    bool ended = false;
    {
        // cancel() sets `cancelled` under this lock, then replies with outcome `not_run`.
        const std::lock_guard lock(mutex_);
        ended = job->cancelled || jobs_.count(job->queue_id) == 0;
        if (!ended)
        {
            job->since_dispatch.emplace(); // the call may run from now on
        }
    }
    if (ended)
    {
        leave_queue(job, false);
        return;
    }
    queue_time_.add(job->since_arrival.elapsed(), now);
    deps_.calls.insert(job->call.id, job->context);
    const auto on_done = [self = shared_from_this(), job](http_result result)
    {
        self->on_result(job, std::move(result));
    };
    http_call_handle handle =
        pool->send(make_request(*job), job->context->deadline - now, on_done);
    bool cancelled = false;
    {
        const std::lock_guard lock(mutex_);
        job->handle = handle;
        cancelled = job->cancelled;
    }
    // The pool may call on_result(), which locks the mutex, before cancel() returns.
    if (cancelled)
    {
        handle.cancel();
    }
}

http_request executor_core::make_request(const executor_job& job) const
{
    http_request request;
    request.method = job.call.method;
    request.target = job.call.path;
    request.headers = job.call.headers;
    request.headers.push_back({"Fescue-Context", job.call.id.get()});
    request.headers.push_back({"Fescue-Root", job.call.root.get()});
    const milliseconds left = job.context->deadline - clock::now();
    request.headers.push_back({"Fescue-Timeout-Ms", fmt::format("{}", left.count())});
    if (job.call.key)
    {
        request.headers.push_back({"Idempotency-Key", job.call.key->get()});
    }
    request.body = job.call.body;
    return request;
}

void executor_core::on_result(const job_ptr& job, http_result result)
{
    deps_.calls.erase(job->call.id);
    job->context->end();
    if (auto* response = std::get_if<http_response>(&result))
    {
        on_response(job, std::move(*response));
        return;
    }
    const auto& failure = std::get<http_failure>(result);
    if (may_indicate_server_crash(failure.kind))
    {
        probe_server(job, failure);
        return;
    }
    on_failure(job, failure);
}

void executor_core::on_response(const job_ptr& job, http_response response)
{
    const std::string* declared = find_header(response.headers, "Fescue-Outcome");
    // A server that made downstream calls did run the call. The header may then be copied
    // from a downstream response.
    const bool made_calls = job->context->downstream.total().count() > 0;
    const bool shed = declared != nullptr && *declared == "not_run" && !made_calls;
    const bool success = response.status < 500;
    leave_queue(job, success);
    const auto changed = deps_.suspicions.on_completed(job->request_fingerprint);
    if (!changed.empty())
    {
        deps_.on_suspicion_change(changed);
    }
    reply_message reply;
    reply.id = job->call.id;
    reply.result = success ? outcome::ok : outcome::failed;
    if (!success)
    {
        const refusal_reason cause = job->context->has_downstream_overload()
                                         ? refusal_reason::overload_downstream
                                         : refusal_reason::server_failed;
        reply.reason = shed ? refusal_reason::overload : cause;
        reply.result = shed ? outcome::not_run : outcome::failed;
    }
    reply.status = response.status;
    reply.headers = std::move(response.headers);
    reply.body = std::move(response.body);
    if (!success)
    {
        const reply_message refusal =
            deps_.refusals.make_reply({job->call.id, job->call.caller, job->call.service,
                                       job->call.rank, job->call.path},
                                      *reply.reason, reply.result);
        reply.refusal_token = refusal.refusal_token;
    }
    finish(job, std::move(reply));
}

void executor_core::on_failure(const job_ptr& job, const http_failure& failure)
{
    leave_queue(job, false);
    const outcome result = failure.sent ? outcome::unknown : outcome::not_run;
    refuse(job, to_refusal_reason(failure), result);
}

void executor_core::leave_queue(const job_ptr& job, bool success)
{
    queue_changes changes;
    {
        const std::lock_guard lock(mutex_);
        const time_point now = clock::now();
        if (!job->since_dispatch || job->cancelled)
        {
            changes = queue_.cancel(job->queue_id, now);
        }
        else
        {
            const auto total = job->since_dispatch->elapsed();
            const auto downstream_time =
                std::min(total, job->context->downstream.total());
            server_time_.add(total - downstream_time, now);
            changes = queue_.finish(job->queue_id, total - downstream_time, success, now);
        }
    }
    apply_queue_changes(changes);
}

void executor_core::probe_server(const job_ptr& job, const http_failure& failure)
{
    std::optional<endpoint> target;
    {
        const std::lock_guard lock(mutex_);
        interrupted_calls_.push_back({job, failure});
        if (!probe_running_ && server_)
        {
            probe_running_ = true;
            target = server_->address;
        }
    }
    if (!target)
    {
        return; // the running probe also applies to this call
    }
    auto socket = std::make_shared<asio::ip::tcp::socket>(deps_.io);
    const asio::ip::tcp::endpoint address(asio::ip::make_address(target->address),
                                          target->port);
    socket->async_connect(
        address, [self = shared_from_this(), socket](const asio::error_code& error)
        { self->on_probe_result(!error); });
}

std::vector<interrupted_call> executor_core::take_interrupted_calls()
{
    std::vector<interrupted_call> result;
    const std::lock_guard lock(mutex_);
    result.swap(interrupted_calls_);
    probe_running_ = false;
    return result;
}

void executor_core::on_probe_result(bool alive)
{
    std::vector<interrupted_call> interrupted = take_interrupted_calls();
    if (alive)
    {
        fail_interrupted_calls(interrupted);
        return;
    }
    std::vector<job_ptr> running;
    running.reserve(interrupted.size());
    for (const interrupted_call& call : interrupted)
    {
        if (call.failure.sent)
        {
            running.push_back(call.job);
        }
    }
    incarnation incarnation_number;
    {
        const std::lock_guard lock(mutex_);
        incarnation_number = server_ ? server_->incarnation_number : incarnation(0);
    }
    record_server_crash(running, incarnation_number);
    remove_server();
    deps_.on_server_crash();
    const auto timer =
        std::make_shared<asio::steady_timer>(deps_.io, strike_delivery_delay);
    timer->async_wait([self = shared_from_this(), timer,
                       interrupted = std::move(interrupted)](const asio::error_code&)
                      { self->fail_interrupted_calls(interrupted); });
}

void executor_core::fail_interrupted_calls(
    const std::vector<interrupted_call>& interrupted)
{
    for (const interrupted_call& call : interrupted)
    {
        on_failure(call.job, call.failure);
    }
}

void executor_core::record_server_crash(const std::vector<job_ptr>& running,
                                        incarnation server)
{
    std::vector<fingerprint> requests;
    requests.reserve(running.size());
    for (const job_ptr& job : running)
    {
        requests.push_back(job->request_fingerprint);
    }
    if (requests.empty())
    {
        return;
    }
    const bool alone = running.size() == 1 && running.front()->exclusive;
    deps_.events.record(
        "server_died_with_calls",
        {{"calls", static_cast<std::int64_t>(running.size())}, {"alone", alone}});
    deps_.on_suspicion_change(
        deps_.suspicions.on_server_crash(requests, server, alone, wall_clock_ms()));
}

} // namespace fescueridge::detail
