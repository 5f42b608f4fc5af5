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

/// Replicates the records of crashing requests. Nodes of the same service get them over
/// links without delay; nodes that start later read them from the log. Thread safe.
class quarantine_sync
{
public:
    using sender = std::function<void(const node_id&, link_message)>;

    /// If `log` is null, records are sent over links only.
    quarantine_sync(log_service* log, quarantine_table& suspicions,
                    const peer_table& peers, background_worker& worker, event_log& events,
                    sender send);
    ~quarantine_sync();

    /// Sends records that changed on this node to the nodes of the service, and appends
    /// them to the log.
    void publish(const service_name& service,
                 const std::vector<quarantine_record>& records);

    /// Merges a record received from another node.
    void on_strike(const strike_message& strike);

    /// Returns true if the log answered the last read. False without a log service.
    bool log_reachable() const noexcept;

    void stop();

private:
    void append_to_log(const quarantine_record& record, int attempts_left);

    quarantine_table& suspicions_;
    const peer_table& peers_;
    background_worker& worker_;
    event_log& events_;
    const sender send_;
    std::unique_ptr<quarantine_follower> follower_;
};

} // namespace fescueridge
