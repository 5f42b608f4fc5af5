#include <algorithm>
#include <atomic>
#include <cmath>
#include <string_view>

#include "fescueridge/overload/pressure.hpp"

namespace fescueridge
{

namespace
{

constexpr double half_life_ms = 250;

// Reports are averaged over this time, so that servers with different levels count by
// their number of replies and not by who replied last.
constexpr milliseconds report_window{50};
constexpr double full_window = 4; // reports that replace the estimate before them

constexpr milliseconds probe_age{100};
constexpr std::uint32_t probe_interval = 50; // one refused root in 50 is 2%

// From this weight on, refusing a root saves more work than it loses.
constexpr double likely_weight = 0.5;
constexpr double least_weight = 0.02;
constexpr double weight_step = 0.05;

// A remaining deficit under 1% of one class counts as open.
constexpr double open_deficit = 0.01;

constexpr std::size_t shard_count = 16;
constexpr std::size_t max_paths_per_shard = 512;

using shares = std::array<double, class_count>;

shares shares_at(const admission_level& level)
{
    shares result{};
    const double position = position_of(level) / double{fraction_count};
    for (std::size_t i = 0; i < result.size(); ++i)
    {
        result[i] = std::clamp(position - static_cast<double>(i), 0.0, 1.0);
    }
    return result;
}

double deficit_of(const shares& admitted)
{
    double deficit = 0;
    for (const double share : admitted)
    {
        deficit += 1 - share;
    }
    return deficit;
}

struct service_state
{
    shares admitted{};
    shares sum{};
    double reports = 0;
    bool known = false;
    time_point window_start;
    time_point last_report;

    void blend(double weight)
    {
        for (std::size_t i = 0; i < admitted.size(); ++i)
        {
            admitted[i] += weight * (sum[i] / reports - admitted[i]);
        }
    }

    void report(const admission_level& level, time_point now)
    {
        const bool stale = !known || now - last_report >= probe_age;
        if (known && !stale && now - window_start >= report_window && reports > 0)
        {
            blend(std::min(1.0, reports / full_window));
            sum.fill(0);
            reports = 0;
            window_start = now;
        }
        if (stale)
        {
            sum.fill(0);
            reports = 0;
            window_start = now;
        }
        const shares seen = shares_at(level);
        for (std::size_t i = 0; i < sum.size(); ++i)
        {
            sum[i] += seen[i];
        }
        reports += 1;
        if (stale)
        {
            blend(1.0);
            known = true;
        }
        last_report = std::max(last_report, now);
    }

    /// Returns the admitted share of each class after ageing. What has been regained
    /// goes to the highest classes first.
    shares aged(time_point now) const
    {
        // The executing node updates its level at this interval, so a report is current
        // for as long.
        const auto unrefreshed = now - last_report - level_interval;
        const double age =
            std::max(0.0, std::chrono::duration<double, std::milli>(unrefreshed).count());
        double regained = deficit_of(admitted) * (1 - std::exp2(-age / half_life_ms));
        shares result = admitted;
        for (double& share : result)
        {
            const double step = std::min(regained, 1 - share);
            share += step;
            regained -= step;
        }
        if (deficit_of(result) < open_deficit)
        {
            result.fill(1.0);
        }
        return result;
    }
};

admission_level level_from(const service_name& service, const shares& admitted)
{
    double position = 0;
    for (const double share : admitted)
    {
        position += share;
    }
    return level_at(service,
                    static_cast<std::uint32_t>(std::lround(position * fraction_count)));
}

/// Returns the first segment of a path, without a query: "/price/17?x" gives "/price".
std::string path_prefix(std::string_view path)
{
    const auto end = path.find_first_of("/?", path.empty() || path[0] != '/' ? 0 : 1);
    return std::string{path.substr(0, end)};
}

struct dependency
{
    service_name service;
    double weight = 0;
};

struct path_state
{
    std::uint32_t roots = 0;
    std::vector<dependency> services;

    dependency& find(const service_name& service)
    {
        for (auto& known : services)
        {
            if (known.service == service)
            {
                return known;
            }
        }
        services.push_back({service, 0});
        return services.back();
    }

