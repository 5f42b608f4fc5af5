#include "fescueridge/gateway/retry_share.hpp"

#include <algorithm>

namespace fescueridge::gateway
{
namespace
{

/// Part of the shared budget that the nodes spend together. The rest covers repeats that
/// no node decides, such as calls made by a run that is itself a repeat.
constexpr double spent_part = 0.5;

} // namespace

double retry_share::part_of_slack() const
{
    return nodes_ == 0 ? 0 : spent_part * slack_ / static_cast<double>(nodes_);
}

// A window can hold a full bucket and what flows in during the window; both together are
// the node's part.
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
    const double most = std::max(1.0, part_of_slack() / 2) + 2;
    held.tokens = std::min(most, held.tokens + spent_part * ratio_);
}

bool retry_share::try_spend(const service_name& service,
                            const std::map<service_name, double>& downstream,
                            time_point now)
{
    auto charges = downstream;
    charges[service] += 1;
    for (const auto& [charged, amount] : charges)
        if (fill(charged, now).tokens < amount)
            return false;
    for (const auto& [charged, amount] : charges)
        fill(charged, now).tokens -= amount;
    return true;
}

} // namespace fescueridge::gateway
