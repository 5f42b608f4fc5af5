#include <array>
#include <criterion/criterion.h>
#include <string>

#include "fescueridge/gateway/server_tracker.hpp"

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

// Plays all orders of events around the departure of a server and the restarts of its
// node. The first start of the server leaves, a second one may follow; its announcements
// may be delayed, except where a comment says otherwise.
enum class event : std::uint8_t
{
    heartbeat,
    delayed_heartbeat,
    draining_heartbeat,
    departure,
    health_check,   ///< The first start passes one; the answer may be delayed.
    leaving_notice, ///< In an answer of the first start.
    node_restart,
    second_restart,
    stored_listed,    ///< The departures in the log, by the last process.
    record_from_peer, ///< What a peer last heard of the process before the restart.
    next_start        ///< Heartbeat of the second start.
};
constexpr std::size_t event_count = 11;
constexpr std::size_t max_order = 8;

struct variant
{
    bool same_id;      ///< The second start has the id of the first one.
    bool states_start; ///< The departure states which start it ends.
};

const time_point now{milliseconds{1'000'000}};
const service_name tills("tills");
constexpr std::int64_t first_born_ms = 1'000;
constexpr std::int64_t first_left_ms = 1'500; ///< By the clock of the node's VM.
constexpr std::int64_t next_born_ms = 2'000;

server_heartbeat make_heartbeat(const std::string& id, std::int64_t born_ms,
                                std::uint64_t sequence, server_state state)
{
    return {{instance_id(id), tills, slot_count(8), state, born_ms, sequence}};
}

/// A node, its server and what others remember of them.
struct world
{
    explicit world(const variant& played) : played(played) {}

    variant played;
    server_tracker tracker{tills, milliseconds{1'500}};
    std::vector<departed_start> stored;
    std::optional<server_record> peer_memory;
    bool departure_acknowledged = false;
    bool informed = true; ///< The process has had the time to read the log.
    bool next_started = false;
    bool next_started_here = false; ///< And this process has heard of it.

    std::string next_id() const { return played.same_id ? "a" : "b"; }

    /// Returns false when the event cannot follow on the earlier ones.
    bool play(event happening)
    {
        if (!is_possible(happening))
            return false;
        apply(happening);
        for (auto& departure : tracker.take_departures())
            stored.push_back(std::move(departure));
        return true;
    }

    bool is_possible(event happening) const
    {
        switch (happening)
        {
        case event::health_check:
            return !next_started;
        case event::leaving_notice:
            return tracker.accepts() && !next_started;
        case event::departure:
            // One that does not state its start may be any start's.
            return played.states_start || !next_started;
        case event::stored_listed:
            return !informed;
        default:
            return true;
        }
    }

    void restart()
    {
        if (tracker.server())
            peer_memory = tracker.server();
        tracker = server_tracker{tills, milliseconds{1'500}};
        informed = false;
        next_started_here = false;
    }

    void beat(std::uint64_t sequence, server_state state = server_state::ready)
    {
        tracker.on_heartbeat(make_heartbeat("a", first_born_ms, sequence, state), now);
    }

    void apply(event happening)
    {
        switch (happening)
        {
        case event::heartbeat:
            return beat(2);
        case event::delayed_heartbeat:
            return beat(1);
        case event::draining_heartbeat:
            departure_acknowledged = true;
            return beat(3, server_state::draining);
        case event::departure:
            departure_acknowledged = true;
            tracker.on_departure({instance_id("a"), played.states_start
                                                        ? std::optional(first_born_ms)
                                                        : std::nullopt},
                                 now, first_left_ms);
            return;
        case event::health_check:
            tracker.on_health_check_passed(instance_id("a"), slot_count(8), now);
            return;
        case event::leaving_notice:
            departure_acknowledged = true;
            tracker.on_leaving_notice(first_left_ms);
            return;
        case event::node_restart:
        case event::second_restart:
            return restart();
        case event::stored_listed:
            informed = true;
            tracker.on_stored_departures(stored);
            return;
        case event::record_from_peer:
            if (peer_memory)
                tracker.on_server_record_from_peer(*peer_memory, first_left_ms);
            return;
        case event::next_start:
            next_started = next_started_here = true;
            beat_next(1);
            return;
        }
    }

    void beat_next(std::uint64_t sequence)
    {
        tracker.on_heartbeat(
            make_heartbeat(next_id(), next_born_ms, sequence, server_state::ready), now);
    }

    bool tracks_next() const
    {
        return tracker.server() && tracker.server()->born_ms == next_born_ms;
    }

    /// Returns which promise is broken, or an empty text.
    std::string broken_promise() const
    {
        const bool known_to_have_left = departure_acknowledged && informed;
        if (known_to_have_left && tracker.accepts() && !tracks_next())
            return "a start that has left accepts requests";
        if (next_started_here && !tracks_next())
            return "an earlier start replaces a later one";
        return {};
    }

    /// Returns which promise is broken once the log has been read and a sound server has
    /// announced itself twice.
    std::string broken_in_the_end()
    {
        if (!informed)
            apply(event::stored_listed);
        if (auto broken = broken_promise(); !broken.empty())
            return broken;
        if (!next_started)
            return {};
        beat_next(2);
        beat_next(3);
        return tracker.accepts() && tracks_next() ? "" : "a sound server is kept out";
    }
};

/// Plays every order that begins with the events in `order`.
struct explorer
{
    std::vector<event> order;
    std::array<bool, event_count> used{};
    std::size_t orders = 0;
    std::string fault;

    void extend(const world& before)
    {
        for (std::size_t n = 0; n < event_count && fault.empty(); ++n)
        {
            world after = before;
            if (used[n] || !after.play(static_cast<event>(n)))
                continue;
            used[n] = true;
            order.push_back(static_cast<event>(n));
            check(after);
            if (order.size() < max_order)
                extend(after);
            order.pop_back();
            used[n] = false;
        }
    }

    void check(const world& after)
    {
        ++orders;
        auto broken = after.broken_promise();
        if (broken.empty())
            broken = world(after).broken_in_the_end();
        if (broken.empty())
            return;
        fault = broken + ", events:";
        for (const event happening : order)
            fault += " " + std::to_string(static_cast<int>(happening));
    }
};

} // namespace

// Guards against an order of announcements, restarts of the node and late records in
// which an acknowledged departure is forgotten, or a sound server is kept out.
Test(server_orders, keep_every_promise, .timeout = 100)
{
    for (const variant& played : {variant{false, true}, variant{true, true},
                                  variant{false, false}, variant{true, false}})
    {
        explorer all;
        all.extend(world(played));
        cr_expect(all.fault.empty(), "same id %d, states its start %d: %s",
                  played.same_id, played.states_start, all.fault.c_str());
        cr_expect_gt(all.orders, 100'000U);
    }
}
