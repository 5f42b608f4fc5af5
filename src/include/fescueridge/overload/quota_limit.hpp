#pragma once

#include "fescueridge/base/types.hpp"

namespace fescueridge
{

/// Limit on the requests of one quota, summed over all nodes.
struct quota_limit
{
    call_rate rate;   ///< Requests per second.
    double burst = 0; ///< Requests that may come at once after a pause.

    friend bool operator==(const quota_limit& a, const quota_limit& b)
    {
        return a.rate == b.rate && a.burst == b.burst;
    }
    friend bool operator!=(const quota_limit& a, const quota_limit& b)
    {
        return !(a == b);
    }
};

} // namespace fescueridge
