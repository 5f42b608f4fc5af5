#pragma once

#include <optional>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/codec/gateway_messages.hpp"
#include "fescueridge/gateway/wire_format.hpp"

namespace fescueridge::gateway
{

/// What an announcement or an observation changed.
enum class server_change : std::uint8_t
{
    none,
    stale,     ///< An older start or an older announcement; nothing changed.
    started,   ///< Another start of a server.
    ready,     ///< Takes requests (again).
    leaving,   ///< Draining or gone.
    suspected, ///< It does not answer; it gets nothing until it shows that it lives.
    recovered
};

/// Returns the stable name of a change, for logs.
std::string_view to_string(server_change value) noexcept;

/// Follows the one backend server beside this node through its announcements. Late
/// announcements of an earlier start or state do not bring it back.
class server_tracker
{
public:
    /// `service` is the service of this VM's server until the server names one itself.
    server_tracker(service_name service, milliseconds heartbeat_interval)
        : service_(std::move(service)), heartbeat_interval_(heartbeat_interval)
    {
    }

    server_change on_heartbeat(const server_heartbeat& heartbeat, time_point now);

    /// Takes the end of a server. `wall_ms` is the wall clock of this VM: a departure may
    /// not name the start that ends, and a start that was born later is another one.
    server_change on_departure(const server_departure& departure, time_point now,
                               std::int64_t wall_ms);

    /// Takes what a peer remembers of this node's server from before a restart of this
    /// process: an end that it knows of, or which start a departure has ended.
    server_change on_memory_of_peer(const server_record& server, std::int64_t wall_ms);

    /// Records that the server does not answer or does not accept connections.
    server_change on_no_answer();

    /// Records a sign of life: a health check that the server with this id passed.
    server_change on_healthy(const instance_id& id, slot_count assumed_slots,
                             time_point now);

    /// Records an answer to a request.
    server_change on_answer();

    /// Notices missing heartbeats; call it a few times a second.
    server_change poll(time_point now);

    /// Tells whether the server may get requests.
    bool accepts() const;

    bool suspected() const noexcept { return suspected_; }

    const std::optional<server_record>& server() const noexcept { return server_; }

private:
    server_change begin(const server_record& server, time_point now);
    bool left_without_a_start(const instance_id& id) const;
    void name_start_that_left(std::int64_t born_ms);

    service_name service_;
    milliseconds heartbeat_interval_;
    std::optional<server_record> server_;
    std::int64_t latest_born_ms_ = 0;
    std::int64_t left_at_ms_ = 0; ///< Wall clock when it was heard that the server left.
    time_point last_sign_{};
    bool suspected_ = false;
};

} // namespace fescueridge::gateway
