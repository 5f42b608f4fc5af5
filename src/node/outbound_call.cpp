#include "outbound_call.hpp"

namespace fescueridge::detail
{

namespace
{

// Extra time for the executing node's reply to an expired deadline to arrive. Without it
// the calling node would time out just before it receives that more specific reply.
constexpr milliseconds reply_travel_time{20};

random_engine& thread_random()
{
    thread_local random_engine engine(random_seed());
    return engine;
}

} // namespace

outbound_call::outbound_call(std::shared_ptr<router_state> state,
                             outbound_request request, call_router::reply_callback done)
    : state_(std::move(state)), request_(std::move(request)),
      balancer_(state_->deps.peers.balancer(request_.service)),
      deadline_timer_(state_->deps.io), hedge_timer_(state_->deps.io),
      done_(std::move(done))
{
}

void outbound_call::begin()
{
    state_->add_call(shared_from_this());
    request_.parent->downstream.on_call_start();
    child_number_ = request_.parent->add_child(
        [weak = weak_from_this()]
        {
            if (const auto self = weak.lock())
            {
                self->cancel();
            }
        });
    if (!child_number_)
    {
        finish(make_refusal(refusal_reason::cancelled, outcome::not_run));
        return;
    }
    if (!balancer_)
    {
        finish(make_refusal(refusal_reason::no_server, outcome::not_run));
        return;
    }
    state_->deps.budget.on_first_attempt();
    arm_timers();
    if (!start_attempt(exclusion::strict))
    {
        finish(make_refusal(refusal_reason::no_server, outcome::not_run));
    }
}

void outbound_call::arm_timers()
{
    const time_point now = clock::now();
    const milliseconds left = request_.parent->deadline - now;
    const std::lock_guard lock(mutex_);
    if (!done_)
    {
        return; // cancelled concurrently
    }
    deadline_timer_.expires_after(left + reply_travel_time);
    deadline_timer_.async_wait(
        [self = shared_from_this()](const asio::error_code& error)
        {
            if (!error)
            {
                self->on_deadline();
            }
        });
    const std::optional<milliseconds> hedge_after = balancer_->hedge_delay(now);
    const bool may_hedge =
        request_.idempotent && std::holds_alternative<full_control>(state_->deps.control);
    if (!may_hedge || !hedge_after || *hedge_after >= left)
    {
        return;
    }
    hedge_timer_.expires_after(*hedge_after);
    hedge_timer_.async_wait(
        [self = shared_from_this()](const asio::error_code& error)
        {
            if (!error)
            {
                self->on_hedge_timer();
            }
        });
}

call_message outbound_call::make_message(const call_id& id,
                                         retry_allowance allowance) const
{
    const call_context& parent = *request_.parent;
    call_message message;
    message.id = id;
    message.root = parent.root;
    message.caller = parent.caller;
    message.service = request_.service;
    message.rank = parent.rank;
    message.time_left = std::max(parent.deadline - clock::now(), milliseconds(0));
    message.allowance = allowance;
    message.depth = parent.depth + 1;
    message.attempt = parent.attempt;
    message.key = request_.key;
    message.method = request_.method;
    message.path = request_.path;
    message.headers = request_.headers;
    message.body = request_.body;
    message.resend = parent.resend;
    return message;
}

retry_allowance outbound_call::take_allowance()
{
    // One unit is kept for a hedge of this call, or for a retry if the rest of the
    // allowance is lost because the link closes.
    const retry_allowance available = request_.parent->allowance.take_all();
    if (available.get() == 0)
    {
        return available;
    }
    request_.parent->allowance.return_unused(retry_allowance(1));
    return retry_allowance(available.get() - 1);
}

std::optional<node_id> outbound_call::choose_node(exclusion mode, time_point now) const
{
    auto node = balancer_->choose(now, thread_random(), tried_nodes_);
    if (!node && mode == exclusion::preferred)
    {
        node = balancer_->choose(now, thread_random());
    }
    return node;
}

bool outbound_call::start_attempt(exclusion mode)
{
    const time_point now = clock::now();
    std::optional<node_id> node;
    call_message message;
    {
        const std::lock_guard lock(mutex_);
        if (!done_ || recalled_ || now >= request_.parent->deadline)
        {
            return false;
        }
        node = choose_node(mode, now);
        if (!node)
        {
            return false;
        }
        const call_id id = state_->deps.ids.next_call_id();
        const retry_allowance allowance = take_allowance();
        message = make_message(id, allowance);
        attempts_.emplace(
            id, attempt{*node, balancer_->on_start(*node, now), stopwatch(), nullptr});
        tried_nodes_.push_back(*node);
    }
    dispatch(*node, std::move(message));
    return true;
}

void outbound_call::dispatch(const node_id& node, call_message message)
{
    const call_id id = message.id;
    if (node == state_->deps.self)
    {
        state_->deps.local.execute(std::move(message),
                                   [self = shared_from_this(), id](reply_message reply)
                                   { self->on_reply(id, std::move(reply), true); });
        return;
    }
    auto send_over_link = [self = shared_from_this(), id, node,
                           message = std::move(message)](const link_ptr& via)
    {
        if (via)
        {
            {
                const std::lock_guard lock(self->mutex_);
                const auto found = self->attempts_.find(id);
                if (found == self->attempts_.end())
                {
                    return; // the attempt ended while the link was being opened
                }
                found->second.via = via;
            }
            self->state_->add(id, {self, via});
            if (!self->recalled() && via->send(message))
            {
                return;
            }
            self->state_->remove(id);
        }
        self->on_reply(
            id, self->make_refusal(refusal_reason::server_gone, outcome::not_run), false);
    };
    state_->deps.peers.with_link(node, std::move(send_over_link));
}

void outbound_call::on_reply(const call_id& id, reply_message reply, bool sent)
{
    std::optional<attempt> ended;
    {
        const std::lock_guard lock(mutex_);
        const auto found = attempts_.find(id);
        if (!done_ || found == attempts_.end())
        {
            return; // late reply; the call or the attempt has already ended
        }
        ended = std::move(found->second);
        attempts_.erase(found);
    }
    record_result(*ended, reply);
    if (recalled() && reply.result == outcome::not_run)
    {
        finish(make_refusal(refusal_reason::shutting_down, outcome::not_run));
        return;
    }
    if (reply.result == outcome::ok || !try_retry(*ended, reply, sent))
    {
        finish(std::move(reply));
    }
}

void outbound_call::record_result(const attempt& ended, const reply_message& reply)
{
    const time_point now = clock::now();
    request_.parent->allowance.return_unused(reply.allowance_left);
    request_.parent->add_levels(reply.levels);
    state_->deps.pressure.observe_levels(reply.levels, now);
    if (request_.parent->depth > 0)
    {
        // Root requests are recorded when they end, with the levels of all attempts.
        state_->deps.pressure.observe_root(request_.service, request_.path, reply.levels,
                                           reply.result == outcome::ok);
    }
    balancer_->on_finish(ended.node, ended.started, ended.since_start.elapsed(),
                         reply.result, reply.reason, now);
    if (reply.reason && reply.result == outcome::not_run)
    {
        balancer_->on_refused(ended.node, *reply.reason, now);
    }
    if (reply.reason == refusal_reason::overload ||
        reply.reason == refusal_reason::overload_downstream)
    {
        request_.parent->set_downstream_overload();
    }
    if (reply.result == outcome::unknown || reply.result == outcome::failed)
    {
        const std::lock_guard lock(mutex_);
        may_have_run_ = true;
    }
}

bool outbound_call::try_retry(const attempt& ended, const reply_message& reply, bool sent)
{
    failed_attempt failure;
    failure.result = reply.result;
    failure.reason = reply.reason;
    failure.idempotent = request_.idempotent;
    failure.sent = sent;
    {
        const std::lock_guard lock(mutex_);
        if (!attempts_.empty())
        {
            return true; // another attempt is running and determines the result
        }
        failure.free_retry_used = free_retry_used_;
    }
    const retry_decision decision = decide_on_retry(failure);
    if (std::holds_alternative<retry_never>(decision) || !pay_for_retry(decision))
    {
        return false;
    }
    if (std::holds_alternative<retry_free>(decision))
    {
        const std::lock_guard lock(mutex_);
        free_retry_used_ = true;
    }
    state_->deps.events.record(
        "call_retried",
        {{"root", request_.parent->root.get()},
         {"service", request_.service.get()},
         {"failed_node", ended.node.get()},
         {"reason",
          std::string(to_string(reply.reason.value_or(refusal_reason::server_failed)))}});
    const bool paid = std::holds_alternative<retry_paid>(decision);
    return start_attempt(paid ? exclusion::preferred : exclusion::strict);
}

retry_decision outbound_call::decide_on_retry(const failed_attempt& failure) const
{
    const control_policy& control = state_->deps.control;
    if (std::holds_alternative<no_control>(control))
    {
        return retry_never{};
    }
    if (const auto* fixed = std::get_if<fixed_limit_control>(&control))
    {
        const std::lock_guard lock(mutex_);
        return request_.idempotent && tried_nodes_.size() < fixed->tries
                   ? retry_decision(retry_paid{})
                   : retry_decision(retry_never{});
    }
    return decide_retry(failure);
}

bool outbound_call::pay_for_retry(const retry_decision& decision) const
{
    return !std::holds_alternative<full_control>(state_->deps.control) ||
           charge_retry(decision, request_.parent->allowance, state_->deps.budget);
}

void outbound_call::on_hedge_timer()
{
    {
        const std::lock_guard lock(mutex_);
        if (!done_ || attempts_.size() != 1)
        {
            return;
        }
    }
    // Without a free slot, a hedge would only occupy the slot of another call. At 1.5
    // times the capacity of the deepest service, hedges were 3% of its executions.
    if (state_->deps.pressure.under_pressure(request_.service, request_.path,
                                             clock::now()) ||
        !charge_retry(retry_paid{}, request_.parent->allowance, state_->deps.budget))
    {
        return;
    }
    if (!start_attempt(exclusion::strict))
    {
        request_.parent->allowance.return_unused(retry_allowance(1));
        state_->deps.budget.refund();
    }
}

void outbound_call::on_deadline()
{
    bool nothing_sent = false;
    {
        const std::lock_guard lock(mutex_);
        nothing_sent = attempts_.empty() && !may_have_run_;
    }
    finish(make_refusal(refusal_reason::deadline,
                        nothing_sent ? outcome::not_run : outcome::unknown));
}

void outbound_call::cancel()
{
    finish(make_refusal(refusal_reason::cancelled, outcome::unknown));
}

void outbound_call::recall()
{
    std::unordered_map<call_id, attempt> running;
    {
        const std::lock_guard lock(mutex_);
        recalled_ = true;
        running = attempts_;
    }
    for (const auto& [id, running_attempt] : running)
    {
        cancel_attempt(id, running_attempt);
    }
}

void outbound_call::end_for_shutdown()
{
    finish(make_refusal(refusal_reason::shutting_down, outcome::unknown));
}

bool outbound_call::recalled() const
{
    const std::lock_guard lock(mutex_);
    return recalled_;
}

void outbound_call::finish(reply_message reply)
{
    call_router::reply_callback done;
    {
        const std::lock_guard lock(mutex_);
        if (!done_)
        {
            return;
        }
        done.swap(done_);
        // The call may have run if an earlier attempt may have run, or if an attempt that
        // a hedge just started may still run.
        const bool in_doubt = may_have_run_ || !attempts_.empty();
        if (in_doubt && reply.result == outcome::not_run)
        {
            reply.result = outcome::unknown;
        }
        deadline_timer_.cancel();
        hedge_timer_.cancel();
    }
    state_->remove_call(*this);
    cancel_other_attempts();
    request_.parent->downstream.on_call_end();
    if (child_number_)
    {
        request_.parent->remove_child(*child_number_);
    }
    done(std::move(reply));
}

void outbound_call::cancel_other_attempts()
{
    std::unordered_map<call_id, attempt> unfinished_attempts;
    {
        const std::lock_guard lock(mutex_);
        unfinished_attempts.swap(attempts_);
    }
    for (const auto& [id, unfinished] : unfinished_attempts)
    {
        balancer_->on_finish(unfinished.node, unfinished.started,
                             unfinished.since_start.elapsed(), outcome::unknown,
                             refusal_reason::cancelled, clock::now());
        if (unfinished.via)
        {
            state_->remove(id);
        }
        cancel_attempt(id, unfinished);
    }
}

void outbound_call::cancel_attempt(const call_id& id, const attempt& running)
{
    if (running.via)
    {
        running.via->send(cancel_message{id});
    }
    else if (running.node == state_->deps.self)
    {
        state_->deps.local.cancel(id);
    }
}

reply_message outbound_call::make_refusal(refusal_reason reason, outcome result) const
{
    const call_context& parent = *request_.parent;
    return state_->deps.refusals.make_reply({call_id(), parent.caller, request_.service,
                                             parent.rank, request_.path, parent.resend},
                                            reason, result);
}

} // namespace fescueridge::detail
