#include "fescueridge/gateway/retry_share.hpp"

#include <algorithm>

namespace fescueridge::gateway
{
namespace
{

/// Fraction of the shared budget that the nodes spend together. The rest covers retries
/// that no node counts, such as calls missing from the estimated call graph.
constexpr double spent_part = 0.85;

/// Fraction of a bucket reserved for client requests, not available to calls of running
/// requests. One retry makes a client request succeed; a call is only one of several of
/// its request that must succeed.
constexpr double kept_for_clients = 0.5;

} // namespace

double retry_share::part_of_slack() const
{
    return nodes_ == 0 ? 0 : spent_part * slack_ / static_cast<double>(nodes_);
}

double retry_share::most_tokens() const
{
    constexpr double least = 3;
    return std::max(least, part_of_slack() / 2);
}

// A node can spend a full bucket plus the inflow of a window within one window. Each is
// half of the node's part of the slack, so that their sum does not exceed it.
retry_share::bucket& retry_share::fill(const service_name& service, time_point now)
{
    const auto [found, added] = buckets_.try_emplace(service);
    bucket& held = found->second;
    const double part = part_of_slack() / 2;
    if (added)
    {
        held.tokens = part;
    }
    else
    {
        const auto passed = static_cast<double>((now - held.filled).count());
        held.tokens += part * passed / static_cast<double>(window_.count());
    }
    held.filled = now;
    return held;
}

void retry_share::on_request(const service_name& service, time_point now)
{
    bucket& held = fill(service, now);
    held.tokens = std::min(most_tokens(), held.tokens + spent_part * ratio_);
}

bool retry_share::try_spend(const service_name& service,
                            const std::map<service_name, double>& downstream,
                            bool for_client, time_point now)
{
    auto charges = downstream;
    charges[service] += 1;
    const double kept = for_client ? 0 : kept_for_clients * most_tokens();
    for (const auto& [charged, amount] : charges)
        if (fill(charged, now).tokens < amount + kept)
            return false;
    for (const auto& [charged, amount] : charges)
        fill(charged, now).tokens -= amount;
    return true;
}

} // namespace fescueridge::gateway
