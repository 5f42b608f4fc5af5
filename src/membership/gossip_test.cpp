#include <criterion/criterion.h>

#include <cstdio>

#include "gossip_fleet.hpp"

using namespace fescueridge;
using std::chrono::seconds;

namespace
{

constexpr milliseconds convergence_timeout{60'000};

// Starts `count` nodes and waits until each lists all others as alive.
void start_converged_fleet(gossip_fleet& fleet, std::size_t count)
{
    fleet.start_many(count);
    cr_assert(fleet.run(convergence_timeout, [&] { return fleet.converged(); }));
    fleet.run(seconds(3));
}

std::size_t count_changes(gossip_core& core, change_kind kind)
{
    std::size_t result = 0;
    for (const member_change& change : core.take_changes())
    {
        result += change.kind == kind ? 1 : 0;
    }
    return result;
}

} // namespace

// Nodes with one common contact must all find each other. A sync that omits members or
// updates that are not disseminated would leave some unknown. No datagram may exceed the
// maximum size.
Test(gossip, nodes_join_through_one_contact)
{
    gossip_fleet fleet(1);
    fleet.start_many(40);
    cr_assert(fleet.run(seconds(3), [&] { return fleet.converged(); }));
    cr_assert(fleet.largest_datagram_bytes <= max_gossip_datagram_bytes);
}

// A node must join although four of its five contacts do not answer, and must receive a
// table of several datagrams completely. It would stay incomplete if the node stopped
// trying contacts or lost a part of the sync.
Test(gossip, new_node_joins_through_one_live_contact)
{
    gossip_fleet fleet(2);
    start_converged_fleet(fleet, 60);
    std::vector<endpoint> contacts;
    for (std::size_t i = 200; i < 204; ++i)
    {
        contacts.push_back(gossip_fleet::address(i));
    }
    contacts.push_back(gossip_fleet::address(17));
    fleet.start("fresh", contacts);
    cr_assert(fleet.run(seconds(8), [&] { return fleet.converged(); }));
}

// All members must declare a stopped node dead, and only that node. Detection takes 1.5 s
// plus up to one probe period and the time of dissemination. A dead status of a member
// that still answers probes would be a false detection.
Test(gossip, all_members_declare_stopped_node_dead)
{
    for (std::uint64_t seed = 10; seed < 20; ++seed)
    {
        gossip_fleet fleet(seed);
        start_converged_fleet(fleet, 20);
        fleet.stop(7);
        const time_point start = fleet.now;
        cr_assert(fleet.run(seconds(4), [&]
                            { return fleet.count_views("n7", liveness::dead) == 19; }),
                  "seed %zu", static_cast<std::size_t>(seed));
        cr_assert(fleet.now - start >= milliseconds(900));
        fleet.run(seconds(5));
        cr_assert(fleet.converged(), "seed %zu", static_cast<std::size_t>(seed));
    }
}

// A paused process receives no acks. After it resumes at its old address, it must not
// declare the others dead because of its own pause, and the others must mark it as alive.
Test(gossip, paused_node_recovers)
{
    gossip_fleet fleet(30);
    start_converged_fleet(fleet, 12);
    bool paused = true;
    fleet.is_paused = [&](std::size_t index)
    {
        return paused && index == 3;
    };
    cr_assert(fleet.run(seconds(5),
                        [&] { return fleet.count_views("n3", liveness::dead) == 11; }));
    fleet.run(seconds(20));
    fleet[3].take_changes();
    paused = false;
    cr_assert(fleet.run(seconds(5), [&] { return fleet.converged(); }));
    cr_assert(count_changes(fleet[3], change_kind::died) == 0);
}

// When a second node starts with an id in use, the one with the lower incarnation must
// stop serving. Otherwise two nodes would accept calls under the same id.
Test(gossip, duplicate_id_supersedes_lower_incarnation)
{
    gossip_fleet fleet(40);
    start_converged_fleet(fleet, 8);
    const std::size_t duplicate = fleet.start("n5", {gossip_fleet::address(0)}, 2000);
    cr_assert(fleet.run(seconds(5), [&] { return fleet[5].superseded(); }));
    cr_assert(count_changes(fleet[5], change_kind::duplicate_id) == 1);
    fleet.run(seconds(5));
    cr_assert(!fleet[duplicate].superseded());
    cr_assert(fleet[1].find(node_id("n5"))->record.gossip == fleet.address(duplicate));
    cr_assert(fleet[1].find(node_id("n5"))->status == liveness::alive);
}

// A wall clock that steps back gives a restarted node a lower incarnation than its
// stopped predecessor had. The node must raise its incarnation above that one. Otherwise
// it would be superseded by a stopped process, or the members would ignore its record.
// Covers a restart at the same and at another address.
Test(gossip, restarted_node_raises_lower_incarnation)
{
    for (const bool same_address : {true, false})
    {
        gossip_fleet fleet(50);
        start_converged_fleet(fleet, 8);
        fleet.stop(4);
        fleet.run(same_address ? milliseconds(100) : seconds(4));
        std::size_t index = 4;
        if (same_address)
        {
            fleet.start_at(4, "n4", {gossip_fleet::address(0)}, 10);
        }
        else
        {
            index = fleet.start("n4", {gossip_fleet::address(0)}, 10);
        }
        const auto is_known = [&]
        {
            const auto view = fleet[1].find(node_id("n4"));
            return view && view->status == liveness::alive &&
                   view->record.incarnation_number == incarnation(1001) &&
                   view->record.gossip == fleet.address(index);
        };
        cr_assert(fleet.run(seconds(6), is_known), "same address: %d", same_address);
        cr_assert(!fleet[index].superseded());
    }
}

// During a partition, members of the own side must stay alive and those of the other side
// must be dead. After it heals, all must be alive again within 5 s. Updates from the
// other side, which still report dead members, must not make a member dead on its own
// side.
Test(gossip, partition_heals_within_five_seconds)
{
    for (std::uint64_t seed = 60; seed < 66; ++seed)
    {
        gossip_fleet fleet(seed);
        start_converged_fleet(fleet, 30);
        fleet.is_partitioned = [](std::size_t from, std::size_t to)
        {
            return from % 2 != to % 2;
        };
        fleet.run(seconds(20));
        for (const member_view& view : fleet[0].members())
        {
            const bool same_side = view.record.domain == domain_name("a");
            cr_assert((view.status == liveness::alive) == same_side);
        }
        fleet[0].take_changes();
        fleet.is_partitioned = nullptr;
        cr_assert(fleet.run(seconds(5), [&] { return fleet.converged(); }), "seed %zu",
                  static_cast<std::size_t>(seed));
        cr_assert(count_changes(fleet[0], change_kind::died) == 0);
    }
}

// Two groups of nodes that start during a partition have common contacts but no common
// members. Nodes that probe only known members would never merge the groups after the
// partition heals.
Test(gossip, groups_started_during_partition_merge)
{
    gossip_fleet fleet(70);
    fleet.is_partitioned = [](std::size_t from, std::size_t to)
    {
        return from % 2 != to % 2;
    };
    const std::vector<endpoint> contacts{fleet.address(0), fleet.address(1)};
    for (std::size_t i = 0; i < 12; ++i)
    {
        fleet.start("n" + std::to_string(i), contacts);
    }
    fleet.run(seconds(10));
    fleet.is_partitioned = nullptr;
    cr_assert(fleet.run(seconds(5), [&] { return fleet.converged(); }));
}

// With 30% datagram loss, nodes must still join and a stopped node must still be declared
// dead. Failed probes of live members must rarely end in a dead status, and it must be
// refuted.
Test(gossip, tolerates_datagram_loss)
{
    for (std::uint64_t seed = 80; seed < 84; ++seed)
    {
        gossip_fleet fleet(seed);
        fleet.drop_percent = 30;
        fleet.start_many(20);
        cr_assert(fleet.run(seconds(10), [&] { return fleet.converged(); }));
        std::size_t deaths = 0;
        fleet.run(seconds(60));
        for (std::size_t i = 0; i < fleet.size(); ++i)
        {
            deaths += count_changes(fleet[i], change_kind::died);
        }
        // Out of 60 s * 20 members * 2 probes per second. Each of the 19 other members
        // counts a dead one.
        cr_expect(deaths <= 19, "seed %zu: %zu deaths", static_cast<std::size_t>(seed),
                  deaths);
        cr_assert(fleet.run(seconds(5), [&] { return fleet.converged(); }));
        fleet.stop(3);
        cr_assert(fleet.run(seconds(6), [&]
                            { return fleet.count_views("n3", liveness::dead) == 19; }));
    }
}

// A drain must reach all members within 2 s. Nodes without the update would still send
// calls to the draining server.
Test(gossip, drain_spreads_within_two_seconds)
{
    gossip_fleet fleet(90);
    start_converged_fleet(fleet, 200);
    fleet[150].update_self([](member_record& self)
                           { self.state = server_state::draining; });
    const auto is_known = [&]
    {
        for (std::size_t i = 0; i < fleet.size(); ++i)
        {
            const auto view = fleet[i].find(node_id("n150"));
            if (i != 150 && view->record.state != server_state::draining)
            {
                return false;
            }
        }
        return true;
    };
    cr_assert(fleet.run(seconds(2), is_known));
}

// A node that restarts at its old address with a higher incarnation must replace its
// predecessor. A suspect or dead status of the predecessor must not apply to it.
Test(gossip, restarted_node_replaces_predecessor)
{
    gossip_fleet fleet(92);
    start_converged_fleet(fleet, 12);
    fleet.stop(6);
    fleet.run(milliseconds(700));
    fleet.start_at(6, "n6", {gossip_fleet::address(0)}, 5000);
    const auto is_known = [&]
    {
        const auto view = fleet[2].find(node_id("n6"));
        return view->status == liveness::alive &&
               view->record.incarnation_number == incarnation(5000);
    };
    cr_assert(fleet.run(seconds(2), is_known));
    fleet.run(seconds(5));
    cr_assert(fleet.converged());
}

// Traffic per node must stay below the control budget of 4 KB/s while one member is
// replaced every 5 s (every 45 s at the design size), and below a tenth of it without
// changes. Updates that are repeated too often or sent in full would exceed it.
Test(gossip, traffic_stays_in_budget)
{
    gossip_fleet fleet(95);
    start_converged_fleet(fleet, 100);
    fleet.run(seconds(12));
    fleet.bytes_sent = 0;
    fleet.run(seconds(10));
    cr_assert(fleet.bytes_sent / 100 / 10 < 400, "%zu bytes",
              std::size_t(fleet.bytes_sent));
    fleet.bytes_sent = 0;
    for (std::size_t i = 1; i <= 4; ++i)
    {
        fleet.stop(i);
        fleet.start("r" + std::to_string(i), {gossip_fleet::address(0)});
        fleet.run(seconds(5));
    }
    cr_assert(fleet.bytes_sent / 100 / 20 < 4000, "%zu bytes",
              std::size_t(fleet.bytes_sent));
}

// If a full update is lost and only short updates follow, the receivers must detect that
// they lack it and fetch the full record. Otherwise the number of slots would stay
// outdated.
Test(gossip, lost_full_update_is_fetched)
{
    gossip_fleet fleet(100);
    start_converged_fleet(fleet, 10);
    fleet.drop_percent = 100;
    fleet[2].update_self([](member_record& self) { self.slots = slot_count(99); });
    fleet.run(milliseconds(300));
    fleet.drop_percent = 0;
    const auto is_known = [&]
    {
        return fleet[8].find(node_id("n2"))->record.slots == slot_count(99);
    };
    cr_assert(fleet.run(seconds(10), is_known));
    cr_assert(fleet[2].self().node == node_id("n2"));
}

// Each replaced VM leaves a dead member. It must be removed after `forget_after`, or the
// table would grow without limit.
Test(gossip, dead_members_are_forgotten)
{
    gossip_options options;
    options.forget_after = seconds(30);
    time_point now{milliseconds(5000)};
    gossip_core a(gossip_fleet::record("a", 0, 1), {}, random_engine(1), now, options);
    gossip_core b(gossip_fleet::record("b", 1, 1), {gossip_fleet::address(0)},
                  random_engine(2), now, options);
    for (const outgoing_datagram& datagram : b.tick(now))
    {
        a.receive(now, gossip_fleet::address(1), datagram.bytes);
    }
    cr_assert(a.find(node_id("b")).has_value());
    for (int i = 0; i < 40 * 50; ++i)
    {
        now += milliseconds(50);
        a.tick(now);
    }
    cr_assert(!a.find(node_id("b")).has_value());
    cr_assert(count_changes(a, change_kind::forgotten) == 1);
}

// Decodes randomly mutated and truncated datagrams. Each must be either accepted, or
// rejected with codec_error and without a change of the table; none may crash the node or
// throw another exception.
Test(gossip, malformed_datagrams_are_refused)
{
    gossip_fleet fleet(110);
    start_converged_fleet(fleet, 5);
    random_engine random(111);
    const time_point now = fleet.now;
    std::vector<std::string> samples;
    for (int i = 1; samples.size() < 40; ++i)
    {
        fleet[1].update_self([](member_record& self) { self.slots = slot_count(7); });
        for (outgoing_datagram& datagram : fleet[1].tick(now + milliseconds(50 * i)))
        {
            samples.push_back(std::move(datagram.bytes));
        }
    }
    std::size_t refused = 0;
    for (int i = 0; i < 100'000; ++i)
    {
        std::string bytes = samples[random() % samples.size()];
        const std::size_t flips = 1 + random() % 4;
        for (std::size_t flip = 0; flip < flips; ++flip)
        {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        if (random() % 4 == 0)
        {
            bytes.resize(random() % bytes.size());
        }
        const std::size_t before = fleet[0].members().size();
        try
        {
            fleet[0].receive(now, gossip_fleet::address(1), bytes);
        }
        catch (const codec_error&)
        {
            ++refused;
            cr_assert(fleet[0].members().size() == before);
            cr_assert(fleet[0].take_changes().empty());
        }
        fleet[0].take_changes();
    }
    cr_assert(refused > 10'000);
    cr_assert_throw(fleet[0].receive(now, fleet.address(1), std::string(1201, 'x')),
                    codec_error);
}
