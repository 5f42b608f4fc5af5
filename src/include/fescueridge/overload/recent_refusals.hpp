#pragma once

#include <cstddef>
#include <memory>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"

namespace fescueridge
{

/// Refusals of the last 2 s, by caller and request fingerprint. A request that matches
/// one is treated as a resend even if it has a new root id. Thread safe.
class recent_refusals
{
public:
    /// Time for which a refusal can be matched.
    static constexpr milliseconds retention{2'000};

    /// `capacity` bounds the number of stored refusals, including matched ones that have
    /// not expired. When it is reached, the oldest refusals are removed, and a resend of
    /// such a request counts as a new request.
    explicit recent_refusals(std::size_t capacity = 65'536);
    ~recent_refusals();
    recent_refusals(const recent_refusals&) = delete;
    recent_refusals& operator=(const recent_refusals&) = delete;

    /// Records the refusal of a request.
    void add(const caller_name& caller, fingerprint request, time_point now);

    /// Matches a request with its oldest unmatched refusal and returns false if there is
    /// none. Each refusal matches once, so no more of several equal requests count as
    /// resends than were refused.
    bool match(const caller_name& caller, fingerprint request, time_point now);

    /// Returns the number of stored refusals, including matched and expired ones.
    std::size_t size() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fescueridge
