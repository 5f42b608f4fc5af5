#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "fescueridge/base/stopwatch.hpp"
#include "fescueridge/node/call_router.hpp"

namespace fescueridge::detail
{

/// One attempt of an outbound call that waits for its reply over a link.
struct pending_attempt
{
    std::weak_ptr<outbound_call> call;
    link_ptr via;
};

/// Attempts under way, by call id, in shards. Shared by all outbound calls of a router.
struct router_state : std::enable_shared_from_this<router_state>
{
    explicit router_state(router_ports used) : ports(std::move(used)) {}

    void add(const call_id& id, pending_attempt attempt);
    void remove(const call_id& id);

    /// Removes the attempt and returns its call, or null when it is not pending.
    std::shared_ptr<outbound_call> take(const call_id& id);

    /// Removes and returns all attempts that were sent over a link.
    std::vector<std::pair<call_id, std::shared_ptr<outbound_call>>>
    take_all(const link_ptr& via);

    std::size_t size() const;

    struct shard
    {
        mutable std::mutex mutex;
        std::unordered_map<call_id, pending_attempt> attempts;
    };
    static constexpr std::size_t shard_count = 16;

    router_ports ports;
    shard shards[shard_count];
};

/// One outbound call with its attempts. An attempt is added by a retry or by a hedge; the
/// first answer that counts ends the call and cancels the other attempts.
class outbound_call : public std::enable_shared_from_this<outbound_call>
{
public:
    outbound_call(std::shared_ptr<router_state> state, outbound_request request,
                  call_router::reply_callback done);

    void begin();

    /// Takes the reply of an attempt. `sent` is false if certainly nothing was sent.
    void on_reply(const call_id& id, reply_message reply, bool sent);

    /// Ends the call without an answer: nobody waits for it.
    void cancel();

private:
    struct attempt
    {
        node_id node;
        started_call_id started;
        stopwatch running;
        link_ptr via; // null for the own node
    };

    /// Whether an attempt may go to a server that an earlier attempt of the call used.
    enum class exclusion
    {
        strict,   ///< Never.
        preferred ///< When there is no other.
    };

    /// Starts an attempt; false when no server can take it or the time is over.
    bool start_attempt(exclusion rule);
    std::optional<node_id> choose_node(exclusion rule, time_point now) const;
    retry_allowance borrow();
    void dispatch(const node_id& node, call_message message);
    call_message make_message(const call_id& id, retry_allowance lent) const;
    void arm_timers();
    void on_deadline();
    void on_hedge_time();
    void note_result(const attempt& ended, const reply_message& reply);
    bool try_again(const attempt& ended, const reply_message& reply, bool sent);
    retry_decision decide(const failed_attempt& failure) const;
    bool pay(const retry_decision& decision) const;
    void finish(reply_message reply);
    reply_message refusal(refusal_reason reason, outcome result) const;
    void stop_other_attempts();

    const std::shared_ptr<router_state> state_;
    const outbound_request request_;
    std::shared_ptr<backend_server_balancer> balancer_;
    asio::steady_timer deadline_timer_;
    asio::steady_timer hedge_timer_;
    std::optional<std::uint64_t> child_number_;

    mutable std::mutex mutex_;
    call_router::reply_callback done_; // empty once the call has ended
    std::unordered_map<call_id, attempt> attempts_;
    std::vector<node_id> excluded_;
    bool may_have_run_ = false;
    bool free_retry_used_ = false;
};

} // namespace fescueridge::detail
