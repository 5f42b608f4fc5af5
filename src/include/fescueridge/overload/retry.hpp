#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/outcome.hpp"
#include "fescueridge/base/types.hpp"

namespace fescueridge
{

/// Remaining retry allowance of a call context. Thread safe.
class allowance_account
{
public:
    explicit allowance_account(retry_allowance start) : remaining_(start.get()) {}

    /// Transfers the whole remaining allowance to a downstream call. Parallel calls get 0
    /// until that call returns its unused part.
    retry_allowance take_all() noexcept;

    /// Adds the unused allowance from the reply of a downstream call. Without a reply,
    /// the transferred allowance counts as spent.
    void return_unused(retry_allowance unused) noexcept;

    /// Spends one execution on a retry or hedge; returns false if none is left.
    bool try_spend() noexcept;

    /// Returns the remaining allowance, excluding parts transferred to running downstream
    /// calls.
    retry_allowance remaining() const noexcept;

private:
    std::atomic<std::uint32_t> remaining_;
};

/// Retry budget of a node: 0.1 retries per first attempt. Thread safe.
class retry_budget
{
public:
    /// Records a first attempt.
    void on_first_attempt() noexcept;

    /// Takes one retry or hedge from the budget; returns false if it is used up.
    bool try_spend() noexcept;

    /// Returns one retry to the budget, for a retry that was paid but not made.
    void refund() noexcept;

private:
    // In tenths of a retry. The capacity bounds the burst of retries after an idle
    // period.
    static constexpr std::int64_t retry_cost_tenths = 10;
    static constexpr std::int64_t capacity_tenths = 100 * retry_cost_tenths;
    void add(std::int64_t tenths) noexcept;

    std::atomic<std::int64_t> balance_tenths_{5 * retry_cost_tenths};
};

/// First attempt of a root request.
struct new_root
{
    retry_allowance allowance;
};

/// Resend of a recorded root request. Its own execution was deducted from the allowance
/// and it may spend the rest.
struct resumed_root
{
    retry_allowance allowance;
};

/// Root request without an entry in the ledger, because it is an unknown resend or the
/// ledger is full. It runs without allowance, so the bound on executions holds.
struct unrecorded_root
{
    bool ledger_full = false;
};

/// The root request has no executions left, or an attempt is still running. It is refused
/// with retries_exhausted.
struct exhausted_root
{
};

using root_attempt =
    std::variant<new_root, resumed_root, unrecorded_root, exhausted_root>;

/// Remaining retry allowance of root requests, kept for 30 s after the end of their last
/// attempt. Thread safe.
class root_ledger
{
public:
    static constexpr milliseconds retention{30'000};

    /// `capacity` bounds the number of recorded root requests.
    explicit root_ledger(std::size_t capacity = 200'000);
    ~root_ledger();
    root_ledger(const root_ledger&) = delete;
    root_ledger& operator=(const root_ledger&) = delete;

    /// Begins an attempt of a root request. `attempt` is Fescue-Attempt, from 1; `full`
    /// is the allowance of the sheet. While an attempt runs, a resend is exhausted.
    root_attempt begin_attempt(const root_id& root, std::uint32_t attempt,
                               retry_allowance full, time_point now);

    /// Ends an attempt of a root request. If nothing of it ran, `ran` is false and its
    /// own execution is returned to the allowance. Has no effect on unrecorded root
    /// requests.
    void end_attempt(const root_id& root, retry_allowance left, bool ran, time_point now);

    /// Removes expired root requests; to be called about once a second.
    void expire(time_point now);

    /// Returns true if the root request has an entry that has not expired.
    bool contains(const root_id& root, time_point now) const;

    std::size_t size() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Properties of a failed attempt that decide on a retry.
struct failed_attempt
{
    outcome result = outcome::unknown;
    std::optional<refusal_reason> reason;
    bool idempotent = false; ///< Idempotent method (GET, HEAD, ...), not at-most-once.
    bool sent = true;        ///< Data was sent on the link or connection.
    bool free_retry_used = false; ///< The call already used its free retry.
};

/// Retry on another server without spending allowance or budget, because nothing ran.
struct retry_free
{
};

/// Retry if both allowance and budget can be spent.
struct retry_paid
{
};

/// No retry; the failure is returned to the caller.
struct retry_never
{
};

using retry_decision = std::variant<retry_free, retry_paid, retry_never>;

/// Decides whether a failed attempt may be retried.
retry_decision decide_retry(const failed_attempt& attempt) noexcept;

/// Spends allowance and budget for a paid retry, either both or none. Returns whether the
/// retry may be made.
bool charge_retry(const retry_decision& decision, allowance_account& account,
                  retry_budget& budget) noexcept;

} // namespace fescueridge
