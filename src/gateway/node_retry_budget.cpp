#include "fescueridge/gateway/node_retry_budget.hpp"

#include <algorithm>

namespace fescueridge::gateway
{
namespace
{

/// Fraction of the shared budget that the nodes spend together. The rest covers retries
/// that no node counts, such as calls missing from the estimated call graph.
constexpr double spendable_fraction = 0.85;

/// Fraction of a bucket reserved for client requests, not available to calls of running
/// requests. One retry makes a client request succeed; a call is only one of several of
/// its request that must succeed.
constexpr double client_reserve_fraction = 0.5;

/// Capacity of a bucket beside the usual one while its inflow is kept, in seconds of it:
/// one request needs many retries at once. The part of the budget that is not spendable
/// covers it.
constexpr double kept_inflow_capacity_s = 1;

} // namespace

double node_retry_budget::slack_per_node() const
{
    return node_count_ == 0
               ? 0
               : spendable_fraction * slack_ / static_cast<double>(node_count_);
}

double node_retry_budget::max_tokens() const
{
    constexpr double min_bucket_tokens = 3;
    return std::max(min_bucket_tokens, slack_per_node() / 2);
}

// A node can spend a full bucket plus the inflow of a window within one window. Each is
// half of the node's part of the slack, so that their sum does not exceed it.
node_retry_budget::bucket& node_retry_budget::refill_bucket(const service_name& service,
                                                            time_point now)
{
    const auto [found, added] = buckets_.try_emplace(service);
    bucket& filled_bucket = found->second;
    if (added)
        filled_bucket.requests = window_counter(window_);
    const double tokens_per_window = slack_per_node() / 2;
    if (added)
    {
        filled_bucket.tokens = tokens_per_window;
    }
    else
    {
        const auto elapsed_ms =
            static_cast<double>((now - filled_bucket.last_refill).count());
        filled_bucket.tokens +=
            tokens_per_window * elapsed_ms / static_cast<double>(window_.count());
        add_kept_inflow(filled_bucket, now);
    }
    filled_bucket.last_refill = now;
    return filled_bucket;
}

void node_retry_budget::add_kept_inflow(bucket& filled_bucket, time_point now) const
{
    constexpr double ms_per_s = 1000;
    const auto until = std::min(now, filled_bucket.kept_until);
    if (until <= filled_bucket.last_refill)
        return;
    const double passed_ms =
        static_cast<double>((until - filled_bucket.last_refill).count());
    const double inflow_per_s = spendable_per_s(filled_bucket.kept_per_s);
    filled_bucket.tokens =
        std::min(max_tokens() + inflow_per_s * kept_inflow_capacity_s,
                 filled_bucket.tokens + inflow_per_s * passed_ms / ms_per_s);
}

double node_retry_budget::spendable_per_s(double requests_per_s) const
{
    return spendable_fraction * ratio_ * requests_per_s;
}

void node_retry_budget::keep_inflow(const service_name& service, time_point now)
{
    bucket& kept = refill_bucket(service, now);
    const bool kept_of_late =
        kept.kept_until != time_point{} && now < kept.kept_until + window_;
    if (kept_of_late)
        return;
    kept.kept_per_s = kept.requests.per_s(now);
    kept.kept_until = now + window_;
}

bool node_retry_budget::keeps_inflow(const service_name& service, time_point now) const
{
    const auto found = buckets_.find(service);
    return found != buckets_.end() && now < found->second.kept_until;
}

void node_retry_budget::on_request(const service_name& service, time_point now)
{
    bucket& filled_bucket = refill_bucket(service, now);
    filled_bucket.requests.add(1, now);
    if (now < filled_bucket.kept_until)
        return;
    filled_bucket.tokens =
        std::min(max_tokens(), filled_bucket.tokens + spendable_fraction * ratio_);
}

bool node_retry_budget::try_spend(const service_name& service,
                                  const std::map<service_name, double>& downstream,
                                  bool for_client, time_point now)
{
    auto charges = downstream;
    charges[service] += 1;
    const double reserved_tokens =
        for_client ? 0 : client_reserve_fraction * max_tokens();
    for (const auto& [charged, amount] : charges)
        if (refill_bucket(charged, now).tokens < amount + reserved_tokens)
            return false;
    for (const auto& [charged, amount] : charges)
        refill_bucket(charged, now).tokens -= amount;
    return true;
}

} // namespace fescueridge::gateway
