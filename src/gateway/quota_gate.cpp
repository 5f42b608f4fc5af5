#include "fescueridge/gateway/quota_gate.hpp"

namespace fescueridge::gateway
{
namespace
{

constexpr milliseconds members_update_interval{500};

} // namespace

quota_gate::quota_gate(
    const node_settings& settings, peers& node_peers,
    std::function<void(quota_waiter, const quota_decision&)> on_decided)
    : self_{settings.node, settings.domain}, peers_(node_peers),
      on_decided_(std::move(on_decided)),
      exchange_(self_, settings.bounds.quota_slack,
                [this](const node_id& node)
                {
                    const auto found = peers_.all().find(node);
                    return found != peers_.all().end() &&
                           !peers_.is_unresponsive(found->second);
                })
{
}

void quota_gate::set_limits(std::map<quota_name, quota_limit> limits)
{
    exchange_.set_limits(std::move(limits), clock::now());
    send_and_decide();
}

quota_decision quota_gate::admit(const quota_name& quota, quota_waiter waiter)
{
    const auto decision = exchange_.admit(quota, waiter, clock::now());
    send_and_decide();
    return decision;
}

void quota_gate::cancel(const quota_name& quota, quota_waiter waiter)
{
    exchange_.cancel(quota, waiter);
}

void quota_gate::give_back(const quota_name& quota)
{
    exchange_.give_back(quota, clock::now());
    send_and_decide();
}

void quota_gate::on_ask(const link_ptr& from, const quota_ask_message& ask)
{
    from->send(exchange_.on_ask(ask, clock::now()));
}

void quota_gate::on_grant(const link_ptr& from, const quota_grant_message& grant)
{
    exchange_.on_grant(from->peer().node, grant, clock::now());
    send_and_decide();
}

void quota_gate::poll(bool nodes_known)
{
    if (!exchange_.has_limits())
        return;
    const auto now = clock::now();
    if (now >= next_members_update_ && (nodes_known || peers_.linked_count() > 0))
        update_members(now);
    exchange_.poll(now);
    send_and_decide();
}

void quota_gate::update_members(time_point now)
{
    next_members_update_ = now + members_update_interval;
    std::vector<quota_member> members{self_};
    for (const auto& [node, other] : peers_.all())
        members.push_back({node, other.record.domain});
    exchange_.set_members(std::move(members), now);
}

void quota_gate::send_and_decide()
{
    auto outputs = exchange_.take_outputs();
    for (const auto& ask : outputs.asks)
        peers_.send(ask.to, ask.message);
    for (const auto& outcome : outputs.decided)
        on_decided_(outcome.waiter, outcome.decision);
}

} // namespace fescueridge::gateway
