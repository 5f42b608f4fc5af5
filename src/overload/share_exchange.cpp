#include "fescueridge/overload/share_exchange.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

#include "fescueridge/overload/rendezvous.hpp"

namespace fescueridge
{

namespace
{

// Maximum relative change of demand that is reported only with the next regular report.
constexpr double small_relative_change = 0.1;

// A node with unchanged demand reports twice per lease, so that one report may be lost.
constexpr milliseconds unchanged_report_interval = share_lease / 2;

std::string row_key(std::uint32_t row)
{
    return fmt::format("limit:{}", row);
}

} // namespace

share_exchange::share_exchange(node_id self, domain_name domain, share_lookups lookups)
    : self_(std::move(self)), domain_(std::move(domain)), lookups_(std::move(lookups))
{
}

bool share_exchange::admit(std::uint32_t row, call_rate limit, limit_divisors divisors,
                           time_point now)
{
    return table_.admit(row, limit, divisors, now);
}

node_id share_exchange::share_holder_of(std::uint32_t row,
                                        const domain_name& domain) const
{
    const auto chosen =
        choose_by_rendezvous(row_key(row), lookups_.live_nodes(domain), 1);
    return chosen.empty() ? node_id() : chosen.front();
}

share_exchange::destination
share_exchange::destination_of(std::uint32_t row, const std::vector<node_id>& live) const
{
    if (live.empty())
    {
        return {};
    }
    if (live.size() < collector_threshold)
    {
        return {choose_by_rendezvous(row_key(row), live, 1).front(),
                share_hop::node_to_holder};
    }
    // The share holder must not be a collector too: a node with both roles would send
    // 4.1 KB/s at the design fleet size.
    const auto count = static_cast<std::size_t>(
        std::lround(std::sqrt(static_cast<double>(live.size()))));
    auto collectors = choose_by_rendezvous(row_key(row), live, count + 1);
    collectors.erase(collectors.begin());
    const std::string own_key = fmt::format("collector:{}:{}", row, self_.get());
    return {choose_by_rendezvous(own_key, collectors, 1).front(),
            share_hop::node_to_collector};
}

bool share_exchange::needs_report(const demand_report_message& report,
                                  const destination& to, time_point now)
{
    const double rate = report.rate.get();
    const auto found = last_reports_.find(report.row);
    if (to.hop == share_hop::node_to_collector && found != last_reports_.end())
    {
        const last_report& last = found->second;
        const bool unchanged =
            last.to.node == to.node && last.to.hop == to.hop &&
            std::abs(rate - last.rate) <= small_relative_change * last.rate;
        if (unchanged && now - last.sent_at < unchanged_report_interval)
        {
            return false;
        }
    }
    last_reports_[report.row] = {to, rate, now};
    return true;
}

share_holder* share_exchange::find_or_create_holder(std::uint32_t row)
{
    const auto found = holders_.find(row);
    if (found != holders_.end())
    {
        return &found->second;
    }
    const auto sheet_limit = lookups_.limit_of_row(row);
    if (!sheet_limit)
    {
        return nullptr; // the sender uses another version of the sheet
    }
    return &holders_
                .try_emplace(row, row, domain_, sheet_limit->limit, sheet_limit->domains)
                .first->second;
}

void share_exchange::on_demand(const node_id& from, const demand_report_message& report,
                               time_point now)
{
    const std::lock_guard lock(mutex_);
    if (report.domain == domain_ && report.hop == share_hop::node_to_collector)
    {
        if (lookups_.limit_of_row(report.row))
        {
            collectors_[report.row].on_node_demand(from, report.rate, now);
        }
        return;
    }
    share_holder* holder = find_or_create_holder(report.row);
    if (holder == nullptr)
    {
        return;
    }
    if (report.domain == domain_)
    {
        holder->on_node_demand(from, report.rate, now, report.hop, report.nodes);
    }
    else
    {
        holder->on_domain_demand(report.domain, report.rate, now);
    }
}

void share_exchange::deliver(std::vector<outgoing_share_message>& out, const node_id& to,
                             const demand_report_message& report, time_point now)
{
    if (to == self_)
    {
        on_demand(self_, report, now);
    }
    else if (!to.get().empty())
    {
        out.push_back({to, report});
    }
}

void share_exchange::deliver(std::vector<outgoing_share_message>& out, const node_id& to,
                             const share_grant_message& grant, time_point now)
{
    if (to != self_)
    {
        out.push_back({to, grant});
        return;
    }
    for (outgoing_share_message& message : on_grant(self_, grant, now))
    {
        out.push_back(std::move(message));
    }
}

void share_exchange::report_own_demand(std::vector<outgoing_share_message>& out,
                                       time_point now)
{
    const auto live = lookups_.live_nodes(domain_);
    for (demand_report_message report : table_.demand_reports(domain_, now))
    {
        const destination to = destination_of(report.row, live);
        bool due = false;
        {
            const std::lock_guard lock(mutex_);
            due = needs_report(report, to, now);
        }
        if (due)
        {
            report.hop = to.hop;
            deliver(out, to.node, report, now);
        }
    }
}

void share_exchange::report_collected_demand(std::vector<outgoing_share_message>& out,
                                             time_point now)
{
    std::vector<demand_report_message> sums;
    {
        const std::lock_guard lock(mutex_);
        for (auto it = collectors_.begin(); it != collectors_.end();)
        {
            if (const auto sum = it->second.total_demand(it->first, domain_, now))
            {
                sums.push_back(*sum);
            }
            it = it->second.is_idle(now) ? collectors_.erase(it) : std::next(it);
        }
    }
    for (const demand_report_message& sum : sums)
    {
        deliver(out, share_holder_of(sum.row, domain_), sum, now);
    }
}

std::vector<node_grant> share_exchange::make_grants(time_point now)
{
    std::vector<node_grant> grants;
    const std::lock_guard lock(mutex_);
    for (auto it = holders_.begin(); it != holders_.end();)
    {
        const auto new_grants = it->second.grants(now);
        grants.insert(grants.end(), new_grants.begin(), new_grants.end());
        it = it->second.is_idle(now) ? holders_.erase(it) : std::next(it);
    }
    return grants;
}

std::vector<outgoing_share_message> share_exchange::report_demand(time_point now)
{
    std::vector<outgoing_share_message> out;
    report_own_demand(out, now);
    report_collected_demand(out, now);
    for (const node_grant& grant : make_grants(now))
    {
        deliver(out, grant.node, grant.message, now);
    }
    return out;
}

std::vector<outgoing_share_message> share_exchange::exchange_domain_demand(time_point now)
{
    std::vector<demand_report_message> totals;
    {
        const std::lock_guard lock(mutex_);
        for (auto& [row, holder] : holders_)
        {
            totals.push_back(holder.announce_demand(now));
        }
    }
    std::vector<outgoing_share_message> out;
    for (const domain_name& other : lookups_.domains())
    {
        if (other == domain_)
        {
            continue;
        }
        for (const demand_report_message& total : totals)
        {
            deliver(out, share_holder_of(total.row, other), total, now);
        }
    }
    return out;
}

bool share_exchange::is_current_grant(const node_id& from,
                                      const share_grant_message& grant)
{
    const std::lock_guard lock(mutex_);
    const auto found = last_reports_.find(grant.row);
    return found != last_reports_.end() && found->second.to.node == from &&
           found->second.to.hop == grant.hop;
}

std::vector<outgoing_share_message>
share_exchange::on_grant(const node_id& from, const share_grant_message& grant,
                         time_point now)
{
    if (grant.hop == share_hop::node_to_holder)
    {
        table_.apply_grant(grant, now);
        return {};
    }
    if (grant.hop == share_hop::node_to_collector)
    {
        // A collector that resumes after a pause divides an old grant again, while its
        // nodes may already have a share from another collector.
        if (is_current_grant(from, grant))
        {
            table_.apply_grant(grant, now);
        }
        return {};
    }
    std::vector<node_grant> parts;
    {
        const std::lock_guard lock(mutex_);
        const auto found = collectors_.find(grant.row);
        if (found != collectors_.end())
        {
            parts = found->second.divide_grant(grant, now);
        }
    }
    std::vector<outgoing_share_message> out;
    for (const node_grant& part : parts)
    {
        deliver(out, part.node, part.message, now);
    }
    return out;
}

void share_exchange::clear()
{
    table_.clear();
    const std::lock_guard lock(mutex_);
    holders_.clear();
    collectors_.clear();
    last_reports_.clear();
}

} // namespace fescueridge
