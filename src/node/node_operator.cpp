#include <map>
#include <nlohmann/json.hpp>

#include "node_impl.hpp"

namespace fescueridge
{

namespace
{

nlohmann::ordered_json to_json(const duration_summary& times)
{
    return {{"count", times.count}, {"mean_ms", times.mean}, {"p50_ms", times.p50},
            {"p95_ms", times.p95},  {"p99_ms", times.p99},   {"max_ms", times.max}};
}

/// Converts the decision on a submitted sheet to the result for the operator.
struct decision_writer
{
    submit_result& result;

    void operator()(const submit_not_seen&) const
    {
        result.status = submit_status::pending;
    }

    void operator()(const submit_accepted& accepted) const
    {
        result.status = submit_status::accepted;
        result.version = accepted.version.get();
    }

    void operator()(const submit_rejected& rejected) const
    {
        result.status = submit_status::lost;
        result.version = rejected.version.get();
        result.winner_author = rejected.winner_author;
        result.winner_submit = rejected.winner_id;
    }
};

} // namespace

operator_functions node::impl::make_operator_functions()
{
    operator_functions functions;
    functions.status = [this]
    {
        return status();
    };
    functions.members = [this]
    {
        return members();
    };
    functions.pressure = [this]
    {
        return pressure();
    };
    functions.sheet = [this]
    {
        sheet_view view;
        if (const auto snapshot = sheets_.get())
        {
            view.version = snapshot->version.get();
            view.author = snapshot->author;
            view.content = snapshot->rules->content();
        }
        return view;
    };
    functions.submit = [this](const submit_request& request)
    {
        return submit(request);
    };
    functions.drain = [this]
    {
        return drain();
    };
    functions.announce = [this](const server_announcement& server)
    {
        monitor_.announce(server);
        update_claim_client();
    };
    functions.metrics = [this]
    {
        return metrics();
    };
    functions.events = &events_;
    return functions;
}

std::vector<domain_view> node::impl::domain_views() const
{
    std::map<std::string, domain_view> views;
    for (const member_view& member : peers_.members())
    {
        domain_view& view = views[member.record.domain.get()];
        view.name = member.record.domain.get();
        if (member.status == liveness::dead)
        {
            continue;
        }
        const std::uint64_t version = member.record.sheet.get();
        view.lowest_version =
            view.nodes == 0 ? version : std::min(view.lowest_version, version);
        view.reachable = true;
        ++view.nodes;
    }
    std::vector<domain_view> result;
    result.reserve(views.size());
    for (auto& [name, view] : views)
    {
        result.push_back(std::move(view));
    }
    return result;
}

status_view node::impl::status() const
{
    status_view view;
    view.node = settings_.node.get();
    view.incarnation = incarnation_.get();
    view.domain = settings_.domain.get();
    view.region = settings_.region;
    view.version = sheets_.version().get();
    view.ready = sheet_sync_->ready() && !stopping_;
    view.domains = domain_views();
    view.server.state = "none";
    if (const auto server = monitor_.server())
    {
        const executor_load load = executor_.load();
        view.server.service = server->service.get();
        view.server.state = std::string(to_string(server->state));
        view.server.slots = server->slots.get();
        view.server.limit = load.limit;
        view.server.running = load.running;
        view.server.queued = load.queued;
    }
    // Every node reads the quarantine stream of the log; only a few read the sheet
    // stream.
    view.log.reachable = quarantine_->log_reachable();
    if (const auto snapshot = sheets_.get())
    {
        view.log.offset = snapshot->offset.get();
    }
    return view;
}

members_view node::impl::members() const
{
    members_view view;
    const std::vector<member_view> known = peers_.members();
    view.members.reserve(known.size());
    for (const member_view& member : known)
    {
        member_status entry;
        entry.node = member.record.node.get();
        entry.incarnation = member.record.incarnation_number.get();
        entry.domain = member.record.domain.get();
        entry.region = member.record.region;
        entry.service = member.record.service.get();
        entry.state = std::string(to_string(member.record.state));
        entry.liveness = std::string(to_string(member.status));
        entry.slots = member.record.slots.get();
        entry.version = member.record.sheet.get();
        view.members.push_back(std::move(entry));
    }
    return view;
}

pressure_view node::impl::pressure() const
{
    std::vector<reported_level> levels = pressure_.levels(clock::now());
    if (const auto own = executor_.level())
    {
        levels.push_back({*own, milliseconds{0}});
    }
    // One entry per service, with the most restrictive level.
    std::map<std::string, reported_level> lowest;
    for (const reported_level& known : levels)
    {
        const auto [entry, is_new] = lowest.try_emplace(known.level.service.get(), known);
        if (!is_new && position_of(known.level) < position_of(entry->second.level))
        {
            entry->second = known;
        }
    }
    pressure_view view;
    view.services.reserve(lowest.size());
    for (const auto& [service, known] : lowest)
    {
        view.services.push_back({service, known.level.cut_priority,
                                 known.level.cut_fraction, known.level.cut_resends,
                                 static_cast<std::uint64_t>(known.age.count())});
    }
    return view;
}

submit_result node::impl::submit(const submit_request& request)
{
    submit_result result;
    result.current_version = sheets_.version().get();
    const sheet_or_faults parsed = parse_sheet(request.content);
    if (const auto* faults = std::get_if<std::vector<sheet_fault>>(&parsed))
    {
        result.status = submit_status::refused;
        result.faults = *faults;
        return result;
    }
    config_follower* follower = sheet_sync_->follower();
    if (follower == nullptr)
    {
        return result; // no log service configured; the status stays `unavailable`
    }
    try
    {
        const submit_decision decision =
            follower->submit(request.content, sheet_version(request.base), request.author,
                             request.submit_id);
        std::visit(decision_writer{result}, decision);
    }
    catch (const log_unavailable_error& problem)
    {
        events_.record("submit_unavailable", {{"reason", std::string(problem.what())}});
    }
    result.current_version = sheets_.version().get();
    return result;
}

drain_result node::impl::drain()
{
    monitor_.drain();
    drain_result result;
    result.state = std::string(to_string(server_state::draining));
    result.in_flight = static_cast<std::uint32_t>(executor_.in_flight());
    return result;
}

std::string node::impl::metrics() const
{
    const gossip_counters gossip = gossip_->counters();
    const executor_load load = executor_.load();
    const call_counts& counts = call_ports_.counts();
    const nlohmann::ordered_json body{
        {"calls_ok", counts.ok.load()},
        {"calls_not_run", counts.not_run.load()},
        {"calls_unknown", counts.unknown.load()},
        {"calls_failed", counts.failed.load()},
        {"in_flight", in_flight()},
        {"limit", load.limit},
        {"running", load.running},
        {"queued", load.queued},
        {"call_time", to_json(call_ports_.call_time())},
        {"queue_time", to_json(load.queue_time)},
        {"server_time", to_json(load.server_time)},
        {"links", hub_->links().size()},
        {"link_bytes_sent", hub_->counters().bytes_sent},
        {"link_bytes_received", hub_->counters().bytes_received},
        {"gossip_bytes_sent", gossip.bytes_sent},
        {"gossip_bytes_received", gossip.bytes_received},
        {"caller_connections", caller_port_->open_connections()},
    };
    return body.dump();
}

} // namespace fescueridge
