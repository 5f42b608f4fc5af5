#pragma once

#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/codec/gateway_messages.hpp"
#include "fescueridge/gateway/wire_format.hpp"

namespace fescueridge::gateway
{

/// Change of the tracked server caused by an announcement or an observation.
enum class server_change : std::uint8_t
{
    none,
    stale,     ///< From an earlier start, or older than the last announcement; ignored.
    foreign,   ///< Names another service than this VM's; ignored.
    started,   ///< A new start of a server.
    ready,     ///< Accepts requests (again).
    leaving,   ///< Draining or gone.
    suspected, ///< Does not answer; receives no requests until it responds again.
    recovered
};

/// Returns the name of a change in log lines; stable across versions.
std::string_view to_string(server_change value) noexcept;

/// Starts of a server that have begun to leave, for good.
struct departed_start
{
    instance_id id;
    std::int64_t until_ms = 0; ///< Wall-clock time of the last start that has left.

    friend bool operator<(const departed_start& a, const departed_start& b)
    {
        return std::tie(a.id, a.until_ms) < std::tie(b.id, b.until_ms);
    }
};

/// Tracks the state of the backend server beside this node from its announcements.
/// Delayed announcements of an earlier start or state do not reactivate it.
class server_tracker
{
public:
    /// `service` is the service of this VM. A record that names another one is not of the
    /// server beside this node.
    server_tracker(service_name service, milliseconds heartbeat_interval)
        : service_(std::move(service)), heartbeat_interval_(heartbeat_interval)
    {
    }

    /// Changes the service of this VM. A server of another service is forgotten.
    server_change set_service(const service_name& service);

    server_change on_heartbeat(const server_heartbeat& heartbeat, time_point now);

    /// Records the departure of a server, whether or not its start is the tracked one. If
    /// the departure does not identify the start that ends, a start later than `wall_ms`,
    /// the wall-clock time of this VM, counts as a new one.
    server_change on_departure(const server_departure& departure, time_point now,
                               std::int64_t wall_ms);

    /// Processes the state of this node's server from before a restart of this process,
    /// as recorded by a peer: either that the server has left, or which start a departure
    /// has ended.
    server_change on_server_record_from_peer(const server_record& server,
                                             std::int64_t wall_ms);

    /// Processes the departures that earlier processes of this node stored in the log.
    server_change on_stored_departures(const std::vector<departed_start>& departures);

    /// Returns the departures that became known since the last call, except those from
    /// on_stored_departures(). They must be stored before they are acknowledged.
    std::vector<departed_start> take_departures()
    {
        return std::exchange(new_departures_, {});
    }

    /// Records that the server does not answer or does not accept connections.
    server_change on_no_answer();

    /// Records that the server with this id passed a health check. `assumed_slots` is the
    /// number of slots of a server that has not announced itself.
    server_change on_health_check_passed(const instance_id& id, slot_count assumed_slots,
                                         time_point now);

    /// Records that the server has stated in an answer that it leaves. `wall_ms` is as
    /// for on_departure().
    server_change on_leaving_notice(std::int64_t wall_ms);

    /// Records an answer to a request.
    server_change on_answer();

    /// Checks for missing heartbeats; call it several times per second.
    server_change poll(time_point now);

    /// Returns whether requests may be sent to the server.
    bool accepts() const;

    bool suspected() const noexcept { return suspected_; }

    const std::optional<server_record>& server() const noexcept { return server_; }

private:
    server_change on_next_heartbeat(const server_record& announced, time_point now);
    server_change start_tracking(const server_record& server, time_point now);
    server_change leave(server_state state, std::int64_t wall_ms);
    bool left_with_unknown_start(const instance_id& id) const;
    bool is_later_start(const instance_id& id, std::int64_t born_ms) const;
    bool has_left(const instance_id& id, std::int64_t born_ms) const;
    bool add_departure(const instance_id& id, std::int64_t until_ms);
    void note_left(const instance_id& id, std::int64_t until_ms);
    void set_start(std::int64_t born_ms);

    service_name service_;
    milliseconds heartbeat_interval_;
    std::optional<server_record> server_;
    std::int64_t latest_born_ms_ = 0;
    /// For each id, the wall-clock time up to which its starts have left. Kept apart from
    /// the tracked server: a departure binds whatever is known when it arrives.
    std::map<instance_id, std::int64_t> left_until_;
    std::vector<departed_start> new_departures_;
    time_point last_seen_{};
    bool suspected_ = false;
};

} // namespace fescueridge::gateway
