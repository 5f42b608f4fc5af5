#include "gateway_codec.hpp"

#include <algorithm>
#include <cmath>

namespace fescueridge::detail
{
namespace
{

constexpr std::int64_t max_32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::int64_t max_time_ms = longest_time.count();
constexpr std::int64_t max_age_ms = 10 * max_time_ms;

template <class... Fields>
void append(json& out, Fields&&... fields)
{
    (out.push_back(std::forward<Fields>(fields)), ...);
}

json to_array(const server_record& server)
{
    json out = json::array();
    append(out, to_binary(server.id.get()), to_binary(server.service.get()),
           server.slots.get(), static_cast<int>(server.state), server.born_ms,
           server.sequence);
    return out;
}

server_record read_server(const json& fields)
{
    field_reader in(fields);
    server_record server;
    server.id = instance_id(in.text());
    server.service = service_name(in.text());
    server.slots = slot_count(in.number<std::uint32_t>(0, max_32));
    server.state = in.number<server_state>(0, static_cast<int>(server_state::gone));
    server.born_ms = in.number<std::int64_t>();
    server.sequence = in.unsigned64();
    in.expect_end();
    return server;
}

/// Amounts are written in thousandths: most bytes of a report are numbers.
constexpr double thousandths = 1000;

/// Larger amounts are cut to this one, which the reader's numbers hold.
constexpr double max_amount = 1e15;

json to_thousandths(double amount)
{
    return std::llround(std::clamp(amount, 0.0, max_amount) * thousandths);
}

double from_thousandths(field_reader& in)
{
    return static_cast<double>(in.number<std::int64_t>()) / thousandths;
}

/// A rate of 0 stands for no limit.
json to_thousandths(const std::optional<call_rate>& rate)
{
    constexpr double lowest = 1 / thousandths;
    return rate ? to_thousandths(std::max(lowest, rate->get())) : json(0);
}

std::optional<call_rate> read_max_rate(field_reader& in)
{
    const double rate = from_thousandths(in);
    return rate > 0 ? std::optional<call_rate>(call_rate(rate)) : std::nullopt;
}

/// A rank that is not compact is written as a list of its two parts.
json to_field(const request_rank& rank)
{
    if (is_compact(rank))
        return to_compact(rank);
    return json::array({rank.tenant.get(), rank.route.get()});
}

request_rank read_rank(field_reader& in)
{
    if (!in.next_is_array())
        return from_compact(in.number<std::uint64_t>(0, compact_rank_count - 1));
    field_reader parts(in.array(1));
    const routing_priority tenant(parts.unsigned64());
    const routing_priority route(parts.unsigned64());
    parts.expect_end();
    return {tenant, route};
}

json to_array(const std::vector<route_arrivals>& entries)
{
    json out = json::array();
    for (const auto& entry : entries)
    {
        auto fields =
            json::array({to_binary(entry.route.get()), to_thousandths(entry.new_per_s),
                         to_thousandths(entry.returned_per_s)});
        if (entry.rank)
            fields.push_back(to_field(*entry.rank));
        out.push_back(std::move(fields));
    }
    return out;
}

std::vector<route_arrivals> read_arrivals(field_reader& in)
{
    std::vector<route_arrivals> entries;
    for (const json& entry : in.array(1))
    {
        field_reader fields(entry);
        route_arrivals read;
        read.route = route_name(fields.text());
        read.new_per_s = from_thousandths(fields);
        read.returned_per_s = from_thousandths(fields);
        if (fields.has_more())
            read.rank = read_rank(fields);
        fields.expect_end();
        entries.push_back(std::move(read));
    }
    return entries;
}

json to_array(const std::vector<route_slot_time>& entries)
{
    json out = json::array();
    for (const auto& entry : entries)
        out.push_back(
            json::array({to_binary(entry.route.get()), to_thousandths(entry.ms)}));
    return out;
}

std::vector<route_slot_time> read_slot_times(field_reader& in)
{
    std::vector<route_slot_time> entries;
    for (const json& entry : in.array(1))
    {
        field_reader fields(entry);
        route_slot_time read;
        read.route = route_name(fields.text());
        read.ms = from_thousandths(fields);
        fields.expect_end();
        entries.push_back(std::move(read));
    }
    return entries;
}

std::vector<call_edge> read_calls(field_reader& in)
{
    std::vector<call_edge> calls;
    for (const json& entry : in.array(1))
    {
        field_reader fields(entry);
        call_edge edge;
        edge.from = route_name(fields.text());
        edge.to = route_name(fields.text());
        edge.calls_per_run = from_thousandths(fields);
        fields.expect_end();
        calls.push_back(std::move(edge));
    }
    return calls;
}

server_load read_load(field_reader& in)
{
    server_load load;
    load.running = in.number<std::uint32_t>(0, max_32);
    load.waiting = in.number<std::uint32_t>(0, max_32);
    return load;
}

} // namespace

void append_fields(json& out, const forward_message& m)
{
    append(out, m.number, to_binary(m.request.get()), to_binary(m.route.get()),
           to_binary(m.service.get()), to_binary(m.caller.get()), m.time_left.count(),
           m.target_latency.count(), to_field(m.rank), m.from_server ? 1 : 0,
           static_cast<int>(m.repeat), m.method, to_binary(m.target),
           to_binary(m.authority), to_array(m.headers), to_binary(m.body));
    if (!m.tenant.get().empty())
        append(out, to_binary(m.tenant.get()));
}

forward_message read_forward(field_reader& in)
{
    forward_message m;
    m.number = in.unsigned64();
    m.request = request_id(in.text());
    m.route = route_name(in.text());
    m.service = service_name(in.text());
    m.caller = service_name(in.text());
    m.time_left = milliseconds(in.number<std::int64_t>(0, max_time_ms));
    m.target_latency = milliseconds(in.number<std::int64_t>(0, max_time_ms));
    m.rank = read_rank(in);
    m.from_server = in.number<int>(0, 1) == 1;
    m.repeat = in.number<repeat_rule>(0, static_cast<int>(repeat_rule::at_most_once));
    m.method = in.text();
    m.target = in.text();
    m.authority = in.text();
    m.headers = read_headers(in);
    m.body = read_body(in);
    if (in.has_more())
        m.tenant = tenant_name(in.text());
    return m;
}

void append_fields(json& out, const forward_reply_message& m)
{
    append(out, m.number, static_cast<int>(m.result), static_cast<int>(m.failure),
           m.status, to_array(m.headers), to_binary(m.body), m.load.running,
           m.load.waiting);
}

forward_reply_message read_forward_reply(field_reader& in)
{
    forward_reply_message m;
    m.number = in.unsigned64();
    m.result = in.number<forward_result>(0, static_cast<int>(forward_result::unknown));
    m.failure =
        in.number<forward_failure>(0, static_cast<int>(forward_failure::cancelled));
    m.status = in.number<int>(0, 999);
    m.headers = read_headers(in);
    m.body = read_body(in);
    m.load = read_load(in);
    return m;
}

void append_fields(json& out, const forward_cancel_message& m)
{
    append(out, m.number);
}

forward_cancel_message read_forward_cancel(field_reader& in)
{
    return {in.unsigned64()};
}

void append_fields(json& out, const forward_recall_message& m)
{
    append(out, m.number);
}

forward_recall_message read_forward_recall(field_reader& in)
{
    return {in.unsigned64()};
}

void append_fields(json& out, const node_report_message& m)
{
    json calls = json::array();
    for (const call_edge& edge : m.calls)
        calls.push_back(json::array({to_binary(edge.from.get()), to_binary(edge.to.get()),
                                     to_thousandths(edge.calls_per_run)}));
    json servers = json::array();
    if (m.server)
        servers.push_back(to_array(*m.server));
    append(out, m.version.get(), m.config_unconfirmed_for.count(), std::move(servers),
           m.accepting ? 1 : 0, m.load.running, m.load.waiting, m.limit,
           to_thousandths(m.max_rate), to_thousandths(m.queue_wait_share),
           to_thousandths(m.service_ms), to_array(m.arrivals), m.with_learned ? 1 : 0,
           to_array(m.slot_times), std::move(calls));
    if (m.rejected_share > 0 || m.running_work_ms > 0 || m.waiting_work_ms > 0)
        append(out, to_thousandths(m.rejected_share), std::llround(m.running_work_ms),
               std::llround(m.waiting_work_ms));
}

node_report_message read_node_report(field_reader& in)
{
    node_report_message m;
    m.version = config_version(in.unsigned64());
    m.config_unconfirmed_for = milliseconds(in.number<std::int64_t>(0, max_age_ms));
    for (const json& fields : in.array(1))
        m.server = read_server(fields);
    m.accepting = in.number<int>(0, 1) == 1;
    m.load = read_load(in);
    m.limit = in.number<std::uint32_t>(0, max_32);
    m.max_rate = read_max_rate(in);
    m.queue_wait_share = from_thousandths(in);
    m.service_ms = from_thousandths(in);
    m.arrivals = read_arrivals(in);
    m.with_learned = in.number<int>(0, 1) == 1;
    m.slot_times = read_slot_times(in);
    m.calls = read_calls(in);
    if (in.has_more())
        m.rejected_share = std::clamp(from_thousandths(in), 0.0, 1.0);
    if (in.has_more())
    {
        m.running_work_ms = static_cast<double>(in.number<std::int64_t>(0, max_age_ms));
        m.waiting_work_ms = static_cast<double>(in.number<std::int64_t>(0, max_age_ms));
    }
    return m;
}

void append_fields(json& out, const config_pull_message& m)
{
    append(out, m.have.get());
}

config_pull_message read_config_pull(field_reader& in)
{
    return {config_version(in.unsigned64())};
}

void append_fields(json& out, const config_push_message& m)
{
    append(out, m.version.get(), to_binary(m.content));
}

config_push_message read_config_push(field_reader& in)
{
    config_push_message m;
    m.version = config_version(in.unsigned64());
    m.content = in.text();
    return m;
}

void append_fields(json& out, const known_nodes_message& m)
{
    json nodes = json::array();
    for (const node_record& node : m.nodes)
        nodes.push_back(json::array({to_binary(node.node.get()), node.started_ms,
                                     to_binary(node.domain.get()),
                                     to_binary(node.link.address), node.link.port}));
    append(out, std::move(nodes));
}

known_nodes_message read_known_nodes(field_reader& in)
{
    constexpr std::int64_t max_port = 65'535;
    known_nodes_message m;
    for (const json& entry : in.array(1))
    {
        field_reader fields(entry);
        node_record node;
        node.node = node_id(fields.text());
        node.started_ms = fields.number<std::int64_t>();
        node.domain = domain_name(fields.text());
        node.link.address = fields.text();
        node.link.port = fields.number<std::uint16_t>(1, max_port);
        fields.expect_end();
        m.nodes.push_back(std::move(node));
    }
    return m;
}

void append_fields(json& out, const suspect_message& m)
{
    append(out, m.request.get(), m.crash);
}

suspect_message read_suspect(field_reader& in)
{
    suspect_message m;
    m.request = fingerprint(in.unsigned64());
    m.crash = in.unsigned64();
    return m;
}

void append_fields(json& out, const quota_ask_message& m)
{
    append(out, to_binary(m.quota.get()), m.tokens);
}

quota_ask_message read_quota_ask(field_reader& in)
{
    quota_ask_message m;
    m.quota = quota_name(in.text());
    m.tokens = in.number<std::uint32_t>(0, max_32);
    return m;
}

void append_fields(json& out, const quota_grant_message& m)
{
    append(out, to_binary(m.quota.get()), m.tokens, m.retry_after.count());
}

quota_grant_message read_quota_grant(field_reader& in)
{
    quota_grant_message m;
    m.quota = quota_name(in.text());
    m.tokens = in.number<std::uint32_t>(0, max_32);
    m.retry_after = milliseconds(in.number<std::int64_t>(0, max_time_ms));
    return m;
}

void append_fields(json& out, const own_server_message& m)
{
    append(out, json::array({to_array(m.server)}), to_thousandths(m.max_rate));
}

own_server_message read_own_server(field_reader& in)
{
    const json& servers = in.array(1);
    if (servers.size() != 1)
        throw codec_error("message does not name one server");
    own_server_message m;
    m.server = read_server(servers.front());
    m.max_rate = read_max_rate(in);
    return m;
}

void append_fields(json& out, const departed_start_message& m)
{
    append(out, to_binary(m.node.get()), to_binary(m.id.get()), m.until_ms,
           m.recorded_ms);
}

departed_start_message read_departed_start(field_reader& in)
{
    departed_start_message m;
    m.node = node_id(in.text());
    m.id = instance_id(in.text());
    m.until_ms = in.number<std::int64_t>();
    m.recorded_ms = in.number<std::int64_t>();
    return m;
}

} // namespace fescueridge::detail
