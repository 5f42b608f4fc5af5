#include "report.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <optional>

#include <nlohmann/json.hpp>

namespace load
{

namespace
{

using json = nlohmann::ordered_json;

constexpr double slice_ms = 100;

// Windows of this many slices; single slices hold too few requests for a percentile.
constexpr std::size_t window_slices = 5;

constexpr double goodput_share = 0.95;
constexpr double latency_factor = 1.5;

using filter = std::function<bool(const sample&)>;

/// Returns a percentile of sorted values by the nearest-rank method.
double percentile(const std::vector<float>& sorted, double share)
{
    if (sorted.empty())
    {
        return 0;
    }
    const double rank = std::ceil(share * static_cast<double>(sorted.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return static_cast<double>(sorted[std::min(index, sorted.size() - 1)]);
}

/// Requests of one stretch of time.
struct group
{
    std::uint64_t sent = 0;
    std::uint64_t ok = 0;
    std::vector<float> latencies; ///< Of the ok ones.

    void add(const sample& item)
    {
        ++sent;
        if (item.result == request_result::ok)
        {
            ++ok;
            latencies.push_back(item.latency_ms);
        }
    }

    double percentile_ms(double share)
    {
        std::sort(latencies.begin(), latencies.end());
        return percentile(latencies, share);
    }

    double ok_share() const
    {
        return sent == 0 ? 1.0 : static_cast<double>(ok) / static_cast<double>(sent);
    }
};

json latency_json(group& of)
{
    return {{"p50", of.percentile_ms(0.5)},
            {"p95", of.percentile_ms(0.95)},
            {"p99", of.percentile_ms(0.99)},
            {"max", of.percentile_ms(1.0)}};
}

json counts_json(const std::vector<sample>& samples, const filter& selected,
                 const attempt_counts& counts, double seconds)
{
    group all;
    std::uint64_t results[5] = {};
    for (const sample& item : samples)
    {
        if (selected(item))
        {
            all.add(item);
            ++results[static_cast<std::size_t>(item.result)];
        }
    }
    json result;
    result["sent"] = all.sent;
    result["ok"] = all.ok;
    result["late"] = results[static_cast<std::size_t>(request_result::late)];
    result["refused_requests"] =
        results[static_cast<std::size_t>(request_result::refused)];
    result["lost"] = results[static_cast<std::size_t>(request_result::lost)];
    result["wrong_answers"] = counts.wrong;
    result["attempts"] = counts.attempts;
    result["refused"] = counts.refused;
    result["outcomes"] = counts.outcomes;
    result["wire_failures"] = counts.wire;
    result["goodput_per_s"] = static_cast<double>(all.ok) / seconds;
    result["latency_ms"] = latency_json(all);
    return result;
}

std::vector<group> slice(const run_record& record, const filter& selected, double start,
                         double end)
{
    const auto count = static_cast<std::size_t>(std::ceil((end - start) / slice_ms));
    std::vector<group> result(count);
    for (const sample& item : record.samples)
    {
        const double offset = (static_cast<double>(item.intended_ms) - start) / slice_ms;
        if (selected(item) && offset >= 0 && offset < static_cast<double>(count))
        {
            result[static_cast<std::size_t>(offset)].add(item);
        }
    }
    return result;
}

json series_json(const run_record& record, const filter& selected)
{
    // By the end of the requests, as a caller sees them.
    const auto count = static_cast<std::size_t>(record.duration_ms / slice_ms) + 1;
    std::vector<group> slices(count);
    for (const sample& item : record.samples)
    {
        const double end = static_cast<double>(item.intended_ms + item.latency_ms);
        const auto index = static_cast<std::size_t>(std::max(end, 0.0) / slice_ms);
        if (selected(item))
        {
            slices[std::min(index, count - 1)].add(item);
        }
    }
    json ok = json::array();
    json p99 = json::array();
    for (group& item : slices)
    {
        ok.push_back(item.ok);
        p99.push_back(item.percentile_ms(0.99));
    }
    return {{"slice_ms", slice_ms}, {"ok", ok}, {"p99_ms", p99}};
}

/// The stretch before the first surge and that after the last one.
struct surge_times
{
    double before_start = 0;
    double before_end = 0;
    double after_start = 0;
};

std::optional<surge_times> find_surge(const load_plan& plan)
{
    std::optional<surge_times> result;
    double start = 0;
    double previous_start = 0;
    for (const phase& item : plan.phases)
    {
        const double end = start + static_cast<double>(item.duration.count());
        if (item.surge && !result && start > 0)
        {
            result = surge_times{previous_start, start, end};
        }
        if (item.surge && result)
        {
            result->after_start = end;
        }
        previous_start = start;
        start = end;
    }
    return result;
}

group join(const std::vector<group>& slices, std::size_t first, std::size_t count)
{
    group result;
    for (std::size_t i = first; i < first + count; ++i)
    {
        result.sent += slices[i].sent;
        result.ok += slices[i].ok;
        result.latencies.insert(result.latencies.end(), slices[i].latencies.begin(),
                                slices[i].latencies.end());
    }
    return result;
}

json recovery_json(const load_plan& plan, const run_record& record,
                   const filter& selected, bool by_latency)
{
    const auto times = find_surge(plan);
    if (!times)
    {
        return nullptr;
    }
    const std::vector<group> before_slices =
        slice(record, selected, times->before_start, times->before_end);
    group before = join(before_slices, 0, before_slices.size());
    const double goodput = before.ok_share() * goodput_share;
    const double latency = before.percentile_ms(0.95) * latency_factor;
    const std::vector<group> after =
        slice(record, selected, times->after_start, record.duration_ms);
    if (after.size() < window_slices || before.sent == 0)
    {
        return nullptr;
    }
    std::optional<double> recovered;
    for (std::size_t first = after.size() - window_slices + 1; first-- > 0;)
    {
        group window = join(after, first, window_slices);
        const bool slow = by_latency && window.percentile_ms(0.95) > latency;
        const bool good = window.ok_share() >= goodput && !slow;
        if (!good)
        {
            break;
        }
        recovered = static_cast<double>(first) * slice_ms;
    }
    return recovered ? json(*recovered) : json(nullptr);
}

} // namespace

std::string make_report(const load_plan& plan, const run_record& record,
                        std::uint64_t seed)
{
    json result;
    result["seed"] = seed;
    result["duration_ms"] = record.duration_ms;
    result["max_send_lag_ms"] = record.max_send_lag_ms;
    const filter all = [](const sample&)
    {
        return true;
    };
    result["recovery_ms"] = recovery_json(plan, record, all, true);
    result["recovery_goodput_ms"] = recovery_json(plan, record, all, false);
    for (std::size_t i = 0; i < plan.classes.size(); ++i)
    {
        json entry;
        entry["name"] = plan.classes[i].name;
        const filter in_class = [&](const sample& item)
        {
            return item.of_class == i;
        };
        entry["recovery_ms"] = recovery_json(plan, record, in_class, true);
        entry["recovery_goodput_ms"] = recovery_json(plan, record, in_class, false);
        for (std::size_t p = 0; p < plan.phases.size(); ++p)
        {
            const filter in_phase = [&](const sample& item)
            {
                return item.of_class == i && item.in_phase == p;
            };
            const double seconds =
                static_cast<double>(plan.phases[p].duration.count()) / 1000;
            json counts =
                counts_json(record.samples, in_phase, record.counts[i][p], seconds);
            counts["name"] = plan.phases[p].name;
            entry["phases"].push_back(std::move(counts));
        }
        entry["series"] = series_json(record, in_class);
        result["classes"].push_back(std::move(entry));
    }
    result["series"] = series_json(record, all);
    return result.dump();
}

} // namespace load