    void record(const std::vector<admission_level>& touched, bool complete)
    {
        if (complete)
        {
            ++roots;
        }
        const double step = std::max(weight_step, 1.0 / (roots + 1.0));
        for (const auto& level : touched)
        {
            find(level.service);
        }
        for (auto& known : services)
        {
            const bool touches = std::any_of(touched.begin(), touched.end(),
                                             [&](const auto& level)
                                             { return level.service == known.service; });
            if (touches || complete)
            {
                known.weight += step * ((touches ? 1.0 : 0.0) - known.weight);
            }
        }
        services.erase(std::remove_if(services.begin(), services.end(),
                                      [](const auto& known)
                                      { return known.weight < least_weight; }),
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
        auto& part = shard_of(key);
        const std::lock_guard lock(part.mutex);
        const auto found = part.paths.find(key);
        if (found == part.paths.end())
        {
            return result;
        }
        for (const auto& known : found->second.services)
        {
            if (known.weight >= likely_weight && known.service != entry)
            {
                result.push_back(known.service);
            }
        }
        return result;
    }

    std::array<service_shard, shard_count> services;
    std::array<path_shard, shard_count> paths;
    std::atomic<std::uint32_t> refused{0};
};

pressure_table::pressure_table() : impl_(std::make_unique<impl>()) {}
pressure_table::~pressure_table() = default;

void pressure_table::observe(const std::vector<admission_level>& levels, time_point now)
{
    for (const auto& level : levels)
    {
        auto& part = impl_->shard_of(level.service);
        const std::lock_guard lock(part.mutex);
        part.services[level.service].report(level, now);
    }
}

void pressure_table::observe_root(const service_name& entry, const std::string& path,
                                  const std::vector<admission_level>& touched,
                                  bool complete)
{
    const std::string key = impl::key_of(entry, path);
    auto& part = impl_->shard_of(key);
    const std::lock_guard lock(part.mutex);
    if (part.paths.size() >= max_paths_per_shard && part.paths.count(key) == 0)
    {
        // Paths with free text in the first segment must not fill the memory. Any victim
        // will do, since a path that is in use is learned again by its next root.
        part.paths.erase(part.paths.begin());
    }
    part.paths[key].record(touched, complete);
}

root_decision pressure_table::decide(std::uint16_t fraction, const root_class& of,
                                     const service_name& entry, const std::string& path,
                                     time_point now)
{
    const std::size_t row = class_index(of);
    const double place = fraction % fraction_count / double{fraction_count};
    std::optional<root_refused> refusal;
    double lowest_share = 2;
    bool old = false;
    for (const auto& service : impl_->likely_services(entry, path))
    {
        auto& part = impl_->shard_of(service);
        const std::lock_guard lock(part.mutex);
        const auto found = part.services.find(service);
        if (found == part.services.end())
        {
            continue;
        }
        const shares admitted = found->second.aged(now);
        if (place >= admitted[row] && admitted[row] < lowest_share)
        {
            lowest_share = admitted[row];
            refusal =
                root_refused{service, level_from(service, admitted), service == entry};
            old = now - found->second.last_report >= probe_age;
        }
    }
    if (!refusal)
    {
        return root_admitted{};
    }
    if (old && impl_->refused.fetch_add(1) % probe_interval == 0)
    {
        return root_admitted{true};
    }
    return *refusal;
}

bool pressure_table::under_pressure(const service_name& service, const std::string& path,
                                    time_point now) const
{
    for (const auto& touched : impl_->likely_services(service, path))
    {
        const auto known = level(touched, now);
        if (known && position_of(*known) < open_position)
        {
            return true;
        }
    }
    return false;
}

std::optional<admission_level> pressure_table::level(const service_name& service,
                                                     time_point now) const
{
    auto& part = impl_->shard_of(service);
    const std::lock_guard lock(part.mutex);
    const auto found = part.services.find(service);
    if (found == part.services.end())
    {
        return std::nullopt;
    }
    return level_from(service, found->second.aged(now));
}

std::vector<reported_level> pressure_table::levels(time_point now) const
{
    std::vector<reported_level> result;
    for (const auto& part : impl_->services)
    {
        const std::lock_guard lock(part.mutex);
        for (const auto& [service, state] : part.services)
        {
            const auto age = std::max(milliseconds{0}, now - state.last_report);
            result.push_back({level_from(service, state.aged(now)), age});
        }
    }
    return result;
}

void pressure_table::expire(time_point now, milliseconds age)
{
    for (auto& part : impl_->services)
    {
        const std::lock_guard lock(part.mutex);
        for (auto it = part.services.begin(); it != part.services.end();)
        {
            const bool old = now - it->second.last_report > age;
            it = old ? part.services.erase(it) : std::next(it);
        }
    }
}

} // namespace fescueridge
