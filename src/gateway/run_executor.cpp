#include "fescueridge/gateway/run_executor.hpp"

#include <algorithm>

#include "fescueridge/gateway/freshness.hpp"
#include "run_replies.hpp"

namespace fescueridge::gateway
{

using namespace detail;

namespace
{

/// Number of slots assumed for a server that has passed a health check but has not yet
/// announced itself to this process.
const slot_count assumed_slots{16};

/// Percentage of the slots kept free: health checks and new connections occupy slots
/// briefly, and some servers slow down when nearly full.
constexpr std::uint32_t spare_slots_percent = 6;

/// Concurrent requests until the server has answered once: only then is it known whether
/// it limits its rate.
constexpr std::uint32_t max_runs_before_answer = 8;

/// Time after the deadline during which a server's answer is still accepted.
constexpr milliseconds late_answer_tolerance{100};

/// Connections permitted beyond one per running request, while others are being closed.
constexpr std::uint32_t spare_connections = 2;

/// Time for which a call of the server may be on its way before it is read: its deadline
/// then seems later than it is.
constexpr milliseconds max_call_delay{300};

constexpr milliseconds health_check_interval{300};
constexpr milliseconds health_check_timeout{500};

/// The process polls every 50 ms; a longer gap means that it was paused or held up.
constexpr milliseconds max_activity_gap{500};

/// Bytes of incomplete answers of the server, on all connections together.
constexpr std::size_t max_buffered_answers = std::size_t{32} * 1024 * 1024;
constexpr std::size_t min_buffered_answers = max_body_bytes + max_header_bytes;

/// Requests with larger bodies are turned away where the requests held fill their room.
/// Each exists twice while it is sent.
constexpr std::size_t small_body = std::size_t{16} * 1024;
constexpr std::size_t copies_of_body = 2;

/// Idle timeout of connections to a server that does not state one.
constexpr milliseconds default_idle_timeout{4'000};

http_client_options pool_options(const process_limits& process)
{
    http_client_options options;
    options.answers_until_end = true;
    options.idle_timeout = default_idle_timeout;
    options.max_buffered_bytes =
        process.memory_bytes == 0
            ? max_buffered_answers
            : std::clamp(process.server_bytes(), min_buffered_answers,
                         max_buffered_answers);
    return options;
}

} // namespace

run_executor::run_executor(asio::io_context& io, const node_settings& settings,
                           const wire_format& wire, decision_log& decisions,
                           executor_callbacks callbacks)
    : io_(io), settings_(settings), wire_(wire), decisions_(decisions),
      callbacks_(std::move(callbacks)),
      tracker_(settings.service, settings.heartbeat_interval), queue_(0)
{
    replace_pool();
}

run_executor::~run_executor()
{
    close();
}

void run_executor::close()
{
    *alive_ = false;
    if (pool_)
        pool_->close();
    if (health_check_pool_)
        health_check_pool_->close();
}

void run_executor::replace_pool()
{
    if (pool_)
    {
        replaced_pools_opened_ += pool_->opened();
        pool_->close();
    }
    pool_ = std::make_unique<http_client_pool>(io_, settings_.server, connection_limit(),
                                               pool_options(settings_.process));
    if (!health_check_pool_)
        health_check_pool_ = std::make_unique<http_client_pool>(
            io_, settings_.server, connection_count(1), pool_options(settings_.process));
}

std::uint64_t run_executor::connections_opened() const
{
    return replaced_pools_opened_ + pool_->opened() + health_check_pool_->opened();
}

std::uint32_t run_executor::limit_for(slot_count slots) const
{
    constexpr std::uint32_t percent = 100;
    const auto spare = static_cast<std::uint32_t>(
        (std::uint64_t{slots.get()} * spare_slots_percent + percent - 1) / percent);
    return std::max(1U, slots.get() - std::min(spare, slots.get()));
}

void run_executor::configure(const service_settings& settings)
{
    health_path_ = settings.health_path;
    if (max_connections_ == settings.max_connections.get())
        return;
    max_connections_ = settings.max_connections.get();
    pool_->set_limit(connection_limit());
}

connection_count run_executor::connection_limit() const
{
    const auto wanted_count = queue_.limit() + spare_connections;
    const auto max_allowed = max_connections_ > 1 ? max_connections_ - 1 : wanted_count;
    return connection_count(std::max(1U, std::min(wanted_count, max_allowed)));
}

void run_executor::set_slots(slot_count slots)
{
    const auto limit = limit_for(slots);
    const auto dequeued = queue_.set_limit(
        answered_ ? limit : std::min(limit, max_runs_before_answer), clock::now());
    pool_->set_limit(connection_limit());
    start_and_drop(dequeued);
}

std::optional<request_rank> run_executor::on_server_call(const route_name& callee,
                                                         milliseconds time_left)
{
    const auto call_deadline = clock::now() + time_left;
    std::vector<possible_parent> running;
    for (const auto& [number, run_entry] : runs_)
        if (run_entry.sent_at != time_point{})
            running.push_back({number, run_entry.call.route,
                               run_entry.deadline - call_deadline, run_entry.call.rank});
    return call_graph_.on_call(callee, time_left, running);
}

bool run_executor::may_have_called(milliseconds time_left) const
{
    const auto call_deadline = clock::now() + time_left;
    return std::any_of(runs_.begin(), runs_.end(),
                       [&](const auto& entry)
                       {
                           const run& parent = entry.second;
                           return parent.sent_at != time_point{} &&
                                  parent.deadline + max_call_delay >= call_deadline;
                       });
}

server_load run_executor::load() const
{
    return {queue_.running(), queue_.waiting()};
}

void run_executor::fill_report(node_report_message& report) const
{
    report.server = tracker_.server();
    report.accepting = accepts();
    report.load = load();
    report.limit = queue_.usable_limit();
    report.max_rate = queue_.max_rate();
    report.queue_wait_share = queue_.wait_share(clock::now());
    report.service_ms = queue_.slot_ms();
    const auto work = queue_.work(clock::now());
    report.running_work_ms = work.running_ms;
    report.waiting_work_ms = work.waiting_ms;
    report.rejected_share = rejections_.share(clock::now());
}

void run_executor::add_learned(node_report_message& report) const
{
    report.with_learned = true;
    report.calls = call_graph_.edges();
    for (const auto& [route, ms] : queue_.slot_times(clock::now()))
        report.slot_times.push_back({route, ms});
}

std::optional<forward_failure>
run_executor::refusal_reason(const forward_message& call) const
{
    const auto& server = tracker_.server();
    if (stopping_ || !server || server->service != call.service)
        return forward_failure::server_leaving;
    if (!tracker_.accepts())
        return tracker_.suspected() ? forward_failure::server_down
                                    : forward_failure::server_leaving;
    if (is_quarantined(call))
        return forward_failure::quarantined;
    if (call.body.size() > small_body && !has_room_for(call.body.size()))
        return forward_failure::queue_full;
    return std::nullopt;
}

bool run_executor::is_quarantined(const forward_message& call) const
{
    return !suspects_.empty() &&
           suspects_.quarantined(request_fingerprint(call), clock::now());
}

// A single large request always has room.
bool run_executor::has_room_for(std::size_t body_bytes) const
{
    const auto limit = settings_.process.server_bytes();
    std::size_t held = 0;
    for (const auto& [number, run_entry] : runs_)
        held += copies_of_body * run_entry.call.body.size();
    const auto own = copies_of_body * body_bytes;
    return limit == 0 || held <= limit || held == own;
}

run_number run_executor::submit(forward_message call, callback done)
{
    const run_number number(++next_number_);
    const auto now = clock::now();
    run entry;
    entry.deadline = now + call.time_left;
    entry.call = std::move(call);
    entry.done = std::move(done);
    const auto& run_entry = runs_.emplace(number, std::move(entry)).first->second;
    if (const auto reason = refusal_reason(run_entry.call))
    {
        fail_run(number, forward_result::not_run, *reason, false);
        return number;
    }
    const auto decision =
        queue_.offer({number, run_entry.call.route, run_entry.deadline,
                      run_entry.call.target_latency, run_entry.call.from_server,
                      run_entry.call.rank, size_class_of(run_entry.call.body.size())},
                     now);
    if (std::holds_alternative<run_started>(decision))
        start_run(number);
    else if (const auto* rejected = std::get_if<run_rejected>(&decision))
        fail_run(number, forward_result::not_run,
                 rejected->deadline_too_near ? forward_failure::deadline
                                             : forward_failure::queue_full,
                 false);
    return number;
}

void run_executor::start_run(run_number number)
{
    run& started = runs_.at(number);
    const auto now = clock::now();
    const auto left = started.deadline - now;
    const auto& server = tracker_.server();
    if (!server || left <= milliseconds{0})
        return fail_run(number, forward_result::not_run, forward_failure::deadline,
                        false);
    started.sent_at = now;
    // The server was idle until now, so the time without an answer starts here.
    if (queue_.running() <= 1)
        last_answer_ = now;
    call_graph_.on_run_started(number, started.call.route);
    const auto request = wire_.make_server_request(started.call, server->id, left);
    started.handle = pool_->send(
        request, left + late_answer_tolerance,
        [this, alive = alive_, number](http_result result)
        {
            if (*alive)
                on_result(number, std::move(result));
        },
        [this, alive = alive_, id = started.call.request](const http_response& answer,
                                                          connection_use use)
        { return !*alive || wire_.belongs_to(answer, id, use); });
}

void run_executor::start_and_drop(const dequeued_runs& dequeued)
{
    for (const run_number number : dequeued.to_drop)
        fail_run(number, forward_result::not_run, forward_failure::queue_full, false);
    for (const run_number number : dequeued.to_start)
        if (runs_.count(number) != 0)
            start_run(number);
}

void run_executor::cancel(run_number number)
{
    const auto found = runs_.find(number);
    if (found == runs_.end())
        return;
    run& run_entry = found->second;
    const bool running = run_entry.sent_at != time_point{};
    run_entry.cancelled = true;
    if (!running)
    {
        runs_.erase(found);
        start_and_drop(queue_.cancel(number, clock::now()));
        return;
    }
    // Interrupting a request that may run only once would waste the work already done.
    if (run_entry.call.repeat == repeat_rule::idempotent)
        run_entry.handle.cancel();
}

void run_executor::recall(run_number number)
{
    const auto found = runs_.find(number);
    if (found == runs_.end() || found->second.sent_at != time_point{})
        return;
    const auto dequeued = queue_.cancel(number, clock::now());
    fail_run(number, forward_result::not_run, forward_failure::cancelled, false);
    start_and_drop(dequeued);
}

// What seems to have taken long during a pause of this process says nothing about the
// server.
void run_executor::check_for_pause()
{
    const auto now = clock::now();
    const auto before = std::exchange(last_active_, now);
    if (before == time_point{} || now - before <= max_activity_gap)
        return;
    decisions_.record(log_event::process_paused,
                      {{"paused_ms", static_cast<std::int64_t>((now - before).count())},
                       {"running", std::int64_t{queue_.running()}}});
    queue_.skip_samples();
    last_answer_ = now;
}

void run_executor::poll()
{
    check_for_pause();
    const auto now = clock::now();
    start_and_drop(queue_.poll(now));
    handle_server_change(tracker_.poll(now), "heartbeats_missing");
    const auto silent_for = now - last_answer_;
    const milliseconds max_silence(std::max<std::int64_t>(
        freshness::min_server_silence.count(),
        static_cast<std::int64_t>(freshness::max_silent_slot_times * queue_.slot_ms())));
    if (queue_.running() > 0 && tracker_.accepts() && silent_for > max_silence)
        handle_server_change(tracker_.on_no_answer(), "no_answers");
    const bool server_unknown = !tracker_.server();
    const bool rate_unconfirmed =
        rate_.rate() && now - last_answer_ > freshness::max_rate_unconfirmed;
    if ((server_unknown || tracker_.suspected() || rate_unconfirmed) &&
        now >= next_health_check_)
        send_health_check();
}

void run_executor::send_health_check()
{
    if (health_check_running_ || health_path_.empty() || stopping_)
        return;
    health_check_running_ = true;
    next_health_check_ = clock::now() + health_check_interval;
    ++counters_.health_checks;
    http_request request;
    request.method = "GET";
    request.target = health_path_;
    health_check_pool_->send(
        request, health_check_timeout,
        [this, alive = alive_, sent_at = clock::now()](http_result result)
        {
            if (!*alive)
                return;
            health_check_running_ = false;
            if (const auto* failure = std::get_if<http_failure>(&result);
                failure && failure->kind == http_failure_kind::connect_failed)
                return on_connection_refused();
            const auto* answer = std::get_if<http_response>(&result);
            const auto id = answer ? wire_.healthy_instance(*answer) : std::nullopt;
            if (!id)
                return;
            const auto now = clock::now();
            last_answer_ = now;
            const bool server_unknown = !tracker_.server();
            const auto change = tracker_.on_health_check_passed(*id, assumed_slots, now);
            if (server_unknown && tracker_.server())
                set_slots(tracker_.server()->slots);
            select_server();
            if (tracker_.server() && tracker_.server()->id == *id)
                on_notice(*answer, sent_at);
            handle_server_change(change, "health_check");
        });
}

} // namespace fescueridge::gateway
