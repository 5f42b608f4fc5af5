#include "fescueridge/gateway/retry_supply.hpp"

#include <algorithm>

namespace fescueridge::gateway
{
namespace
{

/// Longest time that one call of record() stands for: after a pause of the process, the
/// rates do not show what was sent meanwhile.
constexpr double max_recorded_s = 1;

} // namespace

void retry_supply::record(const std::map<service_name, double>& requests_per_s,
                          time_point now)
{
    const double passed_s = std::chrono::duration<double>(now - recorded_at_).count();
    const double covered_s = std::min(passed_s, max_recorded_s);
    recorded_at_ = now;
    for (auto& [service, rate] : rates_)
        rate.last_per_s = 0;
    for (const auto& [service, per_s] : requests_per_s)
    {
        auto& rate = rates_[service];
        rate.last_per_s = per_s;
        rate.requests.add(per_s * covered_s, now);
    }
}

double retry_supply::counted_per_s(const service_name& service, bool kept, time_point now)
{
    auto& rate = rates_[service];
    if (kept && !rate.kept)
        rate.kept_per_s = rate.requests.per_s(now);
    rate.kept = kept;
    return kept ? rate.kept_per_s : rate.last_per_s;
}

} // namespace fescueridge::gateway
