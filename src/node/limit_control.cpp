#include "fescueridge/node/limit_control.hpp"

#include <fmt/format.h>

#include "fescueridge/overload/rendezvous.hpp"

namespace fescueridge
{

limit_control::limit_control(node_id self, domain_name domain, const peer_table& peers,
                             const sheet_holder& sheets, sender send)
    : self_(std::move(self)), domain_(std::move(domain)), peers_(peers), sheets_(sheets),
      send_(std::move(send))
{
}

bool limit_control::admit(const rule& decided)
{
    if (!decided.limit)
    {
        return true;
    }
    const auto snapshot = sheets_.get();
    limit_scope scope;
    scope.domains = snapshot ? snapshot->rules->settings().domains : 1;
    scope.nodes = static_cast<std::uint32_t>(peers_.live_nodes(domain_).size());
    return table_.admit(decided.row, *decided.limit, scope, clock::now());
}

node_id limit_control::holder_of(std::uint32_t row, const domain_name& domain) const
{
    const auto chosen =
        choose_by_rendezvous(fmt::format("limit:{}", row), peers_.live_nodes(domain), 1);
    return chosen.empty() ? node_id() : chosen.front();
}

share_holder* limit_control::holder_for(std::uint32_t row)
{
    const auto found = held_.find(row);
    if (found != held_.end())
    {
        return &found->second;
    }
    const auto snapshot = sheets_.get();
    const rule* decided = snapshot ? snapshot->rules->find_row(row) : nullptr;
    if (decided == nullptr || !decided->limit)
    {
        return nullptr; // the sender has another version of the sheet
    }
    const std::uint32_t domains = snapshot->rules->settings().domains;
    return &held_.try_emplace(row, row, domain_, *decided->limit, domains).first->second;
}

void limit_control::record_report(const node_id& from,
                                  const demand_report_message& report)
{
    const std::lock_guard lock(mutex_);
    share_holder* holder = holder_for(report.row);
    if (holder == nullptr)
    {
        return;
    }
    const time_point now = clock::now();
    if (report.domain == domain_)
    {
        holder->on_node_demand(from, report.rate, now);
    }
    else
    {
        holder->on_domain_demand(report.domain, report.rate, now);
    }
}

void limit_control::report_demand()
{
    for (const demand_report_message& report : table_.demand(domain_, clock::now()))
    {
        const node_id holder = holder_of(report.row, domain_);
        if (holder == self_)
        {
            record_report(self_, report);
        }
        else if (!holder.get().empty())
        {
            send_(holder, report);
        }
    }
    std::vector<node_grant> grants;
    {
        const std::lock_guard lock(mutex_);
        const time_point now = clock::now();
        for (auto it = held_.begin(); it != held_.end();)
        {
            const auto fresh = it->second.grants(now);
            grants.insert(grants.end(), fresh.begin(), fresh.end());
            it = it->second.idle(now) ? held_.erase(it) : std::next(it);
        }
    }
    for (const node_grant& grant : grants)
    {
        if (grant.node == self_)
        {
            table_.grant(grant.message, clock::now());
        }
        else
        {
            send_(grant.node, grant.message);
        }
    }
}

void limit_control::exchange_domains()
{
    std::vector<demand_report_message> totals;
    {
        const std::lock_guard lock(mutex_);
        for (auto& [row, holder] : held_)
        {
            totals.push_back(holder.own_demand(clock::now()));
        }
    }
    for (const domain_name& other : peers_.domains())
    {
        if (other == domain_)
        {
            continue;
        }
        for (const demand_report_message& total : totals)
        {
            const node_id holder = holder_of(total.row, other);
            if (!holder.get().empty())
            {
                send_(holder, total);
            }
        }
    }
}

void limit_control::on_demand(const node_id& from, const demand_report_message& report)
{
    record_report(from, report);
}

void limit_control::on_grant(const share_grant_message& grant)
{
    table_.grant(grant, clock::now());
}

void limit_control::clear()
{
    table_.clear();
    const std::lock_guard lock(mutex_);
    held_.clear();
}

} // namespace fescueridge
