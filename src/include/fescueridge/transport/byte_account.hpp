#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>

namespace fescueridge
{

/// Adds up the bytes that a process holds for its peers, against a limit. Thread safe.
class byte_account
{
public:
    /// A limit of 0 means none.
    explicit byte_account(std::size_t limit = 0) : limit_(limit) {}

    /// Replaces what one holder has charged. The charge is made in any case: the caller
    /// asks before it takes more in.
    void change(std::size_t before, std::size_t after) noexcept
    {
        const auto used = used_ += after - before;
        auto peak = peak_.load();
        while (used > peak && !peak_.compare_exchange_weak(peak, used))
        {
        }
    }

    /// Returns whether `bytes` more fit. Where nothing is held they always do, so that a
    /// single large message is served.
    bool has_room(std::size_t bytes) const noexcept
    {
        const auto used = used_.load();
        return limit_ == 0 || used == 0 || used + bytes <= limit_;
    }

    std::size_t used() const noexcept { return used_; }
    std::size_t peak() const noexcept { return peak_; }
    std::size_t limit() const noexcept { return limit_; }

private:
    const std::size_t limit_;
    std::atomic<std::size_t> used_{0};
    std::atomic<std::size_t> peak_{0};
};

} // namespace fescueridge
