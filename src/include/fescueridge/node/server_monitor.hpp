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

/// Tracks the state of this node's backend server from its announcements, and publishes
/// changes in this node's member record. Thread safe.
class server_monitor
{
public:
    /// A server is gone after this time without an announcement. Servers announce
    /// themselves every second.
    static constexpr milliseconds heartbeat_timeout{3000};

    server_monitor(server_executor& executor, event_log& events,
                   std::function<void(const std::function<void(member_record&)>&)>
                       update_member_record);

    /// Handles an announcement of the server, which is also its heartbeat. A later start
    /// has a higher incarnation; a delayed announcement of an earlier one is ignored. A
    /// start that has announced `draining` or `gone` does not become ready again.
    void announce(const server_announcement& server);

    /// Puts the server in state `draining`; running calls are completed. The state ends
    /// when a later server process announces itself. Without a server, it applies to the
    /// first that announces itself.
    void drain();

    /// Puts the server in state `gone`, after a crash was detected.
    void on_server_crash();

    /// Puts the server in state `gone` if its heartbeat is overdue.
    void check_heartbeat();

    /// Returns the latest announcement, with the state that is published to other nodes.
    std::optional<server_announcement> server() const;

private:
    bool is_delayed(const server_announcement& server) const;
    void publish_state(const server_announcement& server);

    server_executor& executor_;
    event_log& events_;
    const std::function<void(const std::function<void(member_record&)>&)>
        update_member_record_;
    mutable std::mutex mutex_;
    std::optional<server_announcement> server_;
    time_point last_heartbeat_{};
    std::optional<incarnation> drained_start_; ///< It and all earlier starts drain.
    bool drain_next_start_ = false;
};

} // namespace fescueridge
