#include "outbound_call.hpp"

namespace fescueridge::detail
{

void router_state::add(const call_id& id, pending_attempt attempt)
{
    shard& part = shards[std::hash<call_id>{}(id) % shard_count];
    const std::lock_guard lock(part.mutex);
    part.attempts.emplace(id, std::move(attempt));
}

void router_state::remove(const call_id& id)
{
    take(id);
}

std::shared_ptr<outbound_call> router_state::take(const call_id& id)
{
    shard& part = shards[std::hash<call_id>{}(id) % shard_count];
    const std::lock_guard lock(part.mutex);
    const auto found = part.attempts.find(id);
    if (found == part.attempts.end())
    {
        return nullptr;
    }
    auto call = found->second.call.lock();
    part.attempts.erase(found);
    return call;
}

std::vector<std::pair<call_id, std::shared_ptr<outbound_call>>>
router_state::take_all(const link_ptr& via)
{
    std::vector<std::pair<call_id, std::shared_ptr<outbound_call>>> result;
    for (shard& part : shards)
    {
        const std::lock_guard lock(part.mutex);
        for (auto it = part.attempts.begin(); it != part.attempts.end();)
        {
            if (it->second.via != via)
            {
                ++it;
                continue;
            }
            if (auto call = it->second.call.lock())
            {
                result.emplace_back(it->first, std::move(call));
            }
            it = part.attempts.erase(it);
        }
    }
    return result;
}

router_state::shard& router_state::shard_of(const outbound_call& call)
{
    return shards[std::hash<const outbound_call*>{}(&call) % shard_count];
}

void router_state::add_call(const std::shared_ptr<outbound_call>& call)
{
    shard& part = shard_of(*call);
    const std::lock_guard lock(part.mutex);
    part.calls.emplace(call.get(), call);
}

void router_state::remove_call(const outbound_call& call)
{
    shard& part = shard_of(call);
    const std::lock_guard lock(part.mutex);
    part.calls.erase(&call);
}

std::vector<std::shared_ptr<outbound_call>> router_state::open_calls() const
{
    std::vector<std::shared_ptr<outbound_call>> result;
    for (const shard& part : shards)
    {
        const std::lock_guard lock(part.mutex);
        for (const auto& [address, weak] : part.calls)
        {
            if (auto call = weak.lock())
            {
                result.push_back(std::move(call));
            }
        }
    }
    return result;
}

std::size_t router_state::size() const
{
    std::size_t total = 0;
    for (const shard& part : shards)
    {
        const std::lock_guard lock(part.mutex);
        total += part.attempts.size();
    }
    return total;
}

} // namespace fescueridge::detail

namespace fescueridge
{

call_router::call_router(router_dependencies dependencies)
    : state_(std::make_shared<detail::router_state>(std::move(dependencies)))
{
}

call_router::~call_router() = default;

void call_router::send(outbound_request request, reply_callback done)
{
    std::make_shared<detail::outbound_call>(state_, std::move(request), std::move(done))
        ->begin();
}

void call_router::on_reply(reply_message reply)
{
    const call_id id = reply.id;
    if (const auto call = state_->take(id))
    {
        call->on_reply(id, std::move(reply), true);
    }
}

void call_router::on_link_closed(const link_ptr& closed)
{
    for (const auto& [id, call] : state_->take_all(closed))
    {
        reply_message reply;
        reply.id = id;
        reply.result = outcome::unknown;
        reply.reason = refusal_reason::link_broken;
        reply.status = http_status(refusal_reason::link_broken);
        call->on_reply(id, std::move(reply), true);
    }
}

void call_router::recall_all()
{
    for (const auto& call : state_->open_calls())
    {
        call->recall();
    }
}

void call_router::end_all()
{
    for (const auto& call : state_->open_calls())
    {
        call->end_for_shutdown();
    }
}

std::size_t call_router::pending_attempts() const
{
    return state_->size();
}

} // namespace fescueridge
