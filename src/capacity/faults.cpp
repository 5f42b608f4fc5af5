// Gossip after the days of the design size: members that stop, and a network partition.

#include <algorithm>

#include "gossip_fleet.hpp"
#include "measure.hpp"

namespace fescueridge::capacity
{

namespace
{

constexpr milliseconds settle_time{30'000};
constexpr milliseconds give_up{60'000};
constexpr std::size_t observers = 20; // members whose view decides that news is known
constexpr milliseconds step{100};

/// Bytes a second of one member, mean and highest second, and the time that was needed.
struct reaction
{
    bool done = false;
    std::int64_t ms = 0;
    double mean_bytes = 0;
    double peak_bytes = 0;
};

json to_json(const reaction& value)
{
    return {{"done", value.done},
            {"ms", value.ms},
            {"mean_bytes_per_s", value.mean_bytes},
            {"peak_bytes_per_s", value.peak_bytes}};
}

/// Runs until `known` holds, then measures the traffic up to that time.
reaction run_until(gossip_fleet& fleet, std::size_t members,
                   const std::function<bool()>& known)
{
    reaction result;
    const std::uint64_t before = fleet.bytes_sent;
    std::uint64_t second_start = fleet.bytes_sent;
    while (!result.done && milliseconds(result.ms) < give_up)
    {
        fleet.run(step);
        result.ms += step.count();
        result.done = known();
        if (result.ms % 1'000 == 0)
        {
            result.peak_bytes = std::max(
                result.peak_bytes, static_cast<double>(fleet.bytes_sent - second_start) /
                                       static_cast<double>(members));
            second_start = fleet.bytes_sent;
        }
    }
    result.mean_bytes = static_cast<double>(fleet.bytes_sent - before) /
                        static_cast<double>(members) * 1000.0 /
                        static_cast<double>(result.ms);
    result.peak_bytes = std::max(result.peak_bytes, result.mean_bytes);
    return result;
}

/// Returns true when the first members that run hold `wanted` others for alive.
bool observers_see(gossip_fleet& fleet, std::size_t wanted)
{
    for (std::size_t i = 0; i < std::min(observers, fleet.size()); ++i)
    {
        const auto views = fleet[i].members();
        const auto alive = std::count_if(views.begin(), views.end(),
                                         [](const member_view& view)
                                         { return view.status == liveness::alive; });
        if (static_cast<std::size_t>(alive) != wanted)
        {
            return false;
        }
    }
    return true;
}

void start_fleet(gossip_fleet& fleet, std::size_t members)
{
    fleet.start_many(members);
    fleet.run(settle_time);
}

json measure_deaths(std::size_t members, std::size_t stopped)
{
    gossip_fleet fleet(2);
    start_fleet(fleet, members);
    for (std::size_t i = members - stopped; i < members; ++i)
    {
        fleet.stop(i);
    }
    const std::size_t left = members - stopped;
    const reaction seen =
        run_until(fleet, left, [&] { return observers_see(fleet, left - 1); });
    return {{"members", members}, {"stopped", stopped}, {"seen", to_json(seen)}};
}

/// Partitions the fleet into two halves for `time`.
json measure_partition(std::size_t members, milliseconds time)
{
    gossip_fleet fleet(3);
    start_fleet(fleet, members);
    const std::size_t half = members / 2;
    fleet.is_partitioned = [&](std::size_t a, std::size_t b)
    {
        return (a < half) != (b < half);
    };
    const reaction seen =
        run_until(fleet, members, [&] { return observers_see(fleet, half - 1); });
    const std::uint64_t before = fleet.bytes_sent;
    fleet.run(time);
    const double partition_bytes = static_cast<double>(fleet.bytes_sent - before) /
                                   static_cast<double>(members) * 1000.0 /
                                   static_cast<double>(time.count());
    fleet.is_partitioned = nullptr;
    const reaction whole =
        run_until(fleet, members, [&] { return observers_see(fleet, members - 1); });
    return {{"members", members},
            {"seen", to_json(seen)},
            {"bytes_per_s_during_cut", partition_bytes},
            {"whole", to_json(whole)}};
}

} // namespace

json measure_faults(bool quick)
{
    std::vector<std::size_t> sizes{50, 100};
    if (!quick)
    {
        sizes.insert(sizes.end(), {200, 400});
    }
    json deaths = json::array();
    json partitions = json::array();
    for (const std::size_t members : sizes)
    {
        for (const std::size_t part :
             {members / 5, std::max<std::size_t>(1, members / 170)})
        {
            deaths.push_back(measure_deaths(members, part));
        }
        partitions.push_back(measure_partition(members, milliseconds(20'000)));
    }
    return {{"deaths", deaths}, {"cuts", partitions}};
}

} // namespace fescueridge::capacity
