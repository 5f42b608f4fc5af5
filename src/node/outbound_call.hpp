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

/// An attempt of an outbound call that awaits its reply over a link.
struct pending_attempt
{
    std::weak_ptr<outbound_call> call;
    link_ptr via;
};

/// State shared by all outbound calls of a router: its dependencies, and the pending
/// attempts by call id, in shards with one mutex each.
struct router_state : std::enable_shared_from_this<router_state>
{
    explicit router_state(router_dependencies dependencies)
        : deps(std::move(dependencies))
    {
    }

    void add(const call_id& id, pending_attempt attempt);
    void remove(const call_id& id);

    /// Removes an attempt and returns its call, or null if the attempt is not pending.
    std::shared_ptr<outbound_call> take(const call_id& id);

    /// Removes all attempts that were sent over a link, and returns them with their
    /// calls.
    std::vector<std::pair<call_id, std::shared_ptr<outbound_call>>>
    take_all(const link_ptr& via);

    std::size_t size() const;

    void add_call(const std::shared_ptr<outbound_call>& call);
    void remove_call(const outbound_call& call);

    /// Returns the calls that have not ended.
    std::vector<std::shared_ptr<outbound_call>> open_calls() const;

    struct shard
    {
        mutable std::mutex mutex;
        std::unordered_map<call_id, pending_attempt> attempts;
        std::unordered_map<const outbound_call*, std::weak_ptr<outbound_call>> calls;
    };
    shard& shard_of(const outbound_call& call);
    static constexpr std::size_t shard_count = 16;

    router_dependencies deps;
    shard shards[shard_count];
};

/// An outbound call and its attempts. Retries and hedges add attempts. The first final
/// reply ends the call and cancels the other attempts.
class outbound_call : public std::enable_shared_from_this<outbound_call>
{
public:
    outbound_call(std::shared_ptr<router_state> state, outbound_request request,
                  call_router::reply_callback done);

    void begin();

    /// Handles the reply to an attempt. `sent` is false if the attempt was certainly not
    /// sent.
    void on_reply(const call_id& id, reply_message reply, bool sent);

    /// Ends the call with reason `cancelled`.
    void cancel();

    /// Cancels the attempts and makes no others. The call ends with their replies, which
    /// tell whether it has run.
    void recall();

    /// Ends the call with reason `shutting_down`.
    void end_for_shutdown();

private:
    struct attempt
    {
        node_id node;
        started_call_id started;
        stopwatch since_start;
        link_ptr via; // null for this node, or while the link is being opened
    };

    /// Whether an attempt may use a node that an earlier attempt of the call has used.
    enum class exclusion
    {
        strict,   ///< Never.
        preferred ///< Only if no other node is available.
    };

    /// Starts an attempt. Returns false if no server is available, the call has ended or
    /// its deadline has passed.
    bool start_attempt(exclusion mode);
    std::optional<node_id> choose_node(exclusion mode, time_point now) const;
    retry_allowance take_allowance();
    void dispatch(const node_id& node, call_message message);
    call_message make_message(const call_id& id, retry_allowance allowance) const;
    void arm_timers();
    void on_deadline();
    void on_hedge_timer();
    void record_result(const attempt& ended, const reply_message& reply);
    bool try_retry(const attempt& ended, const reply_message& reply, bool sent);
    retry_decision decide_on_retry(const failed_attempt& failure) const;
    bool pay_for_retry(const retry_decision& decision) const;
    void finish(reply_message reply);
    reply_message make_refusal(refusal_reason reason, outcome result) const;
    void cancel_other_attempts();
    void cancel_attempt(const call_id& id, const attempt& running);
    bool recalled() const;

    const std::shared_ptr<router_state> state_;
    const outbound_request request_;
    std::shared_ptr<backend_server_balancer> balancer_;
    asio::steady_timer deadline_timer_;
    asio::steady_timer hedge_timer_;
    std::optional<std::uint64_t> child_number_;

    mutable std::mutex mutex_;
    call_router::reply_callback done_; // empty once the call has ended
    std::unordered_map<call_id, attempt> attempts_;
    std::vector<node_id> tried_nodes_;
    bool recalled_ = false;
    bool may_have_run_ = false;
    bool free_retry_used_ = false;
};

} // namespace fescueridge::detail
