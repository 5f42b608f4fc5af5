#include "metrics_text.hpp"

#include <fmt/format.h>

namespace fescueridge::gateway
{
namespace
{

double in_seconds(milliseconds time)
{
    constexpr double ms_per_s = 1000;
    return static_cast<double>(time.count()) / ms_per_s;
}

class text_writer
{
public:
    template <class Value>
    void add(std::string_view name, std::string_view labels, Value value)
    {
        if (labels.empty())
            out_ += fmt::format("fescueridge_{} {}\n", name, value);
        else
            out_ += fmt::format("fescueridge_{}{{{}}} {}\n", name, labels, value);
    }

    void add_histogram(std::string_view name, const std::string& labels,
                       const duration_histogram& values)
    {
        const auto bucket_name = fmt::format("{}_bucket", name);
        const std::string label_prefix = labels.empty() ? "" : labels + ",";
        for (const auto& bucket : values.buckets())
            add(bucket_name,
                fmt::format("{}le=\"{}\"", label_prefix, in_seconds(bucket.bound)),
                bucket.count);
        add(bucket_name, label_prefix + "le=\"+Inf\"", values.count());
        add(fmt::format("{}_sum", name), labels, in_seconds(values.sum()));
        add(fmt::format("{}_count", name), labels, values.count());
    }

    std::string take() { return std::move(out_); }

private:
    std::string out_;
};

void add_router(text_writer& out, const request_router& router)
{
    const auto& counters = router.counters();
    out.add("requests_received_total", "", counters.received);
    out.add("requests_of_server_total", "", counters.server_calls);
    out.add("requests_answered_total", "", counters.answered);
    out.add("requests_abandoned_total", "", counters.abandoned);
    out.add("requests_retried_total", "", counters.retried);
    for (const auto& [reason, count] : counters.rejected)
        out.add("requests_rejected_total",
                fmt::format("reason=\"{}\"", to_string(reason)), count);
    for (const auto& [key, latency] : router.latencies())
        out.add_histogram("request_duration_seconds",
                          fmt::format("service=\"{}\",outcome=\"{}\"", key.first.get(),
                                      to_string(key.second)),
                          latency);
    for (const auto& [quota, counts] : router.quotas().counters())
    {
        const auto add = [&, name = quota.get()](const char* outcome, std::uint64_t count)
        {
            out.add("tenant_requests_total",
                    fmt::format("tenant=\"{}\",outcome=\"{}\"", name, outcome), count);
        };
        add("asked", counts.asked);
        add("admitted", counts.admitted);
        add("refused", counts.refused);
        add("returned", counts.returned);
    }
    for (const auto& arrivals : router.arrivals())
    {
        for (const bool client_retry : {false, true})
        {
            const auto rank = router.rank_of(arrivals);
            const auto labels =
                fmt::format("route=\"{}\",priority=\"{}\",returned=\"{}\"",
                            arrivals.route.get(), to_string(rank), client_retry);
            out.add("route_arrivals_per_second", labels,
                    client_retry ? arrivals.returned_per_s : arrivals.new_per_s);
            out.add("route_admitted_share", labels,
                    router.shares().share({arrivals.route, rank, client_retry}));
        }
    }
}

void add_executor(text_writer& out, const run_executor& executor)
{
    const auto counters = executor.counters();
    out.add("runs_answered_total", "", counters.answered);
    out.add("runs_turned_away_total", "", counters.turned_away);
    out.add("runs_rejected_by_server_total", "", counters.rejected_by_server);
    out.add("runs_broken_off_total", "", counters.broken_off);
    out.add("health_checks_total", "", counters.health_checks);
    out.add("runs_delayed_by_rate_total", "", counters.delayed_by_rate);
    out.add("server_rates_unusable_total", "", counters.unusable_rates);
    out.add("server_connections_opened_total", "", executor.connections_opened());
    node_report_message report;
    executor.fill_report(report);
    out.add("server_accepts", "", report.accepting ? 1 : 0);
    out.add("server_running", "", report.load.running);
    out.add("server_waiting", "", report.load.waiting);
    out.add("server_limit", "", report.limit);
    out.add("server_max_rate_per_second", "",
            report.max_rate ? report.max_rate->get() : 0);
    out.add("server_queue_wait_share", "", report.queue_wait_share);
    out.add("server_slot_milliseconds", "", report.service_ms);
    out.add_histogram("run_duration_seconds", "", executor.run_times());
}

} // namespace

std::string metrics_text(const request_router& router, const run_executor& executor,
                         const peers& node_peers, const decision_log& decisions,
                         const config_status& config, const log_status& log,
                         const client_status& clients)
{
    text_writer out;
    add_router(out, router);
    add_executor(out, executor);
    out.add("client_bytes_held", "", clients.bytes);
    out.add("client_bytes_held_peak", "", clients.peak_bytes);
    out.add("client_connections", "", clients.connections);
    for (const auto& [kind, count] : clients.faults)
        out.add("client_faults_total", fmt::format("cause=\"{}\"", to_string(kind)),
                count);
    out.add("peers_known", "", node_peers.all().size());
    out.add("peers_linked", "", node_peers.linked_count());
    const auto traffic = node_peers.traffic();
    out.add("link_bytes_sent_total", "", traffic.bytes_sent);
    out.add("link_bytes_received_total", "", traffic.bytes_received);
    out.add("link_unknown_messages_total", "", traffic.unknown_messages);
    const auto* table = config.table;
    out.add("config_version", "", table ? table->config().version.get() : 0);
    out.add("config_faults", "", table ? table->config().faults.size() : 0);
    out.add("config_unusable_version", "", config.unusable_version.get());
    out.add("config_unusable_records_total", "", config.unusable_records);
    out.add("config_unconfirmed_seconds", "", in_seconds(log.config_unconfirmed_for));
    out.add("records_skipped_total", "", log.records_skipped);
    out.add("departures_waiting", "", log.departures_waiting);
    out.add("log_lines_left_out_total", "", decisions.dropped_lines());
    return out.take();
}

} // namespace fescueridge::gateway
