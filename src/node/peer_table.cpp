#include "fescueridge/node/peer_table.hpp"

#include <algorithm>
#include <tuple>

#include "fescueridge/base/clock.hpp"

namespace fescueridge
{

namespace
{

server_info to_server_info(const member_view& member, bool link_up)
{
    server_info result;
    result.node = member.record.node;
    result.domain = member.record.domain;
    result.state = member.record.state;
    result.slots = member.record.slots;
    result.server_incarnation = member.record.incarnation_number;
    result.warm_up = member.record.warm_up;
    result.link_up = link_up;
    return result;
}

/// Returns true if two views agree in all fields used by routing or by the operator port,
/// except for the sheet version.
bool equal_except_sheet_version(const member_view& a, const member_view& b)
{
    const auto fields = [](const member_view& view)
    {
        const member_record& record = view.record;
        return std::tie(view.status, record.incarnation_number, record.link,
                        record.operator_port, record.gossip, record.domain, record.region,
                        record.service, record.state, record.warm_up, record.slots);
    };
    return fields(a) == fields(b);
}

} // namespace

peer_table::peer_table(node_id self, domain_name domain)
    : self_(std::move(self)), domain_(std::move(domain))
{
}

void peer_table::update(const member_record& self,
                        const std::vector<member_view>& members)
{
    const std::unique_lock lock(mutex_);
    members_.clear();
    members_.push_back({self, liveness::alive});
    members_.insert(members_.end(), members.begin(), members.end());
    link_targets_.clear();
    member_indexes_.clear();
    for (const member_view& member : members)
    {
        link_targets_[member.record.node] = {member.record.link,
                                             member.record.incarnation_number};
        member_indexes_[member.record.node] =
            member_indexes_.size() + 1; // index 0 is the own record
    }
    rebuild_balancers();
}

bool peer_table::update_sheet_versions(const std::vector<member_change>& changes)
{
    const std::unique_lock lock(mutex_);
    for (const member_change& change : changes)
    {
        const auto found = member_indexes_.find(change.member.record.node);
        if (change.kind != change_kind::changed || found == member_indexes_.end())
        {
            return false;
        }
        member_view& known = members_[found->second];
        if (!equal_except_sheet_version(known, change.member))
        {
            return false;
        }
        known = change.member;
    }
    return true;
}

bool peer_table::is_link_up(const member_view& member) const
{
    return member.record.node == self_ || (member.status != liveness::dead &&
                                           lost_links_.count(member.record.node) == 0);
}

void peer_table::rebuild_balancers()
{
    std::unordered_map<service_name, std::vector<server_info>> by_service;
    for (const member_view& member : members_)
    {
        if (!member.record.service.get().empty())
        {
            by_service[member.record.service].push_back(
                to_server_info(member, is_link_up(member)));
        }
    }
    const time_point now = clock::now();
    for (const auto& [service, servers] : by_service)
    {
        auto& balancer = balancers_[service];
        if (!balancer)
        {
            balancer = std::make_shared<backend_server_balancer>(domain_);
        }
        balancer->update(servers, now);
    }
    for (const auto& [service, balancer] : balancers_)
    {
        if (by_service.count(service) == 0)
        {
            balancer->update({}, now);
        }
    }
}

std::shared_ptr<backend_server_balancer>
peer_table::balancer(const service_name& service) const
{
    const std::shared_lock lock(mutex_);
    const auto found = balancers_.find(service);
    return found == balancers_.end() ? nullptr : found->second;
}

void peer_table::with_link(const node_id& node, link_callback done)
{
    link_ptr open = hub_->find(node);
    std::optional<link_target> target;
    {
        const std::shared_lock lock(mutex_);
        const auto found = link_targets_.find(node);
        if (found != link_targets_.end())
        {
            target = found->second;
        }
    }
    // An open link to an older incarnation of the node must not be used any longer.
    const bool current =
        open && (!target || open->peer().number >= target->incarnation_number);
    if (current)
    {
        done(std::move(open));
        return;
    }
    if (!target)
    {
        done(nullptr);
        return;
    }
    hub_->dial(target->link,
               [this, node, done = std::move(done)](const link_ptr& opened)
               {
                   if (!opened)
                   {
                       on_link_closed(node);
                   }
                   done(opened);
               });
}

void peer_table::on_link_open(const node_id& node)
{
    const std::unique_lock lock(mutex_);
    if (lost_links_.erase(node) > 0)
    {
        rebuild_balancers();
    }
}

void peer_table::on_link_closed(const node_id& node)
{
    if (hub_->find(node))
    {
        return; // another link to the same node is open
    }
    const std::unique_lock lock(mutex_);
    lost_links_.insert(node);
    for (const auto& [service, balancer] : balancers_)
    {
        balancer->on_link_broken(node, clock::now());
    }
}

void peer_table::redial_lost_links()
{
    std::vector<endpoint> targets;
    {
        const std::unique_lock lock(mutex_);
        for (auto it = lost_links_.begin(); it != lost_links_.end();)
        {
            const auto found = link_targets_.find(*it);
            if (found == link_targets_.end())
            {
                it = lost_links_.erase(it); // no longer a member
                continue;
            }
            targets.push_back(found->second.link);
            ++it;
        }
    }
    for (const endpoint& target : targets)
    {
        hub_->dial(target);
    }
}

std::vector<node_id> peer_table::live_nodes(const domain_name& domain) const
{
    const std::shared_lock lock(mutex_);
    std::vector<node_id> result;
    for (const member_view& member : members_)
    {
        if (member.record.domain == domain && member.status != liveness::dead)
        {
            result.push_back(member.record.node);
        }
    }
    return result;
}

std::vector<node_id> peer_table::live_nodes_of(const service_name& service) const
{
    const std::shared_lock lock(mutex_);
    std::vector<node_id> result;
    for (const member_view& member : members_)
    {
        if (member.record.service == service && member.status != liveness::dead &&
            member.record.node != self_)
        {
            result.push_back(member.record.node);
        }
    }
    return result;
}

std::vector<domain_name> peer_table::domains() const
{
    const std::shared_lock lock(mutex_);
    std::vector<domain_name> result;
    for (const member_view& member : members_)
    {
        result.push_back(member.record.domain);
    }
    std::sort(result.begin(), result.end());
    result.erase(std::unique(result.begin(), result.end()), result.end());
    return result;
}

std::optional<node_id>
peer_table::node_with_newest_sheet(sheet_version known_version) const
{
    const std::shared_lock lock(mutex_);
    std::optional<node_id> best;
    sheet_version best_version = known_version;
    for (const member_view& member : members_)
    {
        if (member.status != liveness::dead && member.record.sheet > best_version)
        {
            best = member.record.node;
            best_version = member.record.sheet;
        }
    }
    return best;
}

std::optional<node_id>
peer_table::choose_node_with_newest_sheet(sheet_version known_version,
                                          random_engine& random) const
{
    const std::shared_lock lock(mutex_);
    std::vector<const member_record*> candidates;
    std::pair<sheet_version, bool> best{known_version, true};
    for (const member_view& member : members_)
    {
        const member_record& record = member.record;
        if (member.status == liveness::dead)
        {
            continue;
        }
        const std::pair<sheet_version, bool> rank{record.sheet, record.domain == domain_};
        if (best < rank)
        {
            candidates.clear();
            best = rank;
        }
        if (rank == best && record.sheet > known_version)
        {
            candidates.push_back(&record);
        }
    }
    if (candidates.empty())
    {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> choice(0, candidates.size() - 1);
    return candidates[choice(random)]->node;
}

bool peer_table::has_live_peer_in_domain() const
{
    return live_nodes(domain_).size() > 1;
}

std::vector<member_view> peer_table::members() const
{
    const std::shared_lock lock(mutex_);
    return members_;
}

} // namespace fescueridge
