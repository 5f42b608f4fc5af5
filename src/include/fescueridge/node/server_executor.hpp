#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fescueridge/base/events.hpp"
#include "fescueridge/base/experiment.hpp"
#include "fescueridge/base/metrics.hpp"
#include "fescueridge/base/server_state.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/node/call_context.hpp"
#include "fescueridge/node/call_router.hpp"
#include "fescueridge/node/refusals.hpp"
#include "fescueridge/node/sheet_holder.hpp"
#include "fescueridge/overload/quarantine.hpp"
#include "fescueridge/state/claim_client.hpp"

namespace asio
{
class io_context;
}

namespace fescueridge
{

/// An announcement of a backend server to its node.
struct server_announcement
{
    service_name service;
    endpoint address;
    slot_count slots;
    connection_count connections;
    server_state state = server_state::ready;
    incarnation incarnation_number;
    milliseconds warm_up{10'000};

    /// Returns true if the two announcements differ in a way that requires a new
    /// connection pool and a new concurrency limit.
    bool requires_new_pool(const server_announcement& other) const
    {
        return service != other.service || address != other.address ||
               incarnation_number != other.incarnation_number ||
               connections != other.connections;
    }
};

/// Load of this node's backend server.
struct executor_load
{
    std::uint32_t limit = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    duration_summary
        queue_time; ///< From arrival to dispatch, including the claim of the key.
    duration_summary server_time; ///< Time at the server, excluding its downstream calls.
};

namespace detail
{
class executor_core;
}

/// Objects of the node that the executor uses. All must outlive the executor.
struct executor_dependencies
{
    asio::io_context& io;
    const sheet_holder& sheets;
    const refusal_maker& refusals;
    call_table& calls;
    quarantine_table& suspicions;
    event_log& events;

    /// Called with the quarantine records that changed when the server crashed or a
    /// suspected request completed.
    std::function<void(const std::vector<quarantine_record>&)> on_suspicion_change;

    /// Called after a crash of the server was detected.
    std::function<void()> on_server_crash;

    control_policy control; ///< Other than full_control only in benchmarks.
};

/// Admits calls to this node's backend server and runs them. Applies the admission queue
/// and the concurrency limit, the claims of at-most-once calls, and the quarantine of
/// crashing requests; owns the connection pool. Thread safe.
class server_executor : public local_executor
{
public:
    explicit server_executor(executor_dependencies dependencies);
    ~server_executor() override;

    void execute(call_message call, reply_callback done) override;
    void cancel(const call_id& id) override;

    /// Applies an announcement of the server.
    void announce(const server_announcement& server);

    /// Refuses new calls with reason `draining`. Admitted calls are completed.
    void drain();

    /// Refuses the queued calls with reason `draining`.
    void refuse_waiting();

    /// Removes the server: closes the connection pool and refuses the queued calls.
    void remove_server();

    /// Sets the claim client of the backend server's service. Null if none is needed.
    void set_claim_client(std::shared_ptr<claim_client> client);

    /// Updates the admission level. Must be called every level_interval.
    void update_level();

    /// Returns the admission level of the backend server's service. Nullopt before the
    /// first announcement.
    std::optional<admission_level> level() const;

    executor_load load() const;

    /// Returns the number of queued and running calls.
    std::size_t in_flight() const;

private:
    std::shared_ptr<detail::executor_core> core_;
};

} // namespace fescueridge
