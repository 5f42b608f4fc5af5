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

/// The retry allowance that a call context holds. Thread safe.
class allowance_account
{
public:
    explicit allowance_account(retry_allowance start) : left_(start.get()) {}

    /// Takes the whole remaining allowance as a loan for a downstream call. A parallel
    /// call gets 0 while the loan is out.
    retry_allowance lend() noexcept;

    /// Takes back what a downstream call left over. Without a reply nothing comes back,
    /// and the loan counts as spent.
    void give_back(retry_allowance unused) noexcept;

    /// Spends one execution on a retry or hedge; false when none is left.
    bool try_spend() noexcept;

    /// Returns what is left here, without loans that are out.
    retry_allowance left() const noexcept;

private:
    std::atomic<std::uint32_t> left_;
};

/// Retry budget of a node: 0.1 retries for each first attempt. Thread safe.
class retry_budget
{
public:
    /// Records a first attempt.
    void on_first_attempt() noexcept;

    /// Takes one retry or hedge from the budget; false when it is used up.
    bool try_spend() noexcept;

    /// Returns one retry to the budget, when it was taken but not made.
    void refund() noexcept;

private:
    // Tenths of a retry. The cap bounds the burst after a quiet time.
    static constexpr std::int64_t cost = 10;
    static constexpr std::int64_t capacity = 100 * cost;
    void add(std::int64_t tenths) noexcept;

    std::atomic<std::int64_t> tenths_{5 * cost};
};

/// A root seen for the first time.
struct new_root
{
    retry_allowance allowance;
};

/// A resend of a known root; it paid for its own execution and may use the rest.
struct resumed_root
{
    retry_allowance allowance;
};

/// A root that the ledger cannot remember (unknown resend, or ledger full). It runs
/// without any allowance, so the bound on executions holds.
struct unrecorded_root
{
    bool ledger_full = false;
};

/// The root has spent its executions; the reason is retries_exhausted.
struct exhausted_root
{
};

using root_opening =
    std::variant<new_root, resumed_root, unrecorded_root, exhausted_root>;

/// What roots have left, kept for 30 s after their end. Thread safe.
class root_ledger
{
public:
    static constexpr milliseconds memory{30'000};

    /// `capacity` bounds the number of remembered roots.
    explicit root_ledger(std::size_t capacity = 200'000);
    ~root_ledger();
    root_ledger(const root_ledger&) = delete;
    root_ledger& operator=(const root_ledger&) = delete;

    /// Begins a root request or a resend. `attempt` is Fescue-Attempt; `full` is the
    /// allowance of the sheet. While an attempt of the root runs, a resend is exhausted.
    root_opening open(const root_id& root, std::uint32_t attempt, retry_allowance full,
                      time_point now);

    /// Ends an attempt of a root. `ran` is false when nothing of it ran; then a resend
    /// gets its own execution back. Has no effect on unrecorded roots.
    void close(const root_id& root, retry_allowance left, bool ran, time_point now);

    /// Forgets roots that ended long ago; call it about once a second.
    void expire(time_point now);

    /// Returns true when a root began here and is still remembered.
    bool knows(const root_id& root, time_point now) const;

    std::size_t size() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// What is known of an attempt that failed.
struct failed_attempt
{
    outcome result = outcome::unknown;
    std::optional<refusal_reason> reason;
    bool idempotent = false;      ///< A GET, HEAD, and so on, and not at most once.
    bool sent = true;             ///< Something was sent on the link or connection.
    bool free_retry_used = false; ///< This call already had its free retry.
};

/// Retry on another server without cost: nothing ran.
struct retry_free
{
};

/// Retry if allowance and budget pay for it.
struct retry_paid
{
};

/// No retry: pass the failure on.
struct retry_never
{
};

using retry_decision = std::variant<retry_free, retry_paid, retry_never>;

/// Decides whether a failed attempt may be tried again.
retry_decision decide_retry(const failed_attempt& attempt) noexcept;

/// Applies a decision: spends allowance and budget for a paid retry, both or none.
/// Returns whether the retry may be made.
bool pay_for(const retry_decision& decision, allowance_account& account,
             retry_budget& budget) noexcept;

} // namespace fescueridge
