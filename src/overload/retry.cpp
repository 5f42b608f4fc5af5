#include "fescueridge/overload/retry.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace fescueridge
{

retry_allowance allowance_account::take_all() noexcept
{
    return retry_allowance{remaining_.exchange(0)};
}

void allowance_account::return_unused(retry_allowance unused) noexcept
{
    remaining_.fetch_add(unused.get());
}

bool allowance_account::try_spend() noexcept
{
    std::uint32_t left = remaining_.load();
    while (left > 0)
    {
        if (remaining_.compare_exchange_weak(left, left - 1))
        {
            return true;
        }
    }
    return false;
}

retry_allowance allowance_account::remaining() const noexcept
{
    return retry_allowance{remaining_.load()};
}

void retry_budget::add(std::int64_t tenths) noexcept
{
    std::int64_t current = balance_tenths_.load();
    while (current < capacity_tenths)
    {
        const std::int64_t next = std::min(capacity_tenths, current + tenths);
        if (balance_tenths_.compare_exchange_weak(current, next))
        {
            return;
        }
    }
}

void retry_budget::on_first_attempt() noexcept
{
    add(1);
}

void retry_budget::refund() noexcept
{
    add(retry_cost_tenths);
}

bool retry_budget::try_spend() noexcept
{
    std::int64_t current = balance_tenths_.load();
    while (current >= retry_cost_tenths)
    {
        if (balance_tenths_.compare_exchange_weak(current, current - retry_cost_tenths))
        {
            return true;
        }
    }
    return false;
}

struct root_ledger::impl
{
    static constexpr std::size_t shard_count = 16;

    struct root_state
    {
        std::uint32_t left = 0;
        bool running = false;
        time_point ended_at;
    };

    struct shard
    {
        mutable std::mutex mutex;
        std::unordered_map<root_id, root_state> roots;
    };

    explicit impl(std::size_t capacity)
        : shard_capacity(std::max<std::size_t>(1, capacity / shard_count))
    {
    }

    shard& shard_of(const root_id& root)
    {
        return shards[std::hash<root_id>{}(root) % shard_count];
    }

    static bool is_expired(const root_state& state, time_point now)
    {
        return !state.running && now - state.ended_at >= retention;
    }

    static void expire(shard& owner, time_point now)
    {
        for (auto it = owner.roots.begin(); it != owner.roots.end();)
        {
            const bool expired = is_expired(it->second, now);
            it = expired ? owner.roots.erase(it) : std::next(it);
        }
    }

    static root_attempt resume_root(root_state& state)
    {
        if (state.running || state.left == 0)
        {
            return exhausted_root{};
        }
        // The resend itself is one of the executions bounded by the allowance.
        const std::uint32_t left = state.left - 1;
        state.left = 0;
        state.running = true;
        return resumed_root{retry_allowance{left}};
    }

    std::size_t shard_capacity;
    std::array<shard, shard_count> shards;
};

root_ledger::root_ledger(std::size_t capacity) : impl_(std::make_unique<impl>(capacity))
{
}

root_ledger::~root_ledger() = default;

root_attempt root_ledger::begin_attempt(const root_id& root, std::uint32_t attempt,
                                        retry_allowance full, time_point now)
{
    if (attempt > full.get() + 1)
    {
        return exhausted_root{};
    }
    auto& shard = impl_->shard_of(root);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.roots.find(root);
    if (found != shard.roots.end())
    {
        if (!impl::is_expired(found->second, now))
        {
            return impl::resume_root(found->second);
        }
        shard.roots.erase(found);
    }
    if (attempt > 1)
    {
        return unrecorded_root{false};
    }
    if (shard.roots.size() >= impl_->shard_capacity)
    {
        // Entries are not evicted: a root request evicted before it expires could spend
        // its allowance twice.
        return unrecorded_root{true};
    }
    shard.roots.emplace(root, impl::root_state{0, true, now});
    return new_root{full};
}

bool root_ledger::contains(const root_id& root, time_point now) const
{
    auto& shard = impl_->shard_of(root);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.roots.find(root);
    return found != shard.roots.end() && !impl::is_expired(found->second, now);
}

void root_ledger::end_attempt(const root_id& root, retry_allowance left, bool ran,
                              time_point now)
{
    auto& shard = impl_->shard_of(root);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.roots.find(root);
    if (found == shard.roots.end() || !found->second.running)
    {
        return;
    }
    auto& state = found->second;
    state.left = left.get() + (ran ? 0 : 1);
    state.running = false;
    state.ended_at = now;
}

void root_ledger::expire(time_point now)
{
    for (auto& shard : impl_->shards)
    {
        const std::lock_guard lock(shard.mutex);
        impl::expire(shard, now);
    }
}

std::size_t root_ledger::size() const
{
    std::size_t total = 0;
    for (const auto& shard : impl_->shards)
    {
        const std::lock_guard lock(shard.mutex);
        total += shard.roots.size();
    }
    return total;
}

namespace
{

retry_decision decide_not_run(const failed_attempt& attempt) noexcept
{
    if (!attempt.reason)
    {
        return retry_never{};
    }
    switch (*attempt.reason)
    {
    case refusal_reason::draining:
    case refusal_reason::server_gone:
        if (attempt.free_retry_used)
        {
            return retry_never{};
        }
        return retry_free{};
    case refusal_reason::link_broken:
    case refusal_reason::shutting_down:
        return retry_paid{};
    default:
        // Overload, limits, deadlines and request errors apply to the other servers as
        // well, or a retry would add load to an overloaded service.
        return retry_never{};
    }
}

bool is_retryable(const std::optional<refusal_reason>& reason) noexcept
{
    return !reason || *reason == refusal_reason::server_failed ||
           *reason == refusal_reason::link_broken;
}

} // namespace

retry_decision decide_retry(const failed_attempt& attempt) noexcept
{
    switch (attempt.result)
    {
    case outcome::ok:
        return retry_never{};
    case outcome::not_run:
        return decide_not_run(attempt);
    case outcome::unknown:
    case outcome::failed:
        break;
    }
    const bool safe = attempt.idempotent || !attempt.sent;
    if (safe && is_retryable(attempt.reason))
    {
        return retry_paid{};
    }
    return retry_never{};
}

bool charge_retry(const retry_decision& decision, allowance_account& account,
                  retry_budget& budget) noexcept
{
    if (std::holds_alternative<retry_free>(decision))
    {
        return true;
    }
    if (std::holds_alternative<retry_never>(decision) || !budget.try_spend())
    {
        return false;
    }
    if (!account.try_spend())
    {
        budget.refund();
        return false;
    }
    return true;
}

} // namespace fescueridge
