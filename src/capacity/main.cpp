// Measures what the state of each role costs in one process and prints the points as
// JSON. scripts/capacity.py draws lines through them.

#include <cstring>
#include <exception>
#include <fmt/format.h>

#include "measure.hpp"

using namespace fescueridge::capacity;

int main(int argc, char** argv)
{
    const bool quick = argc > 1 && std::strcmp(argv[1], "--quick") == 0;
    if (argc > 1 && !quick)
    {
        fmt::print(stderr, "usage: {} [--quick]\n", argv[0]);
        return 2;
    }
    try
    {
        json out;
        out["peers"] = measure_peers(quick);
        out["sheet"] = measure_sheet(quick);
        out["claims"] = measure_claims(quick);
        out["quarantine"] = measure_quarantine(quick);
        out["pressure"] = measure_pressure(quick);
        out["ledger"] = measure_ledger(quick);
        out["events"] = measure_events(quick);
        out["frames"] = measure_frames();
        out["faults"] = measure_faults(quick);
        out["gossip"] = measure_gossip(quick);
        fmt::print("{}\n", out.dump(1));
    }
    catch (const std::exception& problem)
    {
        fmt::print(stderr, "measurement failed: {}\n", problem.what());
        return 1;
    }
    return 0;
}
