#include "fescueridge/overload/retry.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace fescueridge
{

retry_allowance allowance_account::lend() noexcept
{
    return retry_allowance{left_.exchange(0)};
}

void allowance_account::give_back(retry_allowance unused) noexcept
{
    left_.fetch_add(unused.get());
}

bool allowance_account::try_spend() noexcept
{
    std::uint32_t left = left_.load();
    while (left > 0)
    {
        if (left_.compare_exchange_weak(left, left - 1))
        {
            return true;
        }
    }
    return false;
}

retry_allowance allowance_account::left() const noexcept
{
    return retry_allowance{left_.load()};
}

void retry_budget::add(std::int64_t tenths) noexcept
{
    std::int64_t current = tenths_.load();
    while (current < capacity)
    {
        const std::int64_t next = std::min(capacity, current + tenths);
        if (tenths_.compare_exchange_weak(current, next))
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
    add(cost);
}

bool retry_budget::try_spend() noexcept
{
    std::int64_t current = tenths_.load();
    while (current >= cost)
    {
        if (tenths_.compare_exchange_weak(current, current - cost))
        {
            return true;
        }
    }
    return false;
}

struct root_ledger::impl
{
    static constexpr std::size_t shard_count = 16;

    struct entry
    {
        std::uint32_t left = 0;
        bool running = false;
        time_point ended;
    };

    struct shard
    {
        mutable std::mutex mutex;
        std::unordered_map<root_id, entry> roots;
    };

    explicit impl(std::size_t capacity)
        : shard_capacity(std::max<std::size_t>(1, capacity / shard_count))
    {
    }

    shard& shard_of(const root_id& root)
    {
        return shards[std::hash<root_id>{}(root) % shard_count];
    }

    static bool forgotten(const entry& known, time_point now)
    {
        return !known.running && now - known.ended >= memory;
    }

    static void expire(shard& part, time_point now)
    {
        for (auto it = part.roots.begin(); it != part.roots.end();)
        {
            const bool old = forgotten(it->second, now);
            it = old ? part.roots.erase(it) : std::next(it);
        }
    }

    static root_opening resume(entry& known)
    {
        if (known.running || known.left == 0)
        {
            return exhausted_root{};
        }
        // The resend itself is one of the executions that the allowance bounds.
        const std::uint32_t left = known.left - 1;
        known.left = 0;
        known.running = true;
        return resumed_root{retry_allowance{left}};
    }

    std::size_t shard_capacity;
    std::array<shard, shard_count> shards;
};

root_ledger::root_ledger(std::size_t capacity) : impl_(std::make_unique<impl>(capacity))
{
}

root_ledger::~root_ledger() = default;

root_opening root_ledger::open(const root_id& root, std::uint32_t attempt,
                               retry_allowance full, time_point now)
{
    if (attempt > full.get() + 1)
    {
        return exhausted_root{};
    }
    auto& part = impl_->shard_of(root);
    const std::lock_guard lock(part.mutex);
    const auto found = part.roots.find(root);
    if (found != part.roots.end())
    {
        if (!impl::forgotten(found->second, now))
        {
            return impl::resume(found->second);
        }
        part.roots.erase(found);
    }
    if (attempt > 1)
    {
        return unrecorded_root{false};
    }
    if (part.roots.size() >= impl_->shard_capacity)
    {
        // No eviction: a root that is forgotten early could spend its allowance twice.
        return unrecorded_root{true};
    }
    part.roots.emplace(root, impl::entry{0, true, now});
    return new_root{full};
}

bool root_ledger::knows(const root_id& root, time_point now) const
{
    auto& part = impl_->shard_of(root);
    const std::lock_guard lock(part.mutex);
    const auto found = part.roots.find(root);
    return found != part.roots.end() && !impl::forgotten(found->second, now);
}

void root_ledger::close(const root_id& root, retry_allowance left, bool ran,
                        time_point now)
{
    auto& part = impl_->shard_of(root);
    const std::lock_guard lock(part.mutex);
    const auto found = part.roots.find(root);
    if (found == part.roots.end() || !found->second.running)
    {
        return;
    }
    auto& known = found->second;
    known.left = left.get() + (ran ? 0 : 1);
    known.running = false;
    known.ended = now;
}

void root_ledger::expire(time_point now)
{
    for (auto& part : impl_->shards)
    {
        const std::lock_guard lock(part.mutex);
        impl::expire(part, now);
    }
}

std::size_t root_ledger::size() const
{
    std::size_t total = 0;
    for (const auto& part : impl_->shards)
    {
        const std::lock_guard lock(part.mutex);
        total += part.roots.size();
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
        // Pressure, limits, deadlines and faults of the request are the same elsewhere or
        // would add load where there is too much.
        return retry_never{};
    }
}

bool worth_repeating(const std::optional<refusal_reason>& reason) noexcept
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
    if (safe && worth_repeating(attempt.reason))
    {
        return retry_paid{};
    }
    return retry_never{};
}

bool pay_for(const retry_decision& decision, allowance_account& account,
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
