#include "fescueridge/membership/gossip_core.hpp"

#include "gossip_state.hpp"

namespace fescueridge
{

incarnation make_incarnation(std::int64_t wall_ms, random_engine& random)
{
    return incarnation((static_cast<std::uint64_t>(wall_ms) << 16) | (random() & 0xffff));
}

gossip_core::gossip_core(member_record self, std::vector<endpoint> contacts,
                         random_engine random, time_point now, gossip_options options)
    : state_(std::make_unique<detail::gossip_state>(std::move(self), std::move(contacts),
                                                    random, now, options))
{
}

gossip_core::~gossip_core() = default;
gossip_core::gossip_core(gossip_core&&) noexcept = default;
gossip_core& gossip_core::operator=(gossip_core&&) noexcept = default;

std::vector<outgoing_datagram> gossip_core::tick(time_point now)
{
    return state_->tick(now);
}

std::vector<outgoing_datagram> gossip_core::receive(time_point now, const endpoint& from,
                                                    std::string_view bytes)
{
    return state_->receive(now, from, bytes);
}

void gossip_core::update_self(const std::function<void(member_record&)>& edit)
{
    state_->update_self(edit);
}

void gossip_core::add_contacts(const std::vector<endpoint>& contacts)
{
    state_->add_contacts(contacts);
}

const member_record& gossip_core::self() const noexcept
{
    return state_->self();
}

bool gossip_core::superseded() const noexcept
{
    return state_->superseded();
}

std::vector<member_view> gossip_core::members() const
{
    return state_->members();
}

std::optional<member_view> gossip_core::find(const node_id& node) const
{
    return state_->find(node);
}

std::vector<member_change> gossip_core::take_changes()
{
    return state_->take_changes();
}

} // namespace fescueridge
