#pragma once

#include "fescueridge/base/clock.hpp"

namespace fescueridge::gateway
{

/// Times of the steps of a planned stop, counted from the stop signal. A request that was
/// read is answered before the process ends.
struct stop_schedule
{
    /// Returns the schedule of a process that is killed `grace` after the stop signal.
    static stop_schedule for_grace(milliseconds grace);

    /// Until then, the requests of clients are accepted: readiness is checked once per
    /// second, and two failed checks take the node out of service.
    milliseconds reject_clients{0};

    /// Requests that wait for a server are taken back and rejected as not run.
    milliseconds recall_waiting{0};

    /// Requests that may still run are answered without a promise.
    milliseconds answer_all{0};

    /// The process ends, even if a client has not read its answer.
    milliseconds end{0};
};

} // namespace fescueridge::gateway
