#include "fescueridge/overload/quota_exchange.hpp"

#include <algorithm>
#include <cmath>

#include "fescueridge/overload/rendezvous.hpp"

namespace fescueridge
{
namespace
{

constexpr double ms_per_s = 1000;

/// Homes of a quota in one failure domain. Two, so that the loss of one leaves the
/// callers of the domain a home nearby.
constexpr std::size_t max_homes_per_domain = 2;

/// Smallest part of a burst for which a further home is worthwhile: a home with less
/// would seldom hold a whole token.
constexpr double min_home_burst = 1.5;

/// Capacity of a quota, in seconds at its rate, where its burst is smaller: requests do
/// not come evenly.
constexpr double min_capacity_s = 0.25;

/// Time after the first knowledge of the other nodes from which a process creates tokens.
/// By then it has heard of all nodes that its peers know, and so knows its part.
constexpr milliseconds creation_delay{1'000};

/// Demand for which a node asks ahead of its requests.
constexpr double ask_ahead_s = 0.2;

/// Unused tokens are dropped after this time, so that few exist beside those at the
/// homes.
constexpr milliseconds token_lifetime{500};

/// Time after which an unanswered ask counts as lost, and for which its home is then not
/// asked again.
constexpr milliseconds ask_timeout{200};
constexpr milliseconds unanswered_pause{1'000};

/// Least time for which a home without tokens is not asked again. Bounds the messages of
/// a tenant that sends many times its quota.
constexpr milliseconds min_empty_pause{50};
constexpr milliseconds max_empty_pause{1'000};

/// Time for which a home that had too few tokens is asked in turn with the others.
constexpr milliseconds exhausted_memory{1'000};

/// Longest wait of a request for a token. Asking every home takes a few milliseconds.
constexpr milliseconds max_wait{60};

/// Stated by a node that cannot ask any home.
constexpr milliseconds unreachable_retry_after{500};

// The slack lets a home keep the fractions of tokens that it would else drop.
quota_limit part_of(const quota_limit& limit, std::size_t homes, double slack)
{
    const double parts = static_cast<double>(std::max<std::size_t>(1, homes));
    const double capacity =
        std::max(limit.burst, limit.rate.get() * min_capacity_s) + slack / 2;
    return {call_rate(limit.rate.get() / parts), std::max(1.0, capacity / parts)};
}

milliseconds at_least_one_ms(double ms)
{
    return milliseconds(std::max<std::int64_t>(1, std::llround(std::ceil(ms))));
}

} // namespace

std::vector<quota_member> choose_quota_homes(const quota_name& quota,
                                             const quota_limit& limit,
                                             const std::vector<quota_member>& members)
{
    if (members.empty())
        return {};
    std::map<domain_name, std::vector<node_id>> by_domain;
    std::vector<node_id> domains;
    for (const auto& member : members)
        by_domain[member.domain].push_back(member.node);
    domains.reserve(by_domain.size());
    for (const auto& [domain, nodes] : by_domain)
        domains.emplace_back(domain.get());
    const double capacity = std::max(limit.burst, limit.rate.get() * min_capacity_s);
    const auto wanted = static_cast<std::size_t>(
        std::clamp(capacity / min_home_burst, 1.0,
                   static_cast<double>(max_homes_per_domain * domains.size())));
    const auto per_domain = std::max<std::size_t>(1, wanted / domains.size());
    std::vector<quota_member> homes;
    for (const auto& domain : choose_by_rendezvous(quota.get(), domains, wanted))
    {
        const domain_name name(domain.get());
        for (auto& node :
             choose_by_rendezvous(quota.get(), by_domain.at(name), per_domain))
            homes.push_back({std::move(node), name});
    }
    return homes;
}

void quota_part::fill(time_point now)
{
    if (now <= filled_at_)
        return;
    const double passed_ms = static_cast<double>((now - filled_at_).count());
    tokens_ = std::min(part_.burst, tokens_ + part_.rate.get() * passed_ms / ms_per_s);
    filled_at_ = now;
}

void quota_part::set(const quota_limit& part, time_point now)
{
    fill(now);
    part_ = part;
    tokens_ = std::min(tokens_, part_.burst);
}

std::uint32_t quota_part::take(std::uint32_t wanted, time_point now)
{
    fill(now);
    const auto taken = std::min(wanted, static_cast<std::uint32_t>(tokens_));
    tokens_ -= taken;
    return taken;
}

milliseconds quota_part::time_to_token(time_point now)
{
    fill(now);
    if (tokens_ >= 1)
        return milliseconds{0};
    return at_least_one_ms((1 - tokens_) / part_.rate.get() * ms_per_s);
}

quota_exchange::quota_exchange(quota_member self, double slack,
                               std::function<bool(const node_id&)> is_reachable)
    : self_(std::move(self)), slack_(slack), is_reachable_(std::move(is_reachable))
{
}

void quota_exchange::set_members(std::vector<quota_member> members, time_point now)
{
    if (!creating_from_)
        creating_from_ = now + creation_delay;
    if (members == members_)
        return;
    members_ = std::move(members);
    create_parts(now);
}

void quota_exchange::set_limits(std::map<quota_name, quota_limit> limits, time_point now)
{
    if (limits == limits_)
        return;
    limits_ = std::move(limits);
    drop_ended_quotas();
    create_parts(now);
}

// Requests that wait for a quota without a limit may begin.
void quota_exchange::drop_ended_quotas()
{
    for (auto it = accounts_.begin(); it != accounts_.end();)
    {
        if (limits_.count(it->first) != 0)
        {
            ++it;
            continue;
        }
        for (const auto& request : it->second.waiting)
            decide(it->first, request.waiter, quota_admitted{});
        counters_.erase(it->first);
        it = accounts_.erase(it);
    }
}

// A part that this node keeps goes on with its tokens; a new one starts empty, because
// the earlier home may just have spent its own.
void quota_exchange::create_parts(time_point now)
{
    ++homes_version_;
    if (!creating_from_)
        return;
    std::map<quota_name, quota_part> parts;
    for (const auto& [quota, limit] : limits_)
    {
        const auto homes = choose_quota_homes(quota, limit, members_);
        if (std::find(homes.begin(), homes.end(), self_) == homes.end())
            continue;
        const auto part = part_of(limit, homes.size(), slack_);
        const auto known = parts_.find(quota);
        if (known == parts_.end())
        {
            parts.emplace(quota, quota_part(part, std::max(now, *creating_from_)));
            continue;
        }
        known->second.set(part, now);
        parts.emplace(quota, known->second);
    }
    parts_ = std::move(parts);
}

quota_part* quota_exchange::own_part(const quota_name& quota, time_point now)
{
    const bool creating = granting_ && creating_from_ && now >= *creating_from_;
    const auto found = parts_.find(quota);
    return creating && found != parts_.end() ? &found->second : nullptr;
}

quota_exchange::account& quota_exchange::account_of(const quota_name& quota,
                                                    const quota_limit& limit)
{
    account& entry = accounts_[quota];
    if (entry.homes_version == homes_version_)
        return entry;
    entry.homes_version = homes_version_;
    auto homes = choose_quota_homes(quota, limit, members_);
    std::stable_partition(homes.begin(), homes.end(),
                          [this](const quota_member& home)
                          { return home.domain == self_.domain; });
    entry.homes.clear();
    for (auto& home : homes)
        if (home.node != self_.node)
            entry.homes.push_back({std::move(home.node), {}, {}, {}});
    return entry;
}

quota_decision quota_exchange::admit(const quota_name& quota, quota_waiter waiter,
                                     time_point now)
{
    const auto limit = limits_.find(quota);
    if (limit == limits_.end())
        return quota_admitted{};
    auto& counts = counters_[quota];
    ++counts.asked;
    account& entry = account_of(quota, limit->second);
    entry.demand.add(now);
    if (entry.waiting.empty() && try_take(quota, entry, now))
    {
        ++counts.admitted;
        return quota_admitted{};
    }
    entry.waiting.push_back({waiter, now});
    if (entry.asked)
        return quota_waiting{};
    settle_waiting(quota, entry, now);
    // The request may have been decided at once.
    auto& decided = outputs_.decided;
    const auto own =
        std::find_if(decided.begin(), decided.end(),
                     [&](const auto& outcome) { return outcome.waiter == waiter; });
    if (own == decided.end())
        return quota_waiting{};
    const auto decision = own->decision;
    decided.erase(own);
    return decision;
}

bool quota_exchange::try_take(const quota_name& quota, account& entry, time_point now)
{
    if (entry.tokens > 0 && now >= entry.tokens_end)
        entry.tokens = 0;
    if (entry.tokens > 0)
    {
        --entry.tokens;
        return true;
    }
    auto* part = own_part(quota, now);
    return part && part->take(1, now) == 1;
}

// The nearest home first; those that had too few tokens of late in turn, after the
// others.
quota_exchange::known_home* quota_exchange::next_home(account& entry,
                                                      time_point now) const
{
    known_home* best = nullptr;
    const auto is_exhausted = [now](const known_home& home)
    {
        return home.exhausted_at != time_point{} &&
               now - home.exhausted_at < exhausted_memory;
    };
    for (auto& home : entry.homes)
    {
        if (now < home.pause_end || !is_reachable_(home.node))
            continue;
        if (!is_exhausted(home))
            return &home;
        if (!best || home.asked_at < best->asked_at)
            best = &home;
    }
    return best;
}

void quota_exchange::ask(const quota_name& quota, account& entry, known_home& home,
                         time_point now)
{
    const auto ahead =
        static_cast<std::uint32_t>(entry.demand.rate(now).get() * ask_ahead_s);
    const auto waiting = static_cast<std::uint32_t>(entry.waiting.size());
    const auto tokens = std::max(waiting, ahead);
    home.asked_at = now;
    entry.asked = pending_ask{home.node, tokens, now};
    outputs_.asks.push_back({home.node, {quota, tokens}});
}

// Serves the waiting requests, asks the next home for those that are left, and refuses
// them when no home is left to ask.
void quota_exchange::settle_waiting(const quota_name& quota, account& entry,
                                    time_point now)
{
    while (!entry.waiting.empty() && try_take(quota, entry, now))
    {
        decide(quota, entry.waiting.front().waiter, quota_admitted{});
        entry.waiting.pop_front();
    }
    refuse_overdue(quota, entry, now);
    if (entry.waiting.empty() || entry.asked)
        return;
    if (auto* home = next_home(entry, now))
        return ask(quota, entry, *home, now);
    refuse_waiting(quota, entry, now);
}

void quota_exchange::refuse_waiting(const quota_name& quota, account& entry,
                                    time_point now)
{
    const quota_refused refusal{retry_after(quota, entry, now)};
    for (const auto& request : std::exchange(entry.waiting, {}))
        decide(quota, request.waiter, refusal);
}

void quota_exchange::refuse_overdue(const quota_name& quota, account& entry,
                                    time_point now)
{
    if (entry.waiting.empty() || now - entry.waiting.front().since < max_wait)
        return;
    const quota_refused refusal{retry_after(quota, entry, now)};
    while (!entry.waiting.empty() && now - entry.waiting.front().since >= max_wait)
    {
        decide(quota, entry.waiting.front().waiter, refusal);
        entry.waiting.pop_front();
    }
}

milliseconds quota_exchange::retry_after(const quota_name& quota, const account& entry,
                                         time_point now)
{
    auto result = unreachable_retry_after;
    for (const auto& home : entry.homes)
        if (home.pause_end > now)
            result = std::min(result, home.pause_end - now);
    if (auto* part = own_part(quota, now))
        result = std::min(result, part->time_to_token(now));
    return result;
}

void quota_exchange::decide(const quota_name& quota, quota_waiter waiter,
                            quota_decision decision)
{
    auto& counts = counters_[quota];
    ++(std::holds_alternative<quota_admitted>(decision) ? counts.admitted
                                                        : counts.refused);
    outputs_.decided.push_back({waiter, decision});
}

void quota_exchange::cancel(const quota_name& quota, quota_waiter waiter)
{
    const auto found = accounts_.find(quota);
    if (found == accounts_.end())
        return;
    auto& waiting = found->second.waiting;
    waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                                 [&](const waiting_request& request)
                                 { return request.waiter == waiter; }),
                  waiting.end());
}

void quota_exchange::give_back(const quota_name& quota, time_point now)
{
    const auto found = accounts_.find(quota);
    if (found == accounts_.end())
        return;
    account& entry = found->second;
    if (now >= entry.tokens_end)
        entry.tokens = 0;
    ++entry.tokens;
    entry.tokens_end = now + token_lifetime;
    ++counters_[quota].returned;
    settle_waiting(quota, entry, now);
}

quota_exchange::known_home* quota_exchange::find_home(account& entry, const node_id& node)
{
    const auto found =
        std::find_if(entry.homes.begin(), entry.homes.end(),
                     [&](const known_home& home) { return home.node == node; });
    return found == entry.homes.end() ? nullptr : &*found;
}

quota_grant_message quota_exchange::on_ask(const quota_ask_message& ask, time_point now)
{
    auto* part = own_part(ask.quota, now);
    if (!part)
        return {ask.quota, 0, unanswered_pause};
    const auto tokens = part->take(ask.tokens, now);
    const auto pause = std::min(part->time_to_token(now), max_empty_pause);
    return {ask.quota, tokens, tokens > 0 ? milliseconds{0} : pause};
}

void quota_exchange::on_grant(const node_id& from, const quota_grant_message& grant,
                              time_point now)
{
    const auto found = accounts_.find(grant.quota);
    if (found == accounts_.end())
        return;
    account& entry = found->second;
    const bool was_asked = entry.asked && entry.asked->home == from;
    const bool too_few =
        grant.tokens == 0 || (was_asked && grant.tokens < entry.asked->tokens);
    const auto home = find_home(entry, from);
    if (too_few && home)
    {
        home->exhausted_at = now;
        home->pause_end =
            now + std::clamp(grant.retry_after, min_empty_pause, max_empty_pause);
    }
    if (was_asked)
        entry.asked.reset();
    if (grant.tokens > 0)
    {
        if (now >= entry.tokens_end)
            entry.tokens = 0;
        entry.tokens += grant.tokens;
        entry.tokens_end = now + token_lifetime;
    }
    settle_waiting(grant.quota, entry, now);
}

void quota_exchange::poll(time_point now)
{
    for (auto& [quota, entry] : accounts_)
    {
        if (entry.asked && now - entry.asked->sent_at >= ask_timeout)
        {
            if (auto* home = find_home(entry, entry.asked->home))
                home->pause_end = now + unanswered_pause;
            entry.asked.reset();
        }
        settle_waiting(quota, entry, now);
    }
}

quota_outputs quota_exchange::take_outputs()
{
    return std::exchange(outputs_, {});
}

} // namespace fescueridge
