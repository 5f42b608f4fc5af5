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

/// A call to any backend server of a service. Its parent is a root request, or a call
/// that is running on this node's backend server.
struct outbound_request
{
    std::shared_ptr<call_context> parent;
    service_name service;
    bool idempotent =
        false; ///< GET or HEAD, and no at-most-once rule: may run repeatedly.
    std::optional<idempotency_key> key;
    std::string method;
    std::string path;
    std::vector<header_field> headers;
    std::string body;
};

/// Runs calls on this node's backend server. The router uses it instead of a link when it
/// selects its own node.
class local_executor
{
public:
    using reply_callback = std::function<void(reply_message)>;

    virtual ~local_executor() = default;

    /// Runs a call; `done` is called exactly once.
    virtual void execute(call_message call, reply_callback done) = 0;

    /// Cancels a call whose result is no longer needed. `done` is still called.
    virtual void cancel(const call_id& id) = 0;
};

namespace detail
{
class outbound_call;
struct router_state;
} // namespace detail

/// Objects of the node that the router uses. All must outlive the router.
struct router_dependencies
{
    asio::io_context& io;
    node_id self;
    peer_table& peers;
    local_executor& local;
    pressure_table& pressure;
    retry_budget& budget;
    id_generator& ids;
    const refusal_maker& refusals;
    event_log& events;
    control_policy control; ///< Other than full_control only in benchmarks.
};

/// Sends calls to backend servers. Selects a server, passes on the retry allowance,
/// retries and hedges within the allowance and the retry budget, and fails the call at
/// its deadline. Thread safe.
class call_router
{
public:
    using reply_callback = std::function<void(reply_message)>;

    explicit call_router(router_dependencies dependencies);
    ~call_router();
    call_router(const call_router&) = delete;
    call_router& operator=(const call_router&) = delete;

    /// Sends a call. `done` is called exactly once, possibly before send() returns. The
    /// call is cancelled when its parent ends.
    void send(outbound_request request, reply_callback done);

    /// Handles the reply to a call that was sent over a link. Replies to calls that have
    /// already ended are ignored.
    void on_reply(reply_message reply);

    /// Ends every attempt that was sent over the closed link, with outcome `unknown`.
    void on_link_closed(const link_ptr& closed);

    /// Cancels the attempts of all open calls and makes no others. Each call ends with
    /// the replies, which tell whether it has run; those that waited end as `not_run`.
    void recall_all();

    /// Ends all open calls with reason `shutting_down`; they may have run.
    void end_all();

    /// Returns the number of attempts awaiting a reply over a link.
    std::size_t pending_attempts() const;

private:
    std::shared_ptr<detail::router_state> state_;
};

} // namespace fescueridge
