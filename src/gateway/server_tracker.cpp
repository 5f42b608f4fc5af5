#include "fescueridge/gateway/server_tracker.hpp"

#include <algorithm>

#include "fescueridge/gateway/freshness.hpp"

namespace fescueridge::gateway
{
namespace
{

/// More than the starts of one VM whose last heartbeats may still be on their way.
constexpr std::size_t max_remembered_departures = 16;

} // namespace

std::string_view to_string(server_change value) noexcept
{
    switch (value)
    {
    case server_change::none:
        return "none";
    case server_change::stale:
        return "stale";
    case server_change::foreign:
        return "foreign";
    case server_change::started:
        return "started";
    case server_change::ready:
        return "ready";
    case server_change::leaving:
        return "leaving";
    case server_change::suspected:
        return "suspected";
    case server_change::recovered:
        return "recovered";
    }
    return "none";
}

bool server_tracker::accepts() const
{
    return server_ && !is_leaving(server_->state) && !suspected_;
}

server_change server_tracker::set_service(const service_name& service)
{
    service_ = service;
    if (!server_ || server_->service == service)
        return server_change::none;
    server_.reset();
    suspected_ = false;
    return server_change::leaving;
}

server_change server_tracker::start_tracking(const server_record& server, time_point now)
{
    const bool new_start =
        !server_ || server_->id != server.id || server_->born_ms != server.born_ms;
    server_ = server;
    latest_born_ms_ = std::max(latest_born_ms_, server.born_ms);
    last_seen_ = now;
    suspected_ = false;
    if (is_leaving(server.state))
        return leave(server.state, server.born_ms);
    return new_start ? server_change::started : server_change::ready;
}

bool server_tracker::has_left(const instance_id& id, std::int64_t born_ms) const
{
    const auto found = left_until_.find(id);
    return found != left_until_.end() && born_ms <= found->second;
}

/// Returns whether the departure was not known yet.
bool server_tracker::add_departure(const instance_id& id, std::int64_t until_ms)
{
    if (has_left(id, until_ms))
        return false;
    if (left_until_.size() >= max_remembered_departures && left_until_.count(id) == 0)
        left_until_.erase(std::min_element(left_until_.begin(), left_until_.end(),
                                           [](const auto& a, const auto& b)
                                           { return a.second < b.second; }));
    left_until_[id] = until_ms;
    return true;
}

void server_tracker::note_left(const instance_id& id, std::int64_t until_ms)
{
    if (add_departure(id, until_ms))
        new_departures_.push_back({id, until_ms});
}

/// Returns whether the server with this id has left and its start is unknown. A restarted
/// process may receive a departure first, and departures need not identify the start.
bool server_tracker::left_with_unknown_start(const instance_id& id) const
{
    return server_ && server_->id == id && server_->born_ms == 0 &&
           is_leaving(server_->state);
}

void server_tracker::set_start(std::int64_t born_ms)
{
    server_->born_ms = born_ms;
    latest_born_ms_ = std::max(latest_born_ms_, born_ms);
}

server_change server_tracker::on_heartbeat(const server_heartbeat& heartbeat,
                                           time_point now)
{
    const server_record& announced = heartbeat.server;
    if (announced.service != service_)
        return server_change::foreign;
    const bool had_left = has_left(announced.id, announced.born_ms);
    if (is_leaving(announced.state))
        note_left(announced.id, announced.born_ms);
    if (announced.born_ms < latest_born_ms_)
        return server_change::stale;
    const bool same_start =
        server_ && server_->id == announced.id && server_->born_ms == announced.born_ms;
    if (same_start)
        return on_next_heartbeat(announced, now);
    if (!had_left)
        return start_tracking(announced, now);
    if (left_with_unknown_start(announced.id))
        set_start(announced.born_ms);
    return server_change::stale;
}

/// Processes a heartbeat of the tracked start. A start that has begun to leave does not
/// become active again.
server_change server_tracker::on_next_heartbeat(const server_record& announced,
                                                time_point now)
{
    const bool was_leaving = is_leaving(server_->state);
    const bool leaves = !was_leaving && is_leaving(announced.state);
    const bool is_newer = announced.sequence > server_->sequence;
    if (server_->state == server_state::gone || (!is_newer && !leaves))
        return server_change::stale;
    const bool was_suspected = suspected_;
    const auto state = was_leaving ? server_state::draining : announced.state;
    server_ = announced;
    server_->state = state;
    last_seen_ = now;
    suspected_ = false;
    if (leaves)
        return leave(state, announced.born_ms);
    return was_suspected ? server_change::recovered : server_change::none;
}

server_change server_tracker::on_departure(const server_departure& departure,
                                           time_point now, std::int64_t wall_ms)
{
    const auto born_ms = departure.born_ms.value_or(0);
    const bool tracked_start_known =
        server_ && server_->id == departure.id && server_->born_ms != 0;
    const auto last_start_ms = tracked_start_known ? server_->born_ms : wall_ms;
    note_left(departure.id, born_ms != 0 ? born_ms : last_start_ms);
    if (!server_ || is_later_start(departure.id, born_ms))
    {
        server_record left;
        left.id = departure.id;
        left.service = service_;
        left.born_ms = born_ms;
        left.state = server_state::ready;
        start_tracking(left, now);
        return leave(server_state::gone, wall_ms);
    }
    if (server_->id != departure.id || (born_ms != 0 && born_ms < server_->born_ms))
        return server_change::stale;
    if (born_ms != 0)
        set_start(born_ms);
    last_seen_ = now;
    if (server_->state == server_state::gone)
        return server_change::none;
    return leave(server_state::gone, wall_ms);
}

/// Returns whether this is a start after the one that is tracked.
bool server_tracker::is_later_start(const instance_id& id, std::int64_t born_ms) const
{
    // Without the time of the tracked start, another id may also be that of an earlier
    // one.
    const bool comparable = server_->born_ms != 0;
    return comparable && born_ms > latest_born_ms_ &&
           (server_->id != id || born_ms != server_->born_ms);
}

/// Ends the current start. Where it is unknown, every start up to now has left: its last
/// heartbeats may still be on their way and are the first that tell its time.
server_change server_tracker::leave(server_state state, std::int64_t wall_ms)
{
    note_left(server_->id, server_->born_ms != 0 ? server_->born_ms : wall_ms);
    server_->state = state;
    return server_change::leaving;
}

server_change server_tracker::on_server_record_from_peer(const server_record& server,
                                                         std::int64_t wall_ms)
{
    if (server.service != service_)
        return server_change::foreign;
    if (left_with_unknown_start(server.id))
    {
        if (server.born_ms != 0)
        {
            left_until_[server.id] = server.born_ms;
            set_start(server.born_ms);
        }
        return server_change::none;
    }
    if (!is_leaving(server.state) || server.born_ms < latest_born_ms_)
        return server_change::none;
    const bool same_start =
        server_ && server_->id == server.id && server_->born_ms <= server.born_ms;
    if (server_ && (!same_start || is_leaving(server_->state)))
    {
        if (server.born_ms != 0)
            note_left(server.id, server.born_ms);
        return server_change::none;
    }
    latest_born_ms_ = std::max(latest_born_ms_, server.born_ms);
    server_ = server;
    return leave(server.state, wall_ms);
}

server_change
server_tracker::on_stored_departures(const std::vector<departed_start>& departures)
{
    for (const auto& departure : departures)
        add_departure(departure.id, departure.until_ms);
    if (!server_ || is_leaving(server_->state) ||
        !has_left(server_->id, server_->born_ms))
        return server_change::none;
    server_->state = server_state::draining;
    return server_change::leaving;
}

server_change server_tracker::on_no_answer()
{
    if (!server_ || suspected_ || is_leaving(server_->state))
        return server_change::none;
    suspected_ = true;
    return server_change::suspected;
}

server_change server_tracker::on_health_check_passed(const instance_id& id,
                                                     slot_count assumed_slots,
                                                     time_point now)
{
    if (!server_ && left_until_.count(id) == 0)
    {
        server_record found;
        found.id = id;
        found.service = service_;
        found.slots = assumed_slots;
        found.state = server_state::ready;
        found.born_ms = latest_born_ms_;
        return start_tracking(found, now);
    }
    if (!server_ || server_->id != id || !suspected_)
        return server_change::none;
    last_seen_ = now;
    suspected_ = false;
    return server_change::recovered;
}

server_change server_tracker::on_leaving_notice(std::int64_t wall_ms)
{
    if (!server_ || is_leaving(server_->state))
        return server_change::none;
    return leave(server_state::draining, wall_ms);
}

server_change server_tracker::on_answer()
{
    if (!suspected_)
        return server_change::none;
    suspected_ = false;
    return server_change::recovered;
}

server_change server_tracker::poll(time_point now)
{
    if (!accepts() ||
        now - last_seen_ < freshness::max_missing_heartbeats * heartbeat_interval_)
        return server_change::none;
    return on_no_answer();
}

} // namespace fescueridge::gateway
