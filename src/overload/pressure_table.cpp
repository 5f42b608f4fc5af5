#include <algorithm>
#include <atomic>
#include <cmath>
#include <string_view>

#include "fescueridge/overload/pressure.hpp"

namespace fescueridge
{

namespace
{

// Half-life of the refused share of a level without new reports.
constexpr double level_half_life_ms = 250;

// Reports are averaged over this time, so that servers with different levels are weighted
// by their number of replies. Otherwise the last reply would decide.
constexpr milliseconds report_window{50};
// Minimum number of reports for a window to replace the previous average completely.
constexpr double full_window_reports = 4;

// Minimum age of an outdated report. Some root requests that it would refuse are admitted
// as probes.
constexpr milliseconds outdated_report_age{100};
constexpr std::uint32_t refusals_per_probe = 50; // admits one in 50 (2%) as a probe

// Minimum dependency weight at which refusing a root request saves more work than it
// loses.
constexpr double likely_dependency_weight = 0.5;
constexpr double min_dependency_weight = 0.02;
constexpr double min_weight_step = 0.05;

// A refused share below 1% of one class is ignored.
constexpr double negligible_refused_share = 0.01;

constexpr std::size_t shard_count = 16;
constexpr std::size_t max_paths_per_shard = 512;

using class_shares = std::array<double, class_count>;

class_shares class_shares_of(const admission_level& level)
{
    class_shares result{};
    const double position = position_of(level) / double{fraction_count};
    for (std::size_t i = 0; i < result.size(); ++i)
    {
        result[i] = std::clamp(position - static_cast<double>(i), 0.0, 1.0);
    }
    return result;
}

double total_refused_share(const class_shares& admitted)
{
    double refused_share = 0;
    for (const double share : admitted)
    {
        refused_share += 1 - share;
    }
    return refused_share;
}

struct service_state
{
    class_shares admitted{};
    class_shares reported_sum{};
    double report_count = 0;
    bool has_report = false;
    time_point window_start;
    time_point last_report;

    void blend_reports(double weight)
    {
        for (std::size_t i = 0; i < admitted.size(); ++i)
        {
            admitted[i] += weight * (reported_sum[i] / report_count - admitted[i]);
        }
    }

    void add_report(const admission_level& level, time_point now)
    {
        const bool stale = !has_report || now - last_report >= outdated_report_age;
        if (has_report && !stale && now - window_start >= report_window &&
            report_count > 0)
        {
            blend_reports(std::min(1.0, report_count / full_window_reports));
            reported_sum.fill(0);
            report_count = 0;
            window_start = now;
        }
        if (stale)
        {
            reported_sum.fill(0);
            report_count = 0;
            window_start = now;
        }
        const class_shares reported = class_shares_of(level);
        for (std::size_t i = 0; i < reported_sum.size(); ++i)
        {
            reported_sum[i] += reported[i];
        }
        report_count += 1;
        if (stale)
        {
            blend_reports(1.0);
            has_report = true;
        }
        last_report = std::max(last_report, now);
    }

    /// Returns the admitted share of each class after decay: the refused share halves
    /// every half-life, and the highest classes are admitted again first.
    class_shares decayed(time_point now) const
    {
        // A node updates its level every level_interval, so a report does not decay
        // before that.
        const auto overdue = now - last_report - level_interval;
        const double overdue_ms =
            std::max(0.0, std::chrono::duration<double, std::milli>(overdue).count());
        double restored = total_refused_share(admitted) *
                          (1 - std::exp2(-overdue_ms / level_half_life_ms));
        class_shares result = admitted;
        for (double& share : result)
        {
            const double step = std::min(restored, 1 - share);
            share += step;
            restored -= step;
        }
        if (total_refused_share(result) < negligible_refused_share)
        {
            result.fill(1.0);
        }
        return result;
    }
};

admission_level level_of(const service_name& service, const class_shares& admitted)
{
    double position = 0;
    for (const double share : admitted)
    {
        position += share;
    }
    return level_at(service,
                    static_cast<std::uint32_t>(std::lround(position * fraction_count)));
}

/// Returns the first segment of a path without the query: "/price" for "/price/17?x".
std::string path_prefix(std::string_view path)
{
    const auto end = path.find_first_of("/?", path.empty() || path[0] != '/' ? 0 : 1);
    return std::string{path.substr(0, end)};
}

struct path_dependency
{
    service_name service;
    double weight = 0;
};

struct path_state
{
    std::uint32_t complete_roots = 0;
    std::vector<path_dependency> services;

    path_dependency& find_or_add(const service_name& service)
    {
        for (auto& dependency : services)
        {
            if (dependency.service == service)
            {
                return dependency;
            }
        }
        services.push_back({service, 0});
        return services.back();
    }

    void record_root(const std::vector<admission_level>& called, bool complete)
    {
        if (complete)
        {
            ++complete_roots;
        }
        const double step = std::max(min_weight_step, 1.0 / (complete_roots + 1.0));
        for (const auto& level : called)
        {
            find_or_add(level.service);
        }
        for (auto& dependency : services)
        {
            const bool is_called = std::any_of(
                called.begin(), called.end(),
                [&](const auto& level) { return level.service == dependency.service; });
            if (is_called || complete)
            {
                dependency.weight += step * ((is_called ? 1.0 : 0.0) - dependency.weight);
            }
        }
        services.erase(
            std::remove_if(services.begin(), services.end(),
                           [](const auto& dependency)
                           { return dependency.weight < min_dependency_weight; }),
            services.end());
    }
};

} // namespace

struct pressure_table::impl
{
    struct service_shard
    {
        mutable std::mutex mutex;
        std::unordered_map<service_name, service_state> services;
    };

