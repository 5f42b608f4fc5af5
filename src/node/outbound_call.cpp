#include "outbound_call.hpp"

namespace fescueridge::detail
{

namespace
{

// Time that a reply about the end of the deadline may need to travel back. Without it the
// calling node would give up a moment before the typed answer arrives.
constexpr milliseconds reply_grace{20};

random_engine& thread_random()
{
    thread_local random_engine engine(random_seed());
    return engine;
}

} // namespace

outbound_call::outbound_call(std::shared_ptr<router_state> state,
                             outbound_request request, call_router::reply_callback done)
    : state_(std::move(state)), request_(std::move(request)),
      balancer_(state_->ports.peers.balancer(request_.service)),
      deadline_timer_(state_->ports.io), hedge_timer_(state_->ports.io),
      done_(std::move(done))
{
}

void outbound_call::begin()
{
    request_.parent->downstream.begin();
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
        finish(refusal(refusal_reason::cancelled, outcome::not_run));
        return;
    }
    if (!balancer_)
    {
        finish(refusal(refusal_reason::no_server, outcome::not_run));
        return;
    }
    state_->ports.budget.on_first_attempt();
    arm_timers();
    if (!start_attempt(exclusion::strict))
    {
        finish(refusal(refusal_reason::no_server, outcome::not_run));
    }
}

void outbound_call::arm_timers()
{
    const time_point now = clock::now();
    const milliseconds left = request_.parent->deadline - now;
    const std::lock_guard lock(mutex_);
    if (!done_)
    {
        return; // cancelled meanwhile
    }
    deadline_timer_.expires_after(left + reply_grace);
    deadline_timer_.async_wait(
        [self = shared_from_this()](const asio::error_code& error)
        {
            if (!error)
            {
                self->on_deadline();
            }
        });
    const std::optional<milliseconds> hedge_after = balancer_->hedge_delay(now);
    const bool may_hedge = request_.idempotent &&
                           std::holds_alternative<full_control>(state_->ports.control);
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
                self->on_hedge_time();
            }
        });
}

call_message outbound_call::make_message(const call_id& id, retry_allowance lent) const
{
    const call_context& parent = *request_.parent;
    call_message message;
    message.id = id;
    message.root = parent.root;
    message.caller = parent.caller;
    message.service = request_.service;
    message.rank = parent.rank;
    message.time_left = std::max(parent.deadline - clock::now(), milliseconds(0));
    message.allowance = lent;
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

retry_allowance outbound_call::borrow()
{
    // One unit stays here: it pays for a retry when the loan is lost with its link, and
    // for a hedge.
    const retry_allowance all = request_.parent->allowance.take_all();
    if (all.get() == 0)
    {
        return all;
    }
    request_.parent->allowance.return_unused(retry_allowance(1));
    return retry_allowance(all.get() - 1);
}

std::optional<node_id> outbound_call::choose_node(exclusion rule, time_point now) const
{
    auto node = balancer_->choose(now, thread_random(), excluded_);
    if (!node && rule == exclusion::preferred)
    {
        node = balancer_->choose(now, thread_random());
    }
    return node;
}

bool outbound_call::start_attempt(exclusion rule)
{
    const time_point now = clock::now();
    std::optional<node_id> node;
    call_message message;
    {
        const std::lock_guard lock(mutex_);
        if (!done_ || now >= request_.parent->deadline)
        {
            return false;
        }
        node = choose_node(rule, now);
        if (!node)
        {
            return false;
        }
        const call_id id = state_->ports.ids.next_call();
        const retry_allowance lent = borrow();
        message = make_message(id, lent);
        attempts_.emplace(
            id, attempt{*node, balancer_->on_start(*node, now), stopwatch(), nullptr});
        excluded_.push_back(*node);
    }
    dispatch(*node, std::move(message));
    return true;
}

void outbound_call::dispatch(const node_id& node, call_message message)
{
    const call_id id = message.id;
    if (node == state_->ports.self)
    {
        state_->ports.local.execute(std::move(message),
                                    [self = shared_from_this(), id](reply_message reply)
                                    { self->on_reply(id, std::move(reply), true); });
        return;
    }
    auto send_over = [self = shared_from_this(), id, node,
                      message = std::move(message)](const link_ptr& via)
    {
        if (via)
        {
            {
                const std::lock_guard lock(self->mutex_);
                const auto found = self->attempts_.find(id);
                if (found == self->attempts_.end())
                {
                    return; // ended while the link was being opened
                }
                found->second.via = via;
            }
            self->state_->add(id, {self, via});
            if (via->send(message))
            {
                return;
            }
            self->state_->remove(id);
        }
        self->on_reply(id, self->refusal(refusal_reason::server_gone, outcome::not_run),
                       false);
    };
    state_->ports.peers.with_link(node, std::move(send_over));
}

void outbound_call::on_reply(const call_id& id, reply_message reply, bool sent)
{
    std::optional<attempt> ended;
    {
        const std::lock_guard lock(mutex_);
        const auto found = attempts_.find(id);
        if (!done_ || found == attempts_.end())
        {
            return; // a late reply: the call has ended
        }
        ended = std::move(found->second);
        attempts_.erase(found);
    }
    note_result(*ended, reply);
    if (reply.result == outcome::ok || !try_again(*ended, reply, sent))
    {
        finish(std::move(reply));
    }
}

void outbound_call::note_result(const attempt& ended, const reply_message& reply)
{
    const time_point now = clock::now();
    request_.parent->allowance.return_unused(reply.allowance_left);
    request_.parent->add_levels(reply.levels);
    state_->ports.pressure.observe_levels(reply.levels, now);
    if (request_.parent->depth > 0)
    {
        // Roots are recorded with all their attempts when they end.
        state_->ports.pressure.observe_root(request_.service, request_.path, reply.levels,
                                            reply.result == outcome::ok);
    }
    balancer_->on_finish(ended.node, ended.started, ended.running.elapsed(), reply.result,
                         reply.reason, now);
    if (reply.reason && reply.result == outcome::not_run)
    {
        balancer_->on_refused(ended.node, *reply.reason, now);
    }
    if (reply.reason == refusal_reason::overload ||
        reply.reason == refusal_reason::overload_downstream)
    {
        request_.parent->note_overload();
    }
    if (reply.result == outcome::unknown || reply.result == outcome::failed)
    {
        const std::lock_guard lock(mutex_);
        may_have_run_ = true;
    }
}

bool outbound_call::try_again(const attempt& ended, const reply_message& reply, bool sent)
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
            return true; // a hedge is still under way and decides
        }
        failure.free_retry_used = free_retry_used_;
    }
    const retry_decision decision = decide(failure);
    if (std::holds_alternative<retry_never>(decision) || !pay(decision))
    {
        return false;
    }
    if (std::holds_alternative<retry_free>(decision))
    {
        const std::lock_guard lock(mutex_);
        free_retry_used_ = true;
    }
    state_->ports.events.record(
        "call_retried",
        {{"root", request_.parent->root.get()},
         {"service", request_.service.get()},
         {"failed_node", ended.node.get()},
         {"reason",
          std::string(to_string(reply.reason.value_or(refusal_reason::server_failed)))}});
    const bool paid = std::holds_alternative<retry_paid>(decision);
    return start_attempt(paid ? exclusion::preferred : exclusion::strict);
}

