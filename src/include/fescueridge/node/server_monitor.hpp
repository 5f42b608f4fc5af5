#pragma once

#include <functional>
#include <mutex>
#include <optional>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/events.hpp"
#include "fescueridge/membership/gossip_udp.hpp"
#include "fescueridge/node/server_executor.hpp"

namespace fescueridge
{

/// Keeps track of the own backend server from its announcements and tells the other nodes
/// about changes. Thread safe.
class server_monitor
{
public:
    /// A server that announced nothing for this long is gone; announcements come every
    /// second.
    static constexpr milliseconds heartbeat_timeout{3000};

    server_monitor(
        server_executor& executor, event_log& events,
        std::function<void(const std::function<void(member_record&)>&)> spread);

    /// Takes an announcement or heartbeat of the server.
    void announce(const server_announcement& server);

    /// Takes the server out of service; calls under way finish. It comes back when a new
    /// server process announces itself.
    void drain();

    /// The server was found dead.
    void on_death();

    /// Declares the server gone when its heartbeat is overdue.
    void check_heartbeat();

    /// Returns the newest announcement; its state is the state that other nodes see.
    std::optional<server_announcement> server() const;

private:
    void spread(const server_announcement& server);

    server_executor& executor_;
    event_log& events_;
    const std::function<void(const std::function<void(member_record&)>&)> spread_;
    mutable std::mutex mutex_;
    std::optional<server_announcement> server_;
    time_point last_heartbeat_{};
    bool drained_ = false;
};

} // namespace fescueridge
