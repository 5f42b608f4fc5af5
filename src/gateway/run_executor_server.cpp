#include "fescueridge/gateway/run_executor.hpp"

#include "fescueridge/base/random.hpp"
#include "run_replies.hpp"

namespace fescueridge::gateway
{
namespace
{

/// A server known from a health check has no start until its first announcement.
bool is_other_start(const server_record& before, const server_record& after)
{
    return before.id != after.id ||
           (before.born_ms != 0 && before.born_ms != after.born_ms);
}

} // namespace

server_change run_executor::on_announcement(const server_announcement& announcement)
{
    const auto before = tracker_.server();
    const auto now = clock::now();
    server_change change = server_change::none;
    if (const auto* heartbeat = std::get_if<server_heartbeat>(&announcement))
        change = tracker_.on_heartbeat(*heartbeat, now);
    else
        change = tracker_.on_departure(std::get<server_departure>(announcement), now,
                                       wall_clock_ms());
    const auto& after = tracker_.server();
    if (before && is_other_start(*before, *after))
        on_restart(*before);
    select_server();
    if (after && after->state == server_state::ready)
        set_slots(after->slots);
    handle_server_change(change, "announcement");
    return change;
}

void run_executor::set_service(const service_name& service)
{
    handle_server_change(tracker_.set_service(service), "settings");
}

void run_executor::on_restart(const server_record& before)
{
    replace_pool();
    answered_ = false;
    on_crash(before);
}

// A server that accepts no connections is down, whether or not it comes back.
void run_executor::on_connection_refused()
{
    if (tracker_.server())
        on_crash(*tracker_.server());
    handle_server_change(tracker_.on_no_answer(), "connection_refused");
}

// A crash may be noticed twice; its number tells that it is the same one.
void run_executor::on_crash(const server_record& crashed)
{
    if (crashed.state != server_state::ready)
        return;
    const auto crash =
        stable_hash(crashed.id.get(), static_cast<std::uint64_t>(crashed.born_ms));
    for (const auto& suspect : suspects_.on_crash(crash, clock::now()))
        callbacks_.on_suspect(suspect);
}

void run_executor::on_server_record_from_peer(const own_server_message& own)
{
    rate_.remember(own.server, own.max_rate);
    handle_server_change(tracker_.on_server_record_from_peer(own.server, wall_clock_ms()),
                         "memory_of_peer");
    select_server();
}

void run_executor::on_stored_departures(const std::vector<departed_start>& departures)
{
    handle_server_change(tracker_.on_stored_departures(departures), "log");
}

void run_executor::select_server()
{
    if (tracker_.server() && rate_.select(*tracker_.server(), clock::now()))
        apply_rate("memory_of_peer");
}

void run_executor::on_notice(const http_response& answer, time_point sent_at)
{
    const auto now = clock::now();
    const bool first = !std::exchange(answered_, true);
    const auto notice = wire_.read_notice(answer);
    if (notice.leaving)
        handle_server_change(tracker_.on_leaving_notice(wall_clock_ms()), "answer");
    if (rate_.on_answer(notice, sent_at, now))
        apply_rate("answer");
    if (first && tracker_.server())
        set_slots(tracker_.server()->slots);
}

void run_executor::apply_rate(const char* cause)
{
    constexpr double none = 0;
    const auto before = queue_.max_rate();
    const auto after = rate_.rate();
    decisions_.record(log_event::server_rate_changed,
                      {{"cause", std::string(cause)},
                       {"server", tracker_.server() ? tracker_.server()->id.get() : ""},
                       {"before_per_s", before ? before->get() : none},
                       {"max_per_s", after ? after->get() : none},
                       {"running", std::int64_t{queue_.running()}},
                       {"waiting", std::int64_t{queue_.waiting()}}});
    start_and_drop(queue_.set_max_rate(after, clock::now()));
    callbacks_.on_server_changed();
}

executor_counters run_executor::counters() const
{
    auto counters = counters_;
    counters.delayed_by_rate = queue_.delayed_by_rate();
    counters.unusable_rates = rate_.unusable();
    return counters;
}

void run_executor::handle_server_change(server_change change, const std::string& cause)
{
    for (const auto& departure : tracker_.take_departures())
        callbacks_.on_departure(departure);
    if (change == server_change::none)
        return;
    const auto& server = tracker_.server();
    std::vector<event_field> fields{{"change", std::string(to_string(change))},
                                    {"cause", cause},
                                    {"running", std::int64_t{queue_.running()}},
                                    {"waiting", std::int64_t{queue_.waiting()}}};
    if (server)
    {
        fields.push_back({"server", server->id.get()});
        fields.push_back({"service", server->service.get()});
        fields.push_back({"state", std::string(to_string(server->state))});
        fields.push_back({"sequence", static_cast<std::int64_t>(server->sequence)});
        fields.push_back({"born_ms", server->born_ms});
        fields.push_back({"slots", std::int64_t{server->slots.get()}});
    }
    decisions_.record(log_event::server_changed, fields);
    if (change == server_change::stale || change == server_change::foreign)
        return;
    if (change == server_change::leaving)
        reject_waiting(forward_failure::server_leaving);
    if (change == server_change::suspected)
        reject_waiting(forward_failure::server_down);
    callbacks_.on_server_changed();
}

void run_executor::reject_waiting(forward_failure reason)
{
    for (const run_number number : queue_.drop_waiting())
        fail_run(number, forward_result::not_run, reason, false);
}

void run_executor::stop_accepting()
{
    stopping_ = true;
    reject_waiting(forward_failure::server_leaving);
}

} // namespace fescueridge::gateway