retry_decision outbound_call::decide(const failed_attempt& failure) const
{
    const control_policy& control = state_->ports.control;
    if (std::holds_alternative<no_control>(control))
    {
        return retry_never{};
    }
    if (const auto* fixed = std::get_if<fixed_limit_control>(&control))
    {
        const std::lock_guard lock(mutex_);
        return request_.idempotent && excluded_.size() < fixed->tries
                   ? retry_decision(retry_paid{})
                   : retry_decision(retry_never{});
    }
    return decide_retry(failure);
}

bool outbound_call::pay(const retry_decision& decision) const
{
    return !std::holds_alternative<full_control>(state_->ports.control) ||
           charge_retry(decision, request_.parent->allowance, state_->ports.budget);
}

void outbound_call::on_hedge_time()
{
    {
        const std::lock_guard lock(mutex_);
        if (!done_ || attempts_.size() != 1)
        {
            return;
        }
    }
    // Without free slots a hedge only takes the slot of another call: at 1.5 times the
    // capacity of the deepest service hedges were 3% of its executions.
    if (state_->ports.pressure.under_pressure(request_.service, request_.path,
                                              clock::now()) ||
        !charge_retry(retry_paid{}, request_.parent->allowance, state_->ports.budget))
    {
        return;
    }
    if (!start_attempt(exclusion::strict))
    {
        request_.parent->allowance.return_unused(retry_allowance(1));
        state_->ports.budget.refund();
    }
}

void outbound_call::on_deadline()
{
    bool nothing_sent = false;
    {
        const std::lock_guard lock(mutex_);
        nothing_sent = attempts_.empty() && !may_have_run_;
    }
    finish(refusal(refusal_reason::deadline,
                   nothing_sent ? outcome::not_run : outcome::unknown));
}

void outbound_call::cancel()
{
    finish(refusal(refusal_reason::cancelled, outcome::unknown));
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
        // An earlier attempt may have run, and one that a hedge has just started may run
        // yet; then the call as a whole may have run.
        const bool in_doubt = may_have_run_ || !attempts_.empty();
        if (in_doubt && reply.result == outcome::not_run)
        {
            reply.result = outcome::unknown;
        }
        deadline_timer_.cancel();
        hedge_timer_.cancel();
    }
    stop_other_attempts();
    request_.parent->downstream.end();
    if (child_number_)
    {
        request_.parent->remove_child(*child_number_);
    }
    done(std::move(reply));
}

void outbound_call::stop_other_attempts()
{
    std::unordered_map<call_id, attempt> left;
    {
        const std::lock_guard lock(mutex_);
        left.swap(attempts_);
    }
    for (const auto& [id, unfinished] : left)
    {
        balancer_->on_finish(unfinished.node, unfinished.started,
                             unfinished.running.elapsed(), outcome::unknown,
                             refusal_reason::cancelled, clock::now());
        if (unfinished.via)
        {
            state_->remove(id);
            unfinished.via->send(cancel_message{id});
        }
        else if (unfinished.node == state_->ports.self)
        {
            state_->ports.local.cancel(id);
        }
    }
}

reply_message outbound_call::refusal(refusal_reason reason, outcome result) const
{
    const call_context& parent = *request_.parent;
    return state_->ports.refusals.make({call_id(), parent.caller, request_.service,
                                        parent.rank, request_.path, parent.resend},
                                       reason, result);
}

} // namespace fescueridge::detail
