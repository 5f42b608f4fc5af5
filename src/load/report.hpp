#pragma once

#include <cstdint>
#include <string>

#include "samples.hpp"

namespace load
{

/// Returns the result of a run as one JSON object.
///
/// Recovery: `recovery_ms` is the time from the end of the last surge phase to the first
/// moment from which all later windows of 500 ms have a goodput of at least 0.95 of, and
/// a 95th percentile of at most 1.5 times, that of the phase before the first surge. The
/// goodput of a window is the fraction of the requests intended in it that ended ok, so
/// that the randomness of arrivals does not count as a loss. `recovery_goodput_ms` leaves
/// the percentile out, which below 1 ms is mostly the scheduling of the machine. null:
/// not recovered, or the plan has no surge with a phase before and after it.
std::string make_report(const load_plan& plan, const run_record& record,
                        std::uint64_t seed);

} // namespace load
