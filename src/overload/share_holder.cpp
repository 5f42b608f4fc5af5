#include <algorithm>

#include "fescueridge/overload/limits.hpp"

namespace fescueridge
{

namespace
{

// Number of stored announcements. One is sent per second, and reports older than a lease
// of 2 s are ignored.
constexpr std::size_t max_announcements = 8;

// Returns the part of `spare` for a domain with the excess demand `own_excess` beside the
// domains with `excesses`, by max-min fairness: the lowest excesses are met first and the
// remainder is divided evenly.
double max_min_share(double own_excess, std::vector<double> excesses, double spare)
{
    excesses.push_back(own_excess);
    std::sort(excesses.begin(), excesses.end());
    double level = 0;
    std::size_t unmet = excesses.size();
    double remaining = spare;
    for (const double excess : excesses)
    {
        const double step =
            std::min(excess - level, remaining / static_cast<double>(unmet));
        level += step;
        remaining -= step * static_cast<double>(unmet);
        --unmet;
    }
    // Spare share without demand is not lent, because its owner may need it at any time.
    return std::min(own_excess, level);
}

} // namespace

share_holder::share_holder(std::uint32_t row, domain_name own_domain, call_rate limit,
                           std::uint32_t domains)
    : row_(row), own_domain_(std::move(own_domain)), limit_(limit.get()),
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
    own_reports_[{node, hop}] = {std::max(0.0, rate.get()), now, std::max(1U, nodes)};
    for (auto it = own_reports_.begin(); it != own_reports_.end();)
    {
        it = now - it->second.at > share_lease ? own_reports_.erase(it) : std::next(it);
    }
}

void share_holder::on_domain_demand(const domain_name& domain, call_rate rate,
                                    time_point now)
{
    if (domain != own_domain_)
    {
        other_reports_[domain] = {std::max(0.0, rate.get()), now, 1};
    }
}

double share_holder::own_demand_rate(time_point now) const
{
    double total = 0;
    for (const auto& [from, demand] : own_reports_)
    {
        if (now - demand.at <= share_lease)
        {
            total += demand.rate;
        }
    }
    return total;
}

demand_report_message share_holder::announce_demand(time_point now)
{
    const double rate = own_demand_rate(now);
    announcements_.push_back({rate, now, 1});
    while (announcements_.size() > max_announcements)
    {
        announcements_.pop_front();
    }
    return {row_, own_domain_, call_rate{rate}};
}

double share_holder::announced_rate_at(time_point when) const
{
    double rate = 0;
    for (const auto& sent : announcements_)
    {
        if (sent.at <= when)
        {
            rate = sent.rate;
        }
    }
    return rate;
}

share_holder::share_loan share_holder::current_loan(time_point now) const
{
    const double guaranteed = limit_ / domains_;
    double spare = 0;
    std::vector<double> excesses;
    share_loan result{0, now};
    for (const auto& [domain, demand] : other_reports_)
    {
        // A domain without a recent report may use its whole guaranteed share.
        if (now - demand.at >= share_lease)
        {
            continue;
        }
        result.oldest_report_at = std::min(result.oldest_report_at, demand.at);
        spare += std::max(0.0, guaranteed - demand.rate);
        if (demand.rate > guaranteed)
        {
            excesses.push_back(demand.rate - guaranteed);
        }
    }
    const double announced =
        std::min(own_demand_rate(now), announced_rate_at(result.oldest_report_at));
    if (announced > guaranteed)
    {
        result.rate = max_min_share(announced - guaranteed, std::move(excesses), spare);
    }
    return result;
}

call_rate share_holder::domain_share(time_point now) const
{
    // Share lent to other domains is not subtracted, so a lender can use its whole
    // guaranteed share again immediately.
    return call_rate{limit_ / domains_ + current_loan(now).rate};
}

std::vector<node_grant> share_holder::grants(time_point now) const
{
    std::vector<reporter> reporters;
    std::vector<share_demand> demands;
    for (const auto& [from, demand] : own_reports_)
    {
        if (now - demand.at <= share_lease)
        {
            reporters.push_back(from);
            demands.push_back({demand.rate, demand.nodes});
        }
    }
    const auto borrowed = current_loan(now);
    const milliseconds lease =
        borrowed.rate > 0 ? share_lease - (now - borrowed.oldest_report_at) : share_lease;
    const auto parts = divide_share(demands, domain_share(now).get());
    std::vector<node_grant> result;
    for (std::size_t i = 0; i < reporters.size(); ++i)
    {
        const auto& [node, hop] = reporters[i];
        result.push_back({node, {row_, call_rate{parts[i]}, lease, hop}});
    }
    return result;
}

bool share_holder::is_idle(time_point now) const
{
    return std::all_of(own_reports_.begin(), own_reports_.end(),
                       [now](const auto& entry)
                       { return now - entry.second.at > 2 * share_lease; });
}

} // namespace fescueridge
