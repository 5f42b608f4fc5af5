#include <criterion/criterion.h>

#include "fescueridge/gateway/crash_suspects.hpp"
#include "fescueridge/gateway/server_tracker.hpp"

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

const time_point start{milliseconds{1'000'000}};
constexpr milliseconds interval{1'500};
const service_name tills("tills");
constexpr std::int64_t wall_ms = 1'000;

server_heartbeat beat(const std::string& id, std::int64_t born, std::uint64_t sequence,
                      server_state state = server_state::ready)
{
    server_heartbeat heartbeat;
    heartbeat.server.id = instance_id(id);
    heartbeat.server.service = tills;
    heartbeat.server.slots = slot_count(29);
    heartbeat.server.state = state;
    heartbeat.server.born_ms = born;
    heartbeat.server.sequence = sequence;
    return heartbeat;
}

} // namespace

Test(server_tracker, accepts_an_announced_server_until_it_leaves)
{
    server_tracker tracker(tills, interval);
    cr_expect(!tracker.accepts());
    cr_expect(tracker.on_heartbeat(beat("a", 10, 1), start) == server_change::started);
    cr_expect(tracker.accepts());
    cr_expect(tracker.on_heartbeat(beat("a", 10, 2, server_state::draining), start) ==
              server_change::leaving);
    cr_expect(!tracker.accepts());
}

// Heartbeats may be delivered late and out of order. They must not undo an acknowledged
// departure.
Test(server_tracker, does_not_bring_a_leaving_server_back_by_late_heartbeats)
{
    server_tracker tracker(tills, interval);
    tracker.on_heartbeat(beat("a", 10, 1), start);
    tracker.on_heartbeat(beat("a", 10, 5, server_state::draining), start);
    cr_expect(tracker.on_heartbeat(beat("a", 10, 4), start) == server_change::stale);
    tracker.on_heartbeat(beat("a", 10, 6), start);
    cr_expect(!tracker.accepts());
    cr_expect(tracker.on_departure({instance_id("a"), 10}, start, wall_ms) ==
              server_change::leaving);
    cr_expect(tracker.on_heartbeat(beat("a", 10, 7), start) == server_change::stale);
    cr_expect(!tracker.accepts());
}

// An earlier start at the same address may still deliver heartbeats and departures. They
// must not replace or end the latest start.
Test(server_tracker, takes_the_latest_start_only)
{
    server_tracker tracker(tills, interval);
    tracker.on_heartbeat(beat("b", 20, 1), start);
    cr_expect(tracker.on_heartbeat(beat("a", 10, 9), start) == server_change::stale);
    cr_expect_str_eq(tracker.server()->id.get().c_str(), "b");
    cr_expect(tracker.on_departure({instance_id("a"), 10}, start, wall_ms) ==
              server_change::stale);
    cr_expect(tracker.accepts());
}

// A server may restart under its old id; the start time identifies it as a new start.
Test(server_tracker, knows_a_new_start_under_the_same_id)
{
    server_tracker tracker(tills, interval);
    tracker.on_heartbeat(beat("a", 10, 7), start);
    tracker.on_departure({instance_id("a"), 10}, start, wall_ms);
    cr_expect(tracker.on_heartbeat(beat("a", 30, 1), start) == server_change::started);
    cr_expect(tracker.accepts());
}

// A restarted node has lost the departures acknowledged by its predecessor. It must
// accept them from a peer and not reactivate the server that left.
Test(server_tracker, takes_the_memory_of_a_peer_after_a_restart)
{
    server_tracker tracker(tills, interval);
    tracker.on_memory_of_peer(beat("a", 10, 5, server_state::gone).server, wall_ms);
    cr_expect(tracker.on_heartbeat(beat("a", 10, 4), start) == server_change::stale);
    cr_expect(!tracker.accepts());
    cr_expect(tracker.on_heartbeat(beat("c", 40, 1), start) == server_change::started);
    tracker.on_memory_of_peer(beat("a", 10, 5, server_state::gone).server, wall_ms);
    cr_expect(tracker.accepts());
}

// After a restart of the node, a departure without a start time may arrive first. A late
// heartbeat of the start that left must not be treated as a new start.
Test(server_tracker, ends_the_start_of_a_departure_that_names_none)
{
    server_tracker tracker(tills, interval);
    cr_expect(tracker.on_departure({instance_id("a"), std::nullopt}, start, wall_ms) ==
              server_change::leaving);
    cr_expect(tracker.on_heartbeat(beat("a", 900, 11), start) == server_change::stale);
    cr_expect(tracker.on_heartbeat(beat("a", 900, 12), start) == server_change::stale);
    cr_expect(!tracker.accepts());
    cr_expect(tracker.on_heartbeat(beat("a", 1'001, 1), start) == server_change::started);
    cr_expect(tracker.accepts());
}

// If a clock was set back, a new start may appear older than the departure. A peer's
// record of the start that has left must resolve this.
Test(server_tracker, learns_from_a_peer_which_start_has_left)
{
    server_tracker tracker(tills, interval);
    tracker.on_departure({instance_id("a"), std::nullopt}, start, wall_ms);
    tracker.on_memory_of_peer(beat("a", 500, 5).server, wall_ms);
    cr_expect(tracker.on_heartbeat(beat("a", 500, 6), start) == server_change::stale);
    cr_expect(!tracker.accepts());
    cr_expect(tracker.on_heartbeat(beat("a", 600, 1), start) == server_change::started);
}

// A silent server would hold its requests until their deadlines, so missing heartbeats
// must make it suspected until it passes a health check.
Test(server_tracker, suspects_a_server_without_heartbeats_and_recovers)
{
    server_tracker tracker(tills, interval);
    tracker.on_heartbeat(beat("a", 10, 1), start);
    cr_expect(tracker.poll(start + 3 * interval) == server_change::none);
    cr_expect(tracker.poll(start + 5 * interval) == server_change::suspected);
    cr_expect(!tracker.accepts());
    cr_expect(tracker.on_healthy(instance_id("a"), slot_count(16), start) ==
              server_change::recovered);
    cr_expect(tracker.accepts());
}

// After a restart, a departure may be the only announcement received from the server. The
// server record must still contain the configured service, because requests of the VM
// state it as their caller.
Test(server_tracker, names_the_service_of_a_server_that_it_knows_by_its_departure_only)
{
    server_tracker tracker(tills, interval);
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
    const fingerprint poison(1);
    const fingerprint other(2);
    for (std::uint64_t crash = 1; crash <= 3; ++crash)
    {
        const auto now = start + milliseconds{5'000} * static_cast<int>(crash);
        cr_expect(!suspects.quarantined(poison, now));
        suspects.on_cut(poison, now);
        if (crash == 2)
            suspects.on_cut(other, now);
        cr_expect_eq(suspects.on_crash(crash, now + milliseconds{3'000}).size(),
                     crash == 2 ? 2U : 1U);
    }
    const auto now = start + milliseconds{20'000};
    cr_expect(suspects.quarantined(poison, now));
    cr_expect(!suspects.quarantined(other, now));
    cr_expect(!suspects.quarantined(poison, now + crash_suspects::memory * 2));
}

// A request may be running at crashes caused by others. A completed run must clear it.
Test(crash_suspects, clears_a_request_after_a_completed_run)
{
    crash_suspects suspects;
    const fingerprint innocent(3);
    for (std::uint64_t crash = 1; crash <= 5; ++crash)
    {
        suspects.on_suspect({innocent, crash}, start);
        if (crash == 2)
            suspects.on_completed(innocent);
        if (crash < 5)
            cr_expect(!suspects.quarantined(innocent, start));
    }
}
