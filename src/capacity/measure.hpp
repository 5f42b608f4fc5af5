#pragma once

#include <ctime>
#include <functional>
#include <malloc.h>

#include <nlohmann/json.hpp>

namespace fescueridge::capacity
{

using json = nlohmann::json;

/// Returns the processor time of this process in seconds.
inline double processor_seconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

/// Returns the bytes that the allocator has handed out.
inline double heap_bytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Returns the processor seconds of one run of `work`, averaged over `times` runs.
inline double seconds_of(int times, const std::function<void()>& work)
{
    const double start = processor_seconds();
    for (int i = 0; i < times; ++i)
    {
        work();
    }
    return (processor_seconds() - start) / times;
}

/// Each function measures one kind of state at several sizes and returns the points.
json measure_gossip(bool quick);
json measure_peers(bool quick);
json measure_sheet(bool quick);
json measure_claims(bool quick);
json measure_quarantine(bool quick);
json measure_pressure(bool quick);
json measure_ledger(bool quick);
json measure_events(bool quick);
json measure_frames();
json measure_faults(bool quick);

} // namespace fescueridge::capacity
