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
    const std::uint64_t seed = stable_hash(service.get() + '\n' + method + '\n' + path);
    return fingerprint(stable_hash(body, seed));
}

namespace
{

// Crashes stored per request. Two uncleared ones suffice for quarantine; the others are
// needed only while nodes exchange records.
constexpr std::size_t max_stored_crashes = 32;

quarantine_decision decide(const quarantine_record& record)
{
    std::size_t uncleared_crashes = 0;
    bool crashed_alone = false;
    for (const auto& [server, ran_alone] : record.crashes)
    {
        if (record.cleared.count(server) == 0)
        {
            ++uncleared_crashes;
            crashed_alone = crashed_alone || ran_alone;
        }
    }
    if (crashed_alone || uncleared_crashes >= 2)
    {
        return refuse_quarantined{};
    }
    if (uncleared_crashes == 1)
    {
        return run_alone{};
    }
    return run_normally{};
}

// Removes the lowest incarnations first, on every node alike, so that merging gives the
// same record everywhere.
void trim(quarantine_record& record)
{
    while (record.crashes.size() > max_stored_crashes)
    {
        record.crashes.erase(record.crashes.begin());
    }
    while (record.cleared.size() > max_stored_crashes)
    {
        record.cleared.erase(record.cleared.begin());
    }
}

bool expired(const quarantine_record& record, std::int64_t wall_now_ms)
{
    return wall_now_ms - record.last_attempt_wall_ms >=
           quarantine_table::retention.count();
}

} // namespace

struct quarantine_table::impl
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

    quarantine_record& record_of(shard& owner, fingerprint request)
    {
        const auto found = owner.records.find(request);
        if (found != owner.records.end())
        {
            return found->second;
        }
        if (owner.records.size() >= shard_capacity)
        {
            const auto oldest = std::min_element(
                owner.records.begin(), owner.records.end(),
                [](const auto& a, const auto& b) {
                    return a.second.last_attempt_wall_ms < b.second.last_attempt_wall_ms;
                });
            owner.records.erase(oldest);
        }
        auto& record = owner.records[request];
        record.request = request;
        return record;
    }

    std::size_t shard_capacity;
    std::array<shard, shard_count> shards;
};

quarantine_table::quarantine_table(std::size_t capacity)
    : impl_(std::make_unique<impl>(capacity))
{
}

quarantine_table::~quarantine_table() = default;

std::vector<quarantine_record>
quarantine_table::on_server_crash(const std::vector<fingerprint>& running,
                                  incarnation server, bool alone,
                                  std::int64_t wall_now_ms)
{
    std::vector<quarantine_record> changed;
    for (const auto request : running)
    {
        auto& shard = impl_->shard_of(request);
        const std::lock_guard lock(shard.mutex);
        auto& record = impl_->record_of(shard, request);
        record.crashes[server] = record.crashes[server] || alone;
        record.last_attempt_wall_ms = std::max(record.last_attempt_wall_ms, wall_now_ms);
        trim(record);
        changed.push_back(record);
    }
    return changed;
}

quarantine_decision quarantine_table::classify(fingerprint request,
                                               std::int64_t wall_now_ms)
{
    auto& shard = impl_->shard_of(request);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.records.find(request);
    if (found == shard.records.end())
    {
        return run_normally{};
    }
    auto& record = found->second;
    if (expired(record, wall_now_ms))
    {
        shard.records.erase(found);
        return run_normally{};
    }
    record.last_attempt_wall_ms = std::max(record.last_attempt_wall_ms, wall_now_ms);
    return decide(record);
}

std::vector<quarantine_record> quarantine_table::on_completed(fingerprint request)
{
    auto& shard = impl_->shard_of(request);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.records.find(request);
    if (found == shard.records.end())
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
    trim(record);
    return {record};
}

void quarantine_table::merge(const quarantine_record& other)
{
    auto& shard = impl_->shard_of(other.request);
    const std::lock_guard lock(shard.mutex);
    auto& record = impl_->record_of(shard, other.request);
    for (const auto& [server, alone] : other.crashes)
    {
        record.crashes[server] = record.crashes[server] || alone;
    }
    record.cleared.insert(other.cleared.begin(), other.cleared.end());
    record.last_attempt_wall_ms =
        std::max(record.last_attempt_wall_ms, other.last_attempt_wall_ms);
    trim(record);
}

std::vector<quarantine_record> quarantine_table::records() const
{
    std::vector<quarantine_record> all;
    for (const auto& shard : impl_->shards)
    {
        const std::lock_guard lock(shard.mutex);
        for (const auto& [request, record] : shard.records)
        {
            all.push_back(record);
        }
    }
    return all;
}

void quarantine_table::expire(std::int64_t wall_now_ms)
{
    for (auto& shard : impl_->shards)
    {
        const std::lock_guard lock(shard.mutex);
        for (auto it = shard.records.begin(); it != shard.records.end();)
        {
            it = expired(it->second, wall_now_ms) ? shard.records.erase(it)
                                                  : std::next(it);
        }
    }
}

} // namespace fescueridge
