#include "fescueridge/overload/quarantine.hpp"

#include <algorithm>
#include <array>
#include <mutex>
#include <unordered_map>

#include "fescueridge/base/random.hpp"

namespace fescueridge
{

fingerprint fingerprint_of(const service_name& service, const std::string& method,
                           const std::string& path, const std::string& body)
{
    const std::uint64_t line = stable_hash(service.get() + '\n' + method + '\n' + path);
    return fingerprint(stable_hash(body, line));
}

namespace
{

// Crashes kept for one request. Two that are not cleared decide; the rest only matter
// while nodes exchange records.
constexpr std::size_t max_crashes = 32;

suspicion judge(const quarantine_record& record)
{
    std::size_t strikes = 0;
    bool alone = false;
    for (const auto& [server, ran_alone] : record.crashes)
    {
        if (record.cleared.count(server) == 0)
        {
            ++strikes;
            alone = alone || ran_alone;
        }
    }
    if (alone || strikes >= 2)
    {
        return refuse_quarantined{};
    }
    if (strikes == 1)
    {
        return run_alone{};
    }
    return run_normally{};
}

// Drops the lowest incarnations first; the same on every node, so that records still
// merge to the same result.
void bound(quarantine_record& record)
{
    while (record.crashes.size() > max_crashes)
    {
        record.crashes.erase(record.crashes.begin());
    }
    while (record.cleared.size() > max_crashes)
    {
        record.cleared.erase(record.cleared.begin());
    }
}

bool expired(const quarantine_record& record, std::int64_t wall_now_ms)
{
    return wall_now_ms - record.last_attempt_wall_ms >= suspicion_table::memory.count();
}

} // namespace

struct suspicion_table::impl
{
    static constexpr std::size_t shard_count = 16;

    struct shard
    {
        mutable std::mutex mutex;
        std::unordered_map<fingerprint, quarantine_record> records;
    };

    explicit impl(std::size_t capacity)
        : shard_capacity(std::max<std::size_t>(1, capacity / shard_count))
    {
    }

    shard& shard_of(fingerprint request) { return shards[request.get() % shard_count]; }

    quarantine_record& record_of(shard& part, fingerprint request)
    {
        const auto found = part.records.find(request);
        if (found != part.records.end())
        {
            return found->second;
        }
        if (part.records.size() >= shard_capacity)
        {
            const auto oldest = std::min_element(
                part.records.begin(), part.records.end(),
                [](const auto& a, const auto& b) {
                    return a.second.last_attempt_wall_ms < b.second.last_attempt_wall_ms;
                });
            part.records.erase(oldest);
        }
        auto& record = part.records[request];
        record.request = request;
        return record;
    }

    std::size_t shard_capacity;
    std::array<shard, shard_count> shards;
};

suspicion_table::suspicion_table(std::size_t capacity)
    : impl_(std::make_unique<impl>(capacity))
{
}

suspicion_table::~suspicion_table() = default;

std::vector<quarantine_record>
suspicion_table::on_server_death(const std::vector<fingerprint>& running,
                                 incarnation server, bool alone, std::int64_t wall_now_ms)
{
    std::vector<quarantine_record> changed;
    for (const auto request : running)
    {
        auto& part = impl_->shard_of(request);
        const std::lock_guard lock(part.mutex);
        auto& record = impl_->record_of(part, request);
        record.crashes[server] = record.crashes[server] || alone;
        record.last_attempt_wall_ms = std::max(record.last_attempt_wall_ms, wall_now_ms);
        bound(record);
        changed.push_back(record);
    }
    return changed;
}

suspicion suspicion_table::classify(fingerprint request, std::int64_t wall_now_ms)
{
    auto& part = impl_->shard_of(request);
    const std::lock_guard lock(part.mutex);
    const auto found = part.records.find(request);
    if (found == part.records.end())
    {
        return run_normally{};
    }
    auto& record = found->second;
    if (expired(record, wall_now_ms))
    {
        part.records.erase(found);
        return run_normally{};
    }
    record.last_attempt_wall_ms = std::max(record.last_attempt_wall_ms, wall_now_ms);
    return judge(record);
}

std::vector<quarantine_record> suspicion_table::on_completed(fingerprint request)
{
    auto& part = impl_->shard_of(request);
    const std::lock_guard lock(part.mutex);
    const auto found = part.records.find(request);
    if (found == part.records.end())
    {
        return {};
    }
    auto& record = found->second;
    const std::size_t before = record.cleared.size();
    for (const auto& [server, alone] : record.crashes)
    {
        record.cleared.insert(server);
    }
    if (record.cleared.size() == before)
    {
        return {};
    }
    bound(record);
    return {record};
}

void suspicion_table::merge(const quarantine_record& other)
{
    auto& part = impl_->shard_of(other.request);
    const std::lock_guard lock(part.mutex);
    auto& record = impl_->record_of(part, other.request);
    for (const auto& [server, alone] : other.crashes)
    {
        record.crashes[server] = record.crashes[server] || alone;
    }
    record.cleared.insert(other.cleared.begin(), other.cleared.end());
    record.last_attempt_wall_ms =
        std::max(record.last_attempt_wall_ms, other.last_attempt_wall_ms);
    bound(record);
}

std::vector<quarantine_record> suspicion_table::records() const
{
    std::vector<quarantine_record> all;
    for (const auto& part : impl_->shards)
    {
        const std::lock_guard lock(part.mutex);
        for (const auto& [request, record] : part.records)
        {
            all.push_back(record);
        }
    }
    return all;
}

void suspicion_table::expire(std::int64_t wall_now_ms)
{
    for (auto& part : impl_->shards)
    {
        const std::lock_guard lock(part.mutex);
        for (auto it = part.records.begin(); it != part.records.end();)
        {
            it =
                expired(it->second, wall_now_ms) ? part.records.erase(it) : std::next(it);
        }
    }
}

} // namespace fescueridge
