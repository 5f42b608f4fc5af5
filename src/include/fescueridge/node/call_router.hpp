#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "fescueridge/base/events.hpp"
#include "fescueridge/base/experiment.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/messages.hpp"
#include "fescueridge/node/call_context.hpp"
#include "fescueridge/node/peer_table.hpp"
#include "fescueridge/node/refusals.hpp"
#include "fescueridge/overload/pressure.hpp"
#include "fescueridge/overload/retry.hpp"
#include "fescueridge/transport/link_hub.hpp"

namespace asio
{
class io_context;
}

namespace fescueridge
{

/// A call to send to some backend server of a service, made for a root request or for a
/// call that runs on the own backend server.
struct outbound_request
{
    std::shared_ptr<call_context> parent;
    service_name service;
    bool idempotent = false; ///< May run more than once: GET or HEAD, not at most once.
    std::optional<idempotency_key> key;
    std::string method;
    std::string path;
    std::vector<header_field> headers;
    std::string body;
};

/// Runs calls on the own backend server; the port through which the router avoids a link
/// to its own node.
class local_executor
{
public:
    using reply_callback = std::function<void(reply_message)>;

    virtual ~local_executor() = default;

    /// Runs a call; `done` is called exactly once.
    virtual void execute(call_message call, reply_callback done) = 0;

    /// Stops a call that nobody waits for any more; its reply still follows.
    virtual void cancel(const call_id& id) = 0;
};

namespace detail
{
class outbound_call;
struct router_state;
} // namespace detail

/// What the router uses of its node. All of them outlive the router.
struct router_ports
{
    asio::io_context& io;
    node_id self;
    peer_table& peers;
    local_executor& local;
    pressure_table& pressure;
    retry_budget& budget;
    id_source& ids;
    const refusal_maker& refusals;
    event_log& events;
    control_policy control; ///< Other than full_control only in benchmarks.
};

/// Sends calls to backend servers: chooses a server, lends the retry allowance, retries
/// and hedges within allowance and budget, and gives up when the time is over. Thread
/// safe.
class call_router
{
public:
    using reply_callback = std::function<void(reply_message)>;

    explicit call_router(router_ports ports);
    ~call_router();
    call_router(const call_router&) = delete;
    call_router& operator=(const call_router&) = delete;

    /// Sends a call. `done` is called exactly once, possibly before this returns. The
    /// call is cancelled when its parent ends.
    void send(outbound_request request, reply_callback done);

    /// Takes the reply to a call that was sent over a link. Replies to calls that have
    /// ended are dropped.
    void on_reply(reply_message reply);

    /// Ends every attempt that was sent over a link that is closed: outcome unknown.
    void on_link_closed(const link_ptr& closed);

    /// Returns the number of attempts that wait for a reply over a link.
    std::size_t pending() const;

private:
    std::shared_ptr<detail::router_state> state_;
};

} // namespace fescueridge
