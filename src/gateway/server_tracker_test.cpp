#include <criterion/criterion.h>

#include "fescueridge/gateway/crash_suspects.hpp"
#include "fescueridge/gateway/server_tracker.hpp"

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

const time_point start{milliseconds{1'000'000}};
constexpr milliseconds heartbeat_interval{1'500};
const service_name tills("tills");
constexpr std::int64_t wall_ms = 1'000;

server_heartbeat make_heartbeat(const std::string& id, std::int64_t born_ms,
                                std::uint64_t sequence,
                                server_state state = server_state::ready)
{
    server_heartbeat heartbeat;
    heartbeat.server.id = instance_id(id);
    heartbeat.server.service = tills;
    heartbeat.server.slots = slot_count(29);
    heartbeat.server.state = state;
    heartbeat.server.born_ms = born_ms;
    heartbeat.server.sequence = sequence;
    return heartbeat;
}

} // namespace

Test(server_tracker, accepts_an_announced_server_until_it_leaves)
{
    server_tracker tracker(tills, heartbeat_interval);
    cr_expect(!tracker.accepts());
    cr_expect(tracker.on_heartbeat(make_heartbeat("a", 10, 1), start) ==
              server_change::started);
    cr_expect(tracker.accepts());
    cr_expect(tracker.on_heartbeat(make_heartbeat("a", 10, 2, server_state::draining),
                                   start) == server_change::leaving);
    cr_expect(!tracker.accepts());
}

// Heartbeats may be delivered late and out of order. They must not undo an acknowledged
// departure.
Test(server_tracker, ignores_late_heartbeats_of_a_leaving_server)
{
    server_tracker tracker(tills, heartbeat_interval);
    tracker.on_heartbeat(make_heartbeat("a", 10, 1), start);
    tracker.on_heartbeat(make_heartbeat("a", 10, 5, server_state::draining), start);
    cr_expect(tracker.on_heartbeat(make_heartbeat("a", 10, 4), start) ==
              server_change::stale);
    tracker.on_heartbeat(make_heartbeat("a", 10, 6), start);
    cr_expect(!tracker.accepts());
    cr_expect(tracker.on_departure({instance_id("a"), 10}, start, wall_ms) ==
              server_change::leaving);
    cr_expect(tracker.on_heartbeat(make_heartbeat("a", 10, 7), start) ==
              server_change::stale);
    cr_expect(!tracker.accepts());
}

// Guards against a server that states in its answers that it leaves and that a later
// heartbeat of the same start brings back.
Test(server_tracker, keeps_a_server_out_that_stated_its_leaving)
{
    server_tracker tracker(tills, heartbeat_interval);
    tracker.on_heartbeat(make_heartbeat("a", 10, 1), start);
    cr_expect(tracker.on_leaving_notice(wall_ms) == server_change::leaving);
    cr_expect(tracker.on_leaving_notice(wall_ms) == server_change::none);
    server_tracker overtaken(tills, heartbeat_interval);
    overtaken.on_heartbeat(make_heartbeat("a", 10, 2), start);
    cr_expect(overtaken.on_heartbeat(make_heartbeat("a", 10, 1, server_state::draining),
                                     start) == server_change::leaving);
    cr_expect(!overtaken.accepts());
    tracker.on_heartbeat(make_heartbeat("a", 10, 2), start);
    cr_expect(!tracker.accepts());
    tracker.on_heartbeat(make_heartbeat("b", 20, 1), start);
    cr_expect(tracker.accepts());
}

// An earlier start at the same address may still deliver heartbeats and departures. They
// must not replace or end the latest start.
Test(server_tracker, accepts_only_the_latest_start)
{
    server_tracker tracker(tills, heartbeat_interval);
    tracker.on_heartbeat(make_heartbeat("b", 20, 1), start);
    cr_expect(tracker.on_heartbeat(make_heartbeat("a", 10, 9), start) ==
              server_change::stale);
    cr_expect_str_eq(tracker.server()->id.get().c_str(), "b");
    cr_expect(tracker.on_departure({instance_id("a"), 10}, start, wall_ms) ==
              server_change::stale);
    cr_expect(tracker.accepts());
}

// A server may restart under its old id; the start time identifies it as a new start.
Test(server_tracker, detects_a_new_start_under_the_same_id)
{
    server_tracker tracker(tills, heartbeat_interval);
    tracker.on_heartbeat(make_heartbeat("a", 10, 7), start);
    tracker.on_departure({instance_id("a"), 10}, start, wall_ms);
    cr_expect(tracker.on_heartbeat(make_heartbeat("a", 30, 1), start) ==
              server_change::started);
    cr_expect(tracker.accepts());
}

