#include "fescueridge/gateway/run_executor.hpp"

#include "run_replies.hpp"

namespace fescueridge::gateway
{

using namespace detail;

void run_executor::on_result(run_number number, http_result result)
{
    check_for_pause();
    const auto found = runs_.find(number);
    if (found == runs_.end())
        return;
    if (auto* answer = std::get_if<http_response>(&result))
        on_answer(number, std::move(*answer));
    else
        on_failure(number, std::get<http_failure>(result));
}

void run_executor::on_answer(run_number number, http_response answer)
{
    last_answer_ = clock::now();
    handle_server_change(tracker_.on_answer(), "answer");
    const auto verdict = wire_.classify_answer(answer, runs_.at(number).call.request);
    if (verdict != server_verdict::wrong_server)
        on_notice(answer, runs_.at(number).sent_at);
    const run& ended = runs_.at(number);
    rejections_.record(verdict == server_verdict::not_run, last_answer_);
    switch (verdict)
    {
    case server_verdict::wrong_server:
        handle_server_change(tracker_.on_no_answer(), "another_server_has_the_address");
        [[fallthrough]];
    case server_verdict::not_run:
        ++counters_.rejected_by_server;
        log_run(log_event::run_failed, ended, "rejected_by_server");
        return fail_run(number, forward_result::not_run, forward_failure::server_rejected,
                        false);
    case server_verdict::unmarked_not_run:
        log_run(log_event::run_failed, ended, "says_not_run_without_mark");
        return fail_run(number, forward_result::unknown,
                        forward_failure::server_broke_off, true);
    case server_verdict::unmarked_success:
        ++counters_.broken_off;
        log_run(log_event::run_failed, ended, "success_without_mark");
        return fail_run(number, forward_result::unknown,
                        forward_failure::server_broke_off, false);
    case server_verdict::answered:
        break;
    }
    if (answer.status < first_failure_status && !suspects_.empty())
        suspects_.on_completed(request_fingerprint(ended.call));
    ++counters_.answered;
    run_times_.add(last_answer_ - ended.sent_at);
    forward_reply_message reply = make_reply(forward_result::answered, {});
    reply.status = answer.status;
    reply.headers = std::move(answer.headers);
    remove_hop_headers(reply.headers, [this](std::string_view name)
                       { return wire_.is_end_to_end(name); });
    reply.body = std::move(answer.body);
    finish_run(number, std::move(reply), true);
}

void run_executor::on_failure(run_number number, const http_failure& failure)
{
    const run& ended = runs_.at(number);
    const auto now = clock::now();
    if (!failure.sent)
    {
        if (failure.kind == http_failure_kind::connect_failed)
            on_connection_refused();
        if (runs_.count(number) == 0)
            return;
        log_run(log_event::run_failed, ended, "not_sent");
        const bool deadline_too_near = failure.kind == http_failure_kind::no_connection;
        return fail_run(number, forward_result::not_run,
                        deadline_too_near ? forward_failure::deadline
                                          : forward_failure::server_down,
                        false);
    }
    if (failure.kind == http_failure_kind::timed_out)
    {
        log_run(log_event::run_failed, ended, "no_answer_in_time");
        return fail_run(number, forward_result::unknown, forward_failure::deadline, true);
    }
    if (failure.kind == http_failure_kind::cut)
    {
        suspects_.on_connection_cut(request_fingerprint(ended.call), now);
        if (now >= next_health_check_)
            send_health_check();
    }
    ++counters_.broken_off;
    log_run(log_event::run_failed, ended, "broken_off");
    fail_run(number, forward_result::unknown, forward_failure::server_broke_off, false);
}

void run_executor::fail_run(run_number number, forward_result result,
                            forward_failure failure, bool sample)
{
    if (failure == forward_failure::queue_full)
    {
        ++counters_.turned_away;
        log_run(log_event::run_turned_away, runs_.at(number), "queue_full");
    }
    finish_run(number, make_reply(result, failure), sample);
}

void run_executor::finish_run(run_number number, forward_reply_message reply, bool sample)
{
    const auto found = runs_.find(number);
    if (found == runs_.end())
        return;
    run ended = std::move(found->second);
    runs_.erase(found);
    call_graph_.on_run_ended(number, reply.result == forward_result::answered &&
                                         reply.status < first_failure_status);
    const auto dequeued = queue_.finish(number, clock::now(), sample);
    reply.number = ended.call.number;
    reply.load = load();
    if (!ended.cancelled && ended.done)
        ended.done(std::move(reply));
    start_and_drop(dequeued);
}

void run_executor::log_run(log_event event, const run& entry, const char* outcome)
{
    if (!decisions_.should_log(log_category::failure, entry.call.request))
        return;
    const auto now = clock::now();
    const bool sent = entry.sent_at != time_point{};
    const auto& server = tracker_.server();
    decisions_.record(
        event,
        {{"request", entry.call.request.get()},
         {"route", entry.call.route.get()},
         {"outcome", std::string(outcome)},
         {"server", server ? server->id.get() : std::string()},
         {"sent_ms_ago",
          static_cast<std::int64_t>(sent ? (now - entry.sent_at).count() : -1)},
         {"time_left_ms", static_cast<std::int64_t>((entry.deadline - now).count())},
         {"running", std::int64_t{queue_.running()}},
         {"waiting", std::int64_t{queue_.waiting()}},
         {"limit", std::int64_t{queue_.limit()}},
         {"slot_ms", queue_.slot_ms()}},
        log_category::failure);
}

} // namespace fescueridge::gateway
