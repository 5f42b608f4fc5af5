#include "fescueridge/overload/limits.hpp"

#include <algorithm>
#include <functional>
#include <mutex>

namespace fescueridge
{

namespace
{

// Capacity of a token bucket in seconds at its rate. Longer bursts would visibly exceed
// the limit.
constexpr double burst_seconds = 0.1;

// Time without calls after which a row is no longer reported.
constexpr milliseconds row_retention{5'000};

double seconds_between(time_point from, time_point to) noexcept
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

token_bucket::token_bucket(call_rate rate, time_point now)
    : rate_(std::max(0.0, rate.get())), tokens_(capacity()), last_refill_(now)
{
}

double token_bucket::capacity() const noexcept
{
    return std::max(1.0, rate_ * burst_seconds);
}

void token_bucket::refill(time_point now)
{
    if (now > last_refill_)
    {
        tokens_ =
            std::min(capacity(), tokens_ + rate_ * seconds_between(last_refill_, now));
        last_refill_ = now;
    }
}

bool token_bucket::has_token(time_point now)
{
    refill(now);
    return tokens_ >= 1.0;
}

bool token_bucket::try_take(time_point now)
{
    if (!has_token(now))
    {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

void token_bucket::set_rate(call_rate rate, time_point now)
{
    refill(now);
    rate_ = std::max(0.0, rate.get());
    tokens_ = std::min(tokens_, capacity());
}

void demand_meter::add(time_point now)
{
    const std::int64_t current_interval = now.time_since_epoch() / interval_length;
    const auto slot = static_cast<std::size_t>(current_interval) % interval_count;
    if (interval_numbers_[slot] != current_interval)
    {
        interval_numbers_[slot] = current_interval;
        counts_[slot] = 0;
    }
    ++counts_[slot];
}

call_rate demand_meter::rate(time_point now) const
{
    const std::int64_t current_interval = now.time_since_epoch() / interval_length;
    std::uint32_t total = 0;
    for (std::size_t i = 0; i < interval_count; ++i)
    {
        // The current interval is incomplete and would understate the rate.
        if (interval_numbers_[i] < current_interval &&
            current_interval - interval_numbers_[i] <
                static_cast<std::int64_t>(interval_count))
        {
            total += counts_[i];
        }
    }
    const double covered =
        std::chrono::duration<double>(interval_length).count() * (interval_count - 1);
    return call_rate{total / covered};
}

struct limit_table::impl
{
    static constexpr std::size_t shard_count = 16;

    struct row_state
    {
        row_state(call_rate rate, time_point now) : bucket(rate, now), last_used(now) {}

        token_bucket bucket;
        demand_meter demand;
        time_point last_used;
        std::optional<call_rate> granted_rate;
        time_point lease_end;
    };

    struct shard
    {
        std::mutex mutex;
        std::unordered_map<std::uint32_t, row_state> rows;
    };

    static call_rate fallback_rate(call_rate limit, limit_divisors divisors) noexcept
    {
        const double divisor = static_cast<double>(std::max(1U, divisors.domains)) *
                               std::max(1U, divisors.nodes);
        return call_rate{limit.get() / divisor};
    }

    static call_rate current_rate(row_state& row, call_rate limit,
                                  limit_divisors divisors, time_point now)
    {
        if (row.granted_rate && now >= row.lease_end)
        {
            row.granted_rate.reset();
        }
        if (!row.granted_rate)
        {
            return fallback_rate(limit, divisors);
        }
        // A grant made under an older sheet must not exceed the limit of the new one.
        return call_rate{std::min(row.granted_rate->get(), limit.get())};
    }

    shard& shard_of(std::uint32_t row) { return shards[row % shard_count]; }

    std::array<shard, shard_count> shards;
};

limit_table::limit_table() : impl_(std::make_unique<impl>()) {}
limit_table::~limit_table() = default;

bool limit_table::admit(std::uint32_t row, call_rate limit, limit_divisors divisors,
                        time_point now)
{
    auto& shard = impl_->shard_of(row);
    const std::lock_guard lock(shard.mutex);
    auto& state = shard.rows.try_emplace(row, impl::fallback_rate(limit, divisors), now)
                      .first->second;
    state.last_used = now;
    state.demand.add(now);
    const call_rate rate = impl::current_rate(state, limit, divisors, now);
    if (rate != state.bucket.rate())
    {
        state.bucket.set_rate(rate, now);
    }
    return state.bucket.try_take(now);
}

void limit_table::apply_grant(const share_grant_message& message, time_point now)
{
    auto& shard = impl_->shard_of(message.row);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.rows.find(message.row);
    if (found == shard.rows.end())
    {
        return;
    }
    found->second.granted_rate = call_rate{std::max(0.0, message.rate.get())};
    // Bounds the lease in case a faulty share holder sends a longer one.
    found->second.lease_end =
        now + std::clamp(message.lease, milliseconds{0}, share_lease);
}

std::vector<demand_report_message>
limit_table::demand_reports(const domain_name& own_domain, time_point now)
{
    std::vector<demand_report_message> reports;
    for (auto& shard : impl_->shards)
    {
        const std::lock_guard lock(shard.mutex);
        for (auto it = shard.rows.begin(); it != shard.rows.end();)
        {
            if (now - it->second.last_used > row_retention)
            {
                it = shard.rows.erase(it);
                continue;
            }
            demand_report_message report;
            report.row = it->first;
            report.domain = own_domain;
            report.rate = it->second.demand.rate(now);
            reports.push_back(std::move(report));
            ++it;
        }
    }
    return reports;
}

void limit_table::clear()
{
    for (auto& shard : impl_->shards)
    {
        const std::lock_guard lock(shard.mutex);
        shard.rows.clear();
    }
}

} // namespace fescueridge