    struct path_shard
    {
        std::mutex mutex;
        std::unordered_map<std::string, path_state> paths;
    };

    service_shard& shard_of(const service_name& service)
    {
        return services[std::hash<service_name>{}(service) % shard_count];
    }

    path_shard& shard_of(const std::string& key)
    {
        return paths[std::hash<std::string>{}(key) % shard_count];
    }

    static std::string key_of(const service_name& entry, const std::string& path)
    {
        return entry.get() + ' ' + path_prefix(path);
    }

    std::vector<service_name> likely_services(const service_name& entry,
                                              const std::string& path)
    {
        std::vector<service_name> result{entry};
        const std::string key = key_of(entry, path);
        auto& shard = shard_of(key);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.paths.find(key);
        if (found == shard.paths.end())
        {
            return result;
        }
        for (const auto& dependency : found->second.services)
        {
            if (dependency.weight >= likely_dependency_weight &&
                dependency.service != entry)
            {
                result.push_back(dependency.service);
            }
        }
        return result;
    }

    std::array<service_shard, shard_count> services;
    std::array<path_shard, shard_count> paths;
    std::atomic<std::uint32_t> refused_count{0};
};

pressure_table::pressure_table() : impl_(std::make_unique<impl>()) {}
pressure_table::~pressure_table() = default;

void pressure_table::observe_levels(const std::vector<admission_level>& levels,
                                    time_point now)
{
    for (const auto& level : levels)
    {
        auto& shard = impl_->shard_of(level.service);
        const std::lock_guard lock(shard.mutex);
        shard.services[level.service].add_report(level, now);
    }
}

void pressure_table::observe_root(const service_name& entry, const std::string& path,
                                  const std::vector<admission_level>& called,
                                  bool complete)
{
    const std::string key = impl::key_of(entry, path);
    auto& shard = impl_->shard_of(key);
    const std::lock_guard lock(shard.mutex);
    if (shard.paths.size() >= max_paths_per_shard && shard.paths.count(key) == 0)
    {
        // Bounds the memory when the first path segment is arbitrary text. Any path may
        // be evicted, because the next root request of a path in use records it again.
        shard.paths.erase(shard.paths.begin());
    }
    shard.paths[key].record_root(called, complete);
}

root_decision pressure_table::decide(std::uint16_t fraction, const root_class& call_class,
                                     const service_name& entry, const std::string& path,
                                     time_point now)
{
    const std::size_t index = class_index(call_class);
    const double rank_in_class = fraction % fraction_count / double{fraction_count};
    std::optional<root_refused> refusal;
    double lowest_share = 2;
    bool outdated = false;
    for (const auto& service : impl_->likely_services(entry, path))
    {
        auto& shard = impl_->shard_of(service);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.services.find(service);
        if (found == shard.services.end())
        {
            continue;
        }
        const class_shares admitted = found->second.decayed(now);
        if (rank_in_class >= admitted[index] && admitted[index] < lowest_share)
        {
            lowest_share = admitted[index];
            refusal =
                root_refused{service, level_of(service, admitted), service == entry};
            outdated = now - found->second.last_report >= outdated_report_age;
        }
    }
    if (!refusal)
    {
        return root_admitted{};
    }
    if (outdated && impl_->refused_count.fetch_add(1) % refusals_per_probe == 0)
    {
        return root_admitted{true};
    }
    return *refusal;
}

bool pressure_table::under_pressure(const service_name& service, const std::string& path,
                                    time_point now) const
{
    for (const auto& likely : impl_->likely_services(service, path))
    {
        const auto known_level = level(likely, now);
        if (known_level && position_of(*known_level) < open_position)
        {
            return true;
        }
    }
    return false;
}

std::optional<admission_level> pressure_table::level(const service_name& service,
                                                     time_point now) const
{
    auto& shard = impl_->shard_of(service);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.services.find(service);
    if (found == shard.services.end())
    {
        return std::nullopt;
    }
    return level_of(service, found->second.decayed(now));
}

std::vector<reported_level> pressure_table::levels(time_point now) const
{
    std::vector<reported_level> result;
    for (const auto& shard : impl_->services)
    {
        const std::lock_guard lock(shard.mutex);
        for (const auto& [service, state] : shard.services)
        {
            const auto age = std::max(milliseconds{0}, now - state.last_report);
            result.push_back({level_of(service, state.decayed(now)), age});
        }
    }
    return result;
}

void pressure_table::expire(time_point now, milliseconds age)
{
    for (auto& shard : impl_->services)
    {
        const std::lock_guard lock(shard.mutex);
        for (auto it = shard.services.begin(); it != shard.services.end();)
        {
            const bool expired = now - it->second.last_report > age;
            it = expired ? shard.services.erase(it) : std::next(it);
        }
    }
}

} // namespace fescueridge
