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

/// What a backend server says about itself.
struct server_announcement
{
    service_name service;
    endpoint address;
    slot_count slots;
    connection_count connections;
    server_state state = server_state::ready;
    incarnation number;
    milliseconds warm_up{10'000};

    /// Returns true if calls need a new pool and a new limit.
    bool differs_from(const server_announcement& other) const
    {
        return service != other.service || address != other.address ||
               number != other.number || connections != other.connections;
    }
};

/// How busy the own backend server is.
struct executor_load
{
    std::uint32_t limit = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    duration_summary waited; ///< From arrival to dispatch, a claim of the key included.
    duration_summary served; ///< At the server, without its downstream calls.
};

namespace detail
{
class executor_core;
}

/// What the executor uses of its node. All of them outlive the executor.
struct executor_ports
{
    asio::io_context& io;
    const sheet_holder& sheets;
    const refusal_maker& refusals;
    call_table& calls;
    quarantine_table& suspicions;
    event_log& events;

    /// Passes on what was learned when the server died or a suspected call completed.
    std::function<void(const std::vector<quarantine_record>&)> on_suspicion;

    /// Called when the server was found dead.
    std::function<void()> on_server_death;

    control_policy control; ///< Other than full_control only in benchmarks.
};

/// Admits calls to the own backend server and runs them: queue and limit, claims for
/// calls that run at most once, quarantine of crashing requests, connection pool. Thread
/// safe.
class server_executor : public local_executor
{
public:
    explicit server_executor(executor_ports ports);
    ~server_executor() override;

    void execute(call_message call, reply_callback done) override;
    void cancel(const call_id& id) override;

    /// Takes over what the server announced.
    void announce(const server_announcement& server);

    /// Refuses new calls with `draining` from now on; those admitted finish.
    void drain();

    /// The server is gone: drops waiting calls.
    void lose_server();

    /// Sets the claims client of the own service; null when none is needed.
    void use_claims(std::shared_ptr<claim_client> claims);

    /// Updates the admission level; to be called every level_interval.
    void update_level();

    /// Returns the admission level of the own service; nothing without a server.
    std::optional<admission_level> level() const;

    executor_load load() const;

    /// Returns the number of calls that wait or run.
    std::size_t in_flight() const;

private:
    std::shared_ptr<detail::executor_core> core_;
};

} // namespace fescueridge
