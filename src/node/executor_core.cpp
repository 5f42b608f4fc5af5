#include "executor_core.hpp"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>

namespace fescueridge::detail
{

namespace
{

constexpr milliseconds queue_poll_interval{5};

overload_goal to_goal(weighting value)
{
    return value == weighting::recovery ? overload_goal::recovery
                                        : overload_goal::goodput;
}

limit_policy make_limit(const control_policy& control, slot_count slots)
{
    if (std::holds_alternative<no_control>(control))
    {
        return unlimited();
    }
    if (std::holds_alternative<fixed_limit_control>(control))
    {
        return fixed_limit(slots.get());
    }
    return adaptive_limit(slots);
}

} // namespace

executor_core::executor_core(executor_ports ports)
    : ports_(std::move(ports)), queue_(fixed_limit(1))
{
}

// One lookup decides both: with a second one, a sheet that comes into force in between
// could let a call without a key through as one that needs no claim.
executor_core::rule_verdict executor_core::check_rule(const call_message& call) const
{
    const auto snapshot = ports_.sheets.get();
    if (!snapshot)
    {
        return {refusal_reason::no_sheet, false};
    }
    if (call.depth > max_call_depth)
    {
        return {refusal_reason::too_deep, false};
    }
    const rule* decided =
        snapshot->rules->find(call.service.get(), call.caller.get(), call.path);
    if (decided == nullptr)
    {
        return {refusal_reason::no_rule, false};
    }
    if (decided->at_most_once && !call.key)
    {
        return {refusal_reason::key_missing, true};
    }
    return {std::nullopt, decided->at_most_once};
}

std::optional<refusal_reason> executor_core::check_server(const call_message& call) const
{
    const std::lock_guard lock(mutex_);
    if (draining_ || (server_ && server_->state == server_state::draining))
    {
        return refusal_reason::draining;
    }
    if (!server_ || server_->service != call.service || !pool_)
    {
        return refusal_reason::server_gone;
    }
    return std::nullopt;
}

bool executor_core::passes_level(const call_message& call)
{
    const std::lock_guard lock(mutex_);
    return !level_ || level_->admit({call.rank, call.resend}, root_fraction(call.root));
}

void executor_core::execute(call_message call, local_executor::reply_callback done)
{
    auto work = std::make_shared<job>();
    work->context = std::make_shared<call_context>(call, clock::now());
    work->request = fingerprint_of(call.service, call.method, call.path, call.body);
    work->call = std::move(call);
    work->done = std::move(done);
    const rule_verdict rule = check_rule(work->call);
    if (const auto reason = rule.refused ? rule.refused : check_server(work->call))
    {
        refuse(work, *reason, outcome::not_run);
        return;
    }
    const quarantine_decision verdict =
        ports_.suspicions.classify(work->request, wall_clock_ms());
    if (std::holds_alternative<refuse_quarantined>(verdict))
    {
        refuse(work, refusal_reason::quarantined, outcome::not_run);
        return;
    }
    work->alone = std::holds_alternative<run_alone>(verdict);
    if (!passes_level(work->call))
    {
        refuse(work, refusal_reason::overload, outcome::not_run);
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        work->number = next_number_++;
        jobs_.emplace(work->number, work);
        numbers_.emplace(work->call.id, work->number);
    }
    if (rule.at_most_once)
    {
        claim_key(work);
    }
    else
    {
        enqueue(work);
    }
}

void executor_core::claim_key(const job_ptr& work)
{
    std::shared_ptr<claim_client> claims;
    {
        const std::lock_guard lock(mutex_);
        claims = claims_;
        work->claim = claims;
    }
    if (!claims)
    {
        refuse(work, refusal_reason::log_unavailable, outcome::not_run);
        return;
    }
    const auto on_decision = [self = shared_from_this(), work](const claim_result& result)
    {
        if (std::holds_alternative<claim_won>(result))
        {
            self->enqueue(work);
            return;
        }
        work->claim = nullptr;
        if (std::holds_alternative<claim_unavailable>(result))
        {
            self->refuse(work, refusal_reason::log_unavailable, outcome::not_run);
            return;
        }
        reply_message reply = self->ports_.refusals.make(
            {work->call.id, work->call.caller, work->call.service, work->call.rank,
             work->call.path, work->call.resend},
            refusal_reason::key_in_use, outcome::unknown);
        const bool done = std::get<claim_key_in_use>(result).done;
        reply.headers.push_back({"Fescue-Key-State", done ? "done" : "in_doubt"});
        self->finish(work, std::move(reply));
    };
    claims->acquire(*work->call.key, work->call.id, work->call.time_left, on_decision);
}

void executor_core::enqueue(const job_ptr& work)
{
    if (std::holds_alternative<no_control>(ports_.control))
    {
        dispatch(work); // not even a check of the deadline against the service time
        return;
    }
    waiting_call waiting;
    waiting.id = work->number;
    waiting.call_priority = work->call.rank;
    waiting.arrival = clock::now();
    waiting.deadline = work->context->deadline;
    waiting.fraction = root_fraction(work->call.root);
    waiting.exclusive = work->alone;
    waiting.resend = work->call.resend;
    offer_outcome offered;
    {
        const std::lock_guard lock(mutex_);
        if (work->cancelled || jobs_.count(work->number) == 0)
        {
            return; // cancelled while its key was claimed
        }
        offered = queue_.offer(waiting, waiting.arrival);
    }
    poll_later();
    apply(offered.changes);
    if (std::holds_alternative<admitted_now>(offered.decision))
    {
        dispatch(work);
    }
    else if (const auto* refusal = std::get_if<refused>(&offered.decision))
    {
        refuse(work, refusal->reason, outcome::not_run);
    }
}

std::vector<job_ptr>
executor_core::find_jobs(const std::vector<std::uint64_t>& numbers) const
{
    const std::lock_guard lock(mutex_);
    std::vector<job_ptr> result;
    result.reserve(numbers.size());
    for (const std::uint64_t number : numbers)
    {
        const auto found = jobs_.find(number);
        if (found != jobs_.end())
        {
            result.push_back(found->second);
        }
    }
    return result;
}

void executor_core::apply(const queue_changes& changes)
{
    for (const dropped_call& dropped : changes.dropped)
    {
        refuse_dropped(dropped);
    }
    for (const job_ptr& work : find_jobs(changes.started))
    {
        dispatch(work);
    }
}

void executor_core::refuse_dropped(const dropped_call& dropped)
{
    for (const job_ptr& work : find_jobs({dropped.id}))
    {
        refuse(work, dropped.reason, outcome::not_run);
    }
}

void executor_core::refuse(const job_ptr& work, refusal_reason reason, outcome result)
{
    const auto own_level = reason == refusal_reason::overload ? level() : std::nullopt;
    finish(work,
           ports_.refusals.make({work->call.id, work->call.caller, work->call.service,
                                 work->call.rank, work->call.path, work->call.resend},
                                reason, result, own_level));
}

void executor_core::finish(const job_ptr& work, reply_message reply)
{
    local_executor::reply_callback done;
    std::shared_ptr<claim_client> claim;
    {
        const std::lock_guard lock(mutex_);
        jobs_.erase(work->number);
        numbers_.erase(work->call.id);
        done.swap(work->done);
        claim.swap(work->claim);
    }
    if (!done)
    {
        return;
    }
    work->context->end();
    if (claim)
    {
        if (reply.result == outcome::not_run)
        {
            // spec/claims.pml, label release: nothing of the call runs later.
            claim->release(work->call.id);
        }
        else
        {
            claim->finish(work->call.id);
        }
    }
    reply.id = work->call.id;
    reply.allowance_left = work->context->allowance.remaining();
    reply.levels = work->context->levels();
    if (const auto own = level())
    {
        reply.levels.push_back(*own);
    }
    done(std::move(reply));
}

void executor_core::cancel(const call_id& id)
{
    job_ptr work;
    queue_changes changes;
    std::optional<http_call_handle> running;
    {
        const std::lock_guard lock(mutex_);
        const auto found = numbers_.find(id);
        if (found == numbers_.end())
        {
            return;
        }
        work = jobs_.at(found->second);
        work->cancelled = true;
        if (work->at_server)
        {
            running = work->handle;
        }
        else
        {
            changes = queue_.cancel(work->number, clock::now());
        }
    }
    if (running)
    {
        // on_result ends the call, possibly before cancel returns; it takes the lock.
        running->cancel();
        return;
    }
    apply(changes);
    refuse(work, refusal_reason::cancelled, outcome::not_run);
}

void executor_core::announce(const server_announcement& server)
{
    bool died = false;
    incarnation old;
    {
        const std::lock_guard lock(mutex_);
        const bool fresh = !server_ || !pool_ || server.differs_from(*server_);
        died = server_ && server_->number != server.number && !jobs_.empty();
        old = server_ ? server_->number : server.number;
        if (fresh)
        {
            pool_ = std::make_shared<http_client_pool>(ports_.io, server.address,
                                                       server.connections);
            queue_.set_policy(make_limit(ports_.control, server.slots));
        }
        const bool new_service = !server_ || server_->service != server.service;
        if (std::holds_alternative<full_control>(ports_.control) &&
            (!level_ || new_service))
        {
            level_.emplace(server.service);
        }
        server_ = server;
    }
    if (died)
    {
        ports_.events.record("server_replaced",
                             {{"old", fmt::format("{:x}", old.get())}});
    }
}

void executor_core::drain()
{
    const std::lock_guard lock(mutex_);
    draining_ = true;
}

void executor_core::lose_server()
{
    std::shared_ptr<http_client_pool> pool;
    queue_changes changes;
    {
        const std::lock_guard lock(mutex_);
        pool.swap(pool_);
        changes = queue_.drop_all(refusal_reason::server_gone);
    }
    apply(changes);
}

void executor_core::use_claims(std::shared_ptr<claim_client> claims)
{
    const std::lock_guard lock(mutex_);
    claims_ = std::move(claims);
}

/// Polls the queue after an interval if calls wait in it. An idle node has no timer for
/// this: with 200 wake-ups a second an idle node took 0.8% of a core, without 0.3%.
void executor_core::poll_later()
{
    {
        const std::lock_guard lock(mutex_);
        if (poll_pending_ || queue_.waiting() == 0)
        {
            return;
        }
        poll_pending_ = true;
    }
    const auto timer = std::make_shared<asio::steady_timer>(ports_.io);
    timer->expires_after(queue_poll_interval);
    timer->async_wait(
        [weak = weak_from_this(), timer](const asio::error_code& problem)
        {
            const auto self = weak.lock();
            if (self && !problem)
            {
                self->poll();
            }
        });
}

void executor_core::poll()
{
    queue_changes changes;
    {
        const std::lock_guard lock(mutex_);
        poll_pending_ = false;
        changes = queue_.poll(clock::now());
    }
    apply(changes);
    poll_later();
}

void executor_core::update_level()
{
    const auto snapshot = ports_.sheets.get();
    const std::lock_guard lock(mutex_);
    if (snapshot)
    {
        admission_settings settings;
        settings.weigh = to_goal(snapshot->rules->settings().weigh);
        queue_.configure(settings);
    }
    if (level_)
    {
        level_->update(queue_.take_window(), clock::now());
    }
}

std::optional<admission_level> executor_core::level() const
{
    const std::lock_guard lock(mutex_);
    return level_ ? std::optional(level_->level()) : std::nullopt;
}

executor_load executor_core::load() const
{
    const time_point now = clock::now();
    executor_load result;
    result.waited = waited_.summary(now);
    result.served = served_.summary(now);
    const std::lock_guard lock(mutex_);
    result.limit = queue_.limit();
    result.running = static_cast<std::uint32_t>(queue_.running());
    result.queued = static_cast<std::uint32_t>(queue_.waiting());
    return result;
}

std::size_t executor_core::in_flight() const
{
    const std::lock_guard lock(mutex_);
    return jobs_.size();
}

} // namespace fescueridge::detail
