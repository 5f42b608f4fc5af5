#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "fescueridge/base/events.hpp"
#include "fescueridge/codec/messages.hpp"
#include "fescueridge/node/background_worker.hpp"
#include "fescueridge/node/peer_table.hpp"
#include "fescueridge/overload/quarantine.hpp"
#include "fescueridge/state/quarantine_log.hpp"

namespace fescueridge
{

/// Shares what is known of crashing requests: at once over links with the nodes of the
/// same service, and through the log with nodes that start later. Thread safe.
class quarantine_sync
{
public:
    using sender = std::function<void(const node_id&, link_message)>;

    /// `log` may be null: then records travel over links only.
    quarantine_sync(log_service* log, quarantine_table& suspicions,
                    const peer_table& peers, background_worker& worker, event_log& events,
                    sender send);
    ~quarantine_sync();

    /// Passes on records that changed at this node.
    void publish(const service_name& service,
                 const std::vector<quarantine_record>& records);

    /// Takes a record of another node.
    void on_strike(const strike_message& strike);

    /// Returns whether the log answered the last read; false without a log service.
    bool log_reachable() const noexcept;

    void stop();

private:
    void append(const quarantine_record& record, int attempts_left);

    quarantine_table& suspicions_;
    const peer_table& peers_;
    background_worker& worker_;
    event_log& events_;
    const sender send_;
    std::unique_ptr<quarantine_follower> follower_;
};

} // namespace fescueridge
