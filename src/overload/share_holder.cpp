#include <algorithm>

#include "fescueridge/overload/limits.hpp"

namespace fescueridge
{

namespace
{

// Announcements kept; a report is at most a lease old, and one is sent each second.
constexpr std::size_t max_announced = 8;

// Returns the part of `spare` for a domain that wants `wanted`, beside `others`: the
// lowest demands are met first and the rest is divided evenly (max-min fairness).
double lent_to(double wanted, std::vector<double> others, double spare)
{
    others.push_back(wanted);
    std::sort(others.begin(), others.end());
    double level = 0;
    std::size_t left = others.size();
    double remaining = spare;
    for (const double want : others)
    {
        const double step = std::min(want - level, remaining / static_cast<double>(left));
        level += step;
        remaining -= step * static_cast<double>(left);
        --left;
    }
    // What nobody asked for is not lent: the domain that owns it may need it at once.
    return std::min(wanted, level);
}

} // namespace

share_holder::share_holder(std::uint32_t row, domain_name own, call_rate limit,
                           std::uint32_t domains)
    : row_(row), own_(std::move(own)), limit_(limit.get()),
      domains_(std::max(1U, domains))
{
}

void share_holder::configure(call_rate limit, std::uint32_t domains)
{
    limit_ = limit.get();
    domains_ = std::max(1U, domains);
}

void share_holder::on_node_demand(const node_id& node, call_rate rate, time_point now,
                                  share_hop hop, std::uint32_t nodes)
{
    nodes_[{node, hop}] = {std::max(0.0, rate.get()), now, std::max(1U, nodes)};
    for (auto it = nodes_.begin(); it != nodes_.end();)
    {
        it = now - it->second.at > share_lease ? nodes_.erase(it) : std::next(it);
    }
}

void share_holder::on_domain_demand(const domain_name& domain, call_rate rate,
                                    time_point now)
{
    if (domain != own_)
    {
        others_[domain] = {std::max(0.0, rate.get()), now, 1};
    }
}

double share_holder::own_rate(time_point now) const
{
    double total = 0;
    for (const auto& [from, demand] : nodes_)
    {
        if (now - demand.at <= share_lease)
        {
            total += demand.rate;
        }
    }
    return total;
}

demand_report_message share_holder::own_demand(time_point now)
{
    const double rate = own_rate(now);
    announced_.push_back({rate, now, 1});
    while (announced_.size() > max_announced)
    {
        announced_.pop_front();
    }
    return {row_, own_, call_rate{rate}};
}

double share_holder::announced_by(time_point when) const
{
    double rate = 0;
    for (const auto& sent : announced_)
    {
        if (sent.at <= when)
        {
            rate = sent.rate;
        }
    }
    return rate;
}

share_holder::borrowing share_holder::loan(time_point now) const
{
    const double guaranteed = limit_ / domains_;
    double spare = 0;
    std::vector<double> wanted;
    borrowing result{0, now};
    for (const auto& [domain, demand] : others_)
    {
        // Without recent news a domain may use all of its guaranteed share.
        if (now - demand.at >= share_lease)
        {
            continue;
        }
        result.oldest_report = std::min(result.oldest_report, demand.at);
        spare += std::max(0.0, guaranteed - demand.rate);
        if (demand.rate > guaranteed)
        {
            wanted.push_back(demand.rate - guaranteed);
        }
    }
    const double own = std::min(own_rate(now), announced_by(result.oldest_report));
    if (own > guaranteed)
    {
        result.rate = lent_to(own - guaranteed, std::move(wanted), spare);
    }
    return result;
}

call_rate share_holder::domain_share(time_point now) const
{
    // A domain below its guaranteed share keeps it: what is on loan to others is there
    // again at once when it is needed.
    return call_rate{limit_ / domains_ + loan(now).rate};
}

std::vector<node_grant> share_holder::grants(time_point now) const
{
    std::vector<reporter> fresh;
    std::vector<share_demand> demands;
    for (const auto& [from, demand] : nodes_)
    {
        if (now - demand.at <= share_lease)
        {
            fresh.push_back(from);
            demands.push_back({demand.rate, demand.nodes});
        }
    }
    const auto borrowed = loan(now);
    const milliseconds lease =
        borrowed.rate > 0 ? share_lease - (now - borrowed.oldest_report) : share_lease;
    const auto parts = divide_share(demands, domain_share(now).get());
    std::vector<node_grant> result;
    for (std::size_t i = 0; i < fresh.size(); ++i)
    {
        const auto& [node, hop] = fresh[i];
        result.push_back({node, {row_, call_rate{parts[i]}, lease, hop}});
    }
    return result;
}

bool share_holder::idle(time_point now) const
{
    return std::all_of(nodes_.begin(), nodes_.end(),
                       [now](const auto& entry)
                       { return now - entry.second.at > 2 * share_lease; });
}

} // namespace fescueridge