// A restarted node has lost the departures acknowledged by its predecessor. It must
// accept them from a peer and not reactivate the server that left.
Test(server_tracker, accepts_departures_from_a_peer_after_a_restart)
{
    server_tracker tracker(tills, heartbeat_interval);
    tracker.on_server_record_from_peer(
        make_heartbeat("a", 10, 5, server_state::gone).server, wall_ms);
    cr_expect(tracker.on_heartbeat(make_heartbeat("a", 10, 4), start) ==
              server_change::stale);
    cr_expect(!tracker.accepts());
    cr_expect(tracker.on_heartbeat(make_heartbeat("c", 40, 1), start) ==
              server_change::started);
    tracker.on_server_record_from_peer(
        make_heartbeat("a", 10, 5, server_state::gone).server, wall_ms);
    cr_expect(tracker.accepts());
}

// After a restart of the node, a departure without a start time may arrive first. A late
// heartbeat of the start that left must not be treated as a new start.
Test(server_tracker, ends_the_start_of_a_departure_without_start_time)
{
    server_tracker tracker(tills, heartbeat_interval);
    cr_expect(tracker.on_departure({instance_id("a"), std::nullopt}, start, wall_ms) ==
              server_change::leaving);
    cr_expect(tracker.on_heartbeat(make_heartbeat("a", 900, 11), start) ==
              server_change::stale);
    cr_expect(tracker.on_heartbeat(make_heartbeat("a", 900, 12), start) ==
              server_change::stale);
    cr_expect(!tracker.accepts());
    cr_expect(tracker.on_heartbeat(make_heartbeat("a", 1'001, 1), start) ==
              server_change::started);
    cr_expect(tracker.accepts());
}

// Guards against a late heartbeat that brings back a server which has left and which the
// restarted process knew from a health check only.
Test(server_tracker, keeps_a_server_out_that_left_with_an_unknown_start)
{
    server_tracker departed(tills, heartbeat_interval);
    departed.on_health_check_passed(instance_id("a"), slot_count(16), start);
    cr_expect(departed.accepts());
    cr_expect(departed.on_departure({instance_id("a"), std::nullopt}, start, wall_ms) ==
              server_change::leaving);
    server_tracker noticed(tills, heartbeat_interval);
    noticed.on_health_check_passed(instance_id("a"), slot_count(16), start);
    noticed.on_leaving_notice(wall_ms);
    for (server_tracker* tracker : {&departed, &noticed})
    {
        tracker->on_heartbeat(make_heartbeat("a", 900, 11), start);
        tracker->on_heartbeat(make_heartbeat("a", 900, 12), start);
        cr_expect(!tracker->accepts());
        cr_expect(tracker->on_heartbeat(make_heartbeat("a", 1'001, 1), start) ==
                  server_change::started);
        cr_expect(tracker->accepts());
    }
}

// Guards against departures that are acknowledged and have no effect, as their start is
// not the one that the process knows, or as it knows none.
Test(server_tracker, binds_each_departure_whatever_is_known)
{
    server_tracker checked(tills, heartbeat_interval);
    checked.on_health_check_passed(instance_id("a"), slot_count(16), start);
    cr_expect(checked.on_departure({instance_id("a"), 900}, start, wall_ms) ==
              server_change::leaving);
    checked.on_heartbeat(make_heartbeat("a", 900, 5), start);
    cr_expect(!checked.accepts());

    server_tracker behind(tills, heartbeat_interval);
    behind.on_heartbeat(make_heartbeat("a", 10, 1), start);
    cr_expect(behind.on_departure({instance_id("b"), 900}, start, wall_ms) ==
              server_change::leaving);
    behind.on_heartbeat(make_heartbeat("b", 900, 5), start);
    cr_expect(!behind.accepts());

    server_tracker other(tills, heartbeat_interval);
    other.on_health_check_passed(instance_id("a"), slot_count(16), start);
    other.on_departure({instance_id("b"), std::nullopt}, start, wall_ms);
    cr_expect(other.accepts());
    cr_expect(other.on_heartbeat(make_heartbeat("b", 900, 5), start) ==
              server_change::stale);
    cr_expect_str_eq(other.server()->id.get().c_str(), "a");
}

// Guards against requests that stay queued at a server whose first announcement to this
// process says that it leaves.
Test(server_tracker, reports_a_start_that_leaves_as_leaving)
{
    server_tracker tracker(tills, heartbeat_interval);
    tracker.on_health_check_passed(instance_id("a"), slot_count(16), start);
    cr_expect(tracker.on_heartbeat(make_heartbeat("a", 10, 4, server_state::draining),
                                   start) == server_change::leaving);
}

// If a clock was set back, a new start may appear older than the departure. A peer's
// record of the start that has left must resolve this.
Test(server_tracker, accepts_the_departed_start_from_a_peer)
{
    server_tracker tracker(tills, heartbeat_interval);
    tracker.on_departure({instance_id("a"), std::nullopt}, start, wall_ms);
    tracker.on_server_record_from_peer(make_heartbeat("a", 500, 5).server, wall_ms);
    cr_expect(tracker.on_heartbeat(make_heartbeat("a", 500, 6), start) ==
              server_change::stale);
    cr_expect(!tracker.accepts());
    cr_expect(tracker.on_heartbeat(make_heartbeat("a", 600, 1), start) ==
              server_change::started);
}

// Guards against a record of another writer that replaces the server and its service,
// which requests that begin here state as their caller.
Test(server_tracker, ignores_records_of_another_service)
{
    server_tracker tracker(tills, heartbeat_interval);
    auto foreign = make_heartbeat("b", 99, 1);
    foreign.server.service = service_name("x13d392");
    cr_expect(tracker.on_heartbeat(foreign, start) == server_change::foreign);
    cr_expect(!tracker.server().has_value());
    tracker.on_heartbeat(make_heartbeat("a", 10, 1), start);
    foreign.server.state = server_state::gone;
    cr_expect(tracker.on_server_record_from_peer(foreign.server, wall_ms) ==
              server_change::foreign);
    cr_expect(tracker.on_heartbeat(make_heartbeat("a", 10, 2), start) ==
              server_change::none);
    cr_expect(tracker.accepts());
    foreign.server.state = server_state::ready;
    cr_expect(tracker.set_service(foreign.server.service) == server_change::leaving);
    cr_expect(tracker.on_heartbeat(foreign, start) == server_change::started);
}

// A silent server would hold its requests until their deadlines, so missing heartbeats
// must make it suspected until it passes a health check.
Test(server_tracker, suspects_a_server_without_heartbeats_and_recovers)
{
    server_tracker tracker(tills, heartbeat_interval);
    tracker.on_heartbeat(make_heartbeat("a", 10, 1), start);
    cr_expect(tracker.poll(start + 3 * heartbeat_interval) == server_change::none);
    cr_expect(tracker.poll(start + 5 * heartbeat_interval) == server_change::suspected);
    cr_expect(!tracker.accepts());
    cr_expect(tracker.on_health_check_passed(instance_id("a"), slot_count(16), start) ==
              server_change::recovered);
    cr_expect(tracker.accepts());
}

// After a restart, a departure may be the only announcement received from the server. The
// server record must still contain the configured service, because requests of the VM
// state it as their caller.
Test(server_tracker, keeps_the_service_of_a_server_known_only_by_its_departure)
{
    server_tracker tracker(tills, heartbeat_interval);
    cr_expect(tracker.on_departure({instance_id("a"), 10}, start, wall_ms) ==
              server_change::leaving);
    cr_assert(tracker.server().has_value());
    cr_expect_str_eq(tracker.server()->service.get().c_str(), "tills");
    cr_expect(!tracker.accepts());
}

// A request that crashes every server that runs it must be quarantined. A request that
// only ran at one of the crashes must not.
Test(crash_suspects, quarantines_a_request_that_was_running_at_three_crashes)
{
    crash_suspects suspects;
    const fingerprint crashing(1);
    const fingerprint other(2);
    for (std::uint64_t crash = 1; crash <= 3; ++crash)
    {
        const auto now = start + milliseconds{5'000} * static_cast<int>(crash);
        cr_expect(!suspects.quarantined(crashing, now));
        suspects.on_connection_cut(crashing, now);
        if (crash == 2)
            suspects.on_connection_cut(other, now);
        cr_expect_eq(suspects.on_crash(crash, now + milliseconds{3'000}).size(),
                     crash == 2 ? 2U : 1U);
    }
    const auto now = start + milliseconds{20'000};
    cr_expect(suspects.quarantined(crashing, now));
    cr_expect(!suspects.quarantined(other, now));
    crash_suspects restarted;
    for (const auto& suspect : suspects.repeated(now))
        restarted.on_suspect(suspect, now);
    cr_expect(restarted.quarantined(crashing, now));
    cr_expect(!suspects.quarantined(crashing, now + crash_suspects::retention * 2));
}

// A request may be running at crashes caused by others. A completed run must clear it.
Test(crash_suspects, clears_a_request_after_a_completed_run)
{
    crash_suspects suspects;
    const fingerprint unrelated(3);
    for (std::uint64_t crash = 1; crash <= 5; ++crash)
    {
        suspects.on_suspect({unrelated, crash}, start);
        if (crash == 2)
            suspects.on_completed(unrelated);
        if (crash < 5)
            cr_expect(!suspects.quarantined(unrelated, start));
    }
}
