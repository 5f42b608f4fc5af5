#include "fescueridge/gateway/crash_suspects.hpp"

namespace fescueridge::gateway
{
namespace
{

/// Maximum time between the first and the last closed connection of a crashed server.
constexpr milliseconds max_crash_spread{300};

/// Maximum time from a crash to the announcement of the restarted server.
constexpr milliseconds max_restart_time{20'000};

/// Limits the memory used by the table, which is cleared when full.
constexpr std::size_t max_records = 20'000;

} // namespace

void crash_suspects::on_connection_cut(fingerprint request, time_point now)
{
    cut_runs_.emplace_back(now, request);
    while (!cut_runs_.empty() && now - cut_runs_.front().first > max_restart_time)
        cut_runs_.pop_front();
}

std::vector<suspect_message> crash_suspects::on_crash(std::uint64_t crash, time_point now)
{
    std::vector<suspect_message> suspects;
    if (!cut_runs_.empty())
    {
        const auto last = cut_runs_.back().first;
        for (const auto& [cut_at, request] : cut_runs_)
            if (last - cut_at <= max_crash_spread && now - cut_at <= max_restart_time)
                suspects.push_back({request, crash});
    }
    cut_runs_.clear();
    for (const auto& suspect : suspects)
        on_suspect(suspect, now);
    return suspects;
}

void crash_suspects::on_suspect(const suspect_message& suspect, time_point now)
{
    if (records_.size() >= max_records)
        records_.clear();
    record& suspect_record = records_[suspect.request];
    if (now - suspect_record.last_crash > retention)
        suspect_record.crashes.clear();
    suspect_record.crashes.insert(suspect.crash);
    suspect_record.last_crash = now;
}

void crash_suspects::on_completed(fingerprint request)
{
    records_.erase(request);
}

bool crash_suspects::quarantined(fingerprint request, time_point now) const
{
    const auto found = records_.find(request);
    return found != records_.end() && now - found->second.last_crash <= retention &&
           found->second.crashes.size() >= crash_limit;
}

std::vector<suspect_message> crash_suspects::repeated(time_point now) const
{
    std::vector<suspect_message> result;
    for (const auto& [request, known] : records_)
    {
        if (known.crashes.size() < 2 || now - known.last_crash > retention)
            continue;
        for (const auto crash : known.crashes)
            result.push_back({request, crash});
    }
    return result;
}

} // namespace fescueridge::gateway
