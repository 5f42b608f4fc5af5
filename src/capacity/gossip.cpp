// Gossip and the tables that a node derives from the members.

#include <string>

#include "fescueridge/node/peer_table.hpp"
#include "fescueridge/overload/rendezvous.hpp"
#include "gossip_fleet.hpp"
#include "measure.hpp"

namespace fescueridge::capacity
{

namespace
{

constexpr milliseconds sheet_change_interval{6'600}; // 13,000 changes a day
constexpr std::size_t change_sample = 20;            // members whose changes are counted
constexpr std::size_t services = 350;
constexpr std::size_t domains = 5;

/// Traffic and processor time of one member, per second of the fleet's time.
struct member_cost
{
    double bytes = 0;
    double datagrams = 0;
    double core = 0;
};

member_cost run_for(gossip_fleet& fleet, milliseconds time)
{
    const std::uint64_t bytes = fleet.bytes_sent;
    const std::uint64_t datagrams = fleet.datagrams_sent;
    const double start = processor_seconds();
    fleet.run(time);
    const double member_seconds =
        static_cast<double>(fleet.size()) * static_cast<double>(time.count()) / 1000.0;
    return {static_cast<double>(fleet.bytes_sent - bytes) / member_seconds,
            static_cast<double>(fleet.datagrams_sent - datagrams) / member_seconds,
            (processor_seconds() - start) / member_seconds};
}

/// Puts a new sheet version into force at all members at once.
void change_sheet(gossip_fleet& fleet, std::uint64_t version)
{
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        fleet[i].update_self([&](member_record& record)
                             { record.sheet = sheet_version(version); });
    }
}

double stale_share(gossip_fleet& fleet, std::uint64_t version)
{
    std::size_t stale = 0;
    std::size_t views = 0;
    for (std::size_t i = 0; i < std::min(change_sample, fleet.size()); ++i)
    {
        for (const member_view& view : fleet[i].members())
        {
            stale += view.record.sheet.get() < version ? 1 : 0;
            ++views;
        }
    }
    return static_cast<double>(stale) / static_cast<double>(views);
}

std::size_t take_changes(gossip_fleet& fleet)
{
    std::size_t result = 0;
    for (std::size_t i = 0; i < std::min(change_sample, fleet.size()); ++i)
    {
        result += fleet[i].take_changes().size();
    }
    return result;
}

json measure_fleet(std::size_t members, bool quick)
{
    const double heap = heap_bytes();
    gossip_fleet fleet(1);
    fleet.start_many(members);
    const double join_start = processor_seconds();
    const time_point started = fleet.now;
    const bool joined =
        fleet.run(milliseconds(120'000),
                  [&] {
                      return (fleet.now.time_since_epoch().count() / 10) % 50 == 0 &&
                             fleet.converged();
                  });
    const double join_core = processor_seconds() - join_start;
    const auto join_ms = (fleet.now - started).count();
    // After 3 s the news of the joins of 400 members still took 35 KB a second.
    fleet.run(milliseconds(members < 300 ? 5'000 : 20'000));
    const double held = heap_bytes() - heap;
    const member_cost idle = run_for(fleet, milliseconds(quick ? 4'000 : 10'000));

    take_changes(fleet);
    const std::size_t rounds = quick ? 2 : 4;
    member_cost changing;
    double stale = 0;
    for (std::size_t round = 1; round <= rounds; ++round)
    {
        change_sheet(fleet, round);
        const member_cost cost = run_for(fleet, sheet_change_interval);
        changing.bytes += cost.bytes / static_cast<double>(rounds);
        changing.core += cost.core / static_cast<double>(rounds);
        stale = stale_share(fleet, round);
    }
    const double seconds = static_cast<double>(rounds) *
                           static_cast<double>(sheet_change_interval.count()) / 1000.0;
    const double sampled = static_cast<double>(std::min(change_sample, members));
    const double changes = static_cast<double>(take_changes(fleet)) / sampled / seconds;
    return {{"members", members},
            {"joined", joined},
            {"join_ms", join_ms},
            {"join_core_s_per_member", join_core / static_cast<double>(members)},
            {"heap_bytes_per_member", held / static_cast<double>(members)},
            {"idle_bytes_per_s", idle.bytes},
            {"idle_datagrams_per_s", idle.datagrams},
            {"idle_core", idle.core},
            {"sheet_bytes_per_s", changing.bytes},
            {"sheet_core", changing.core},
            {"sheet_changes_per_s", changes},
            {"stale_share", stale}};
}

std::vector<member_view> make_members(std::size_t count)
{
    std::vector<member_view> result;
    for (std::size_t i = 0; i < count; ++i)
    {
        member_view view;
        view.record = gossip_fleet::record("node-" + std::to_string(i), i, 1000);
        view.record.domain = domain_name("domain-" + std::to_string(i % domains));
        view.record.service =
            service_name("service-" + std::to_string(i / domains % services));
        result.push_back(std::move(view));
    }
    return result;
}

json measure_table(std::size_t count)
{
    std::vector<member_view> members = make_members(count);
    const member_record self = members.back().record;
    members.pop_back();
    const double heap = heap_bytes();
    peer_table peers(self.node, self.domain);
    peers.update(self, members);
    const double held = heap_bytes() - heap;
    const int times = count > 2'000 ? 10 : 40;
    const double update = seconds_of(times, [&] { peers.update(self, members); });
    member_change news{change_kind::changed, members[count / 2]};
    const double sheet_news =
        seconds_of(times, [&] { peers.update_sheet_versions({news}); });
    const double tick = seconds_of(
        times,
        [&]
        {
            peers.node_with_newest_sheet(sheet_version(0));
            choose_by_rendezvous("config-readers", peers.live_nodes(self.domain), 3);
        });
    return {{"members", count},
            {"heap_bytes", held},
            {"update_s", update},
            {"sheet_news_s", sheet_news},
            {"sheet_tick_s", tick}};
}

} // namespace

json measure_gossip(bool quick)
{
    json points = json::array();
    std::vector<std::size_t> sizes{50, 100, 200};
    if (!quick)
    {
        sizes.insert(sizes.end(), {400, 700});
    }
    for (const std::size_t members : sizes)
    {
        points.push_back(measure_fleet(members, quick));
    }
    return points;
}

json measure_peers(bool /*quick*/)
{
    json points = json::array();
    for (const std::size_t count : {50, 200, 1'000, 3'000, 6'900})
    {
        points.push_back(measure_table(count));
    }
    return points;
}

} // namespace fescueridge::capacity
