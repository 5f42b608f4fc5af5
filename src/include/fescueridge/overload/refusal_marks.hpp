#pragma once

#include <cstddef>
#include <memory>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"

namespace fescueridge
{

/// Marks that the refusals of the last 2 s left, by caller and request fingerprint. They
/// tell a resend under a fresh root id from a new request. Thread safe.
class refusal_marks
{
public:
    /// Time for which a mark counts.
    static constexpr milliseconds memory{2'000};

    /// `capacity` bounds the number of marks, also of those that were taken less than
    /// `memory` after their refusal. The oldest marks make room; a resend whose mark is
    /// gone counts as a new request.
    explicit refusal_marks(std::size_t capacity = 65'536);
    ~refusal_marks();
    refusal_marks(const refusal_marks&) = delete;
    refusal_marks& operator=(const refusal_marks&) = delete;

    /// Leaves a mark for a refused request.
    void add(const caller_name& caller, fingerprint request, time_point now);

    /// Takes the oldest mark of a request. Returns false when there is none, so that of
    /// equal requests only as many count as resends as were refused before.
    bool take(const caller_name& caller, fingerprint request, time_point now);

    /// Returns the number of marks held, taken and expired ones included.
    std::size_t size() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fescueridge
