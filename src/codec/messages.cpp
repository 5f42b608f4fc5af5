#include "fescueridge/codec/messages.hpp"

#include <fmt/format.h>
#include <limits>
#include <nlohmann/json.hpp>

#include "fescueridge/base/cbor.hpp"
#include "fescueridge/base/error.hpp"
#include "field_reader.hpp"
#include "gateway_codec.hpp"

namespace fescueridge
{

namespace
{

using namespace detail;

// Frames are arrays, not maps: [type, lamport, field...]. Field names would be most of
// the bytes of a small call.
enum class frame_type : std::uint8_t
{
    hello = 1,
    call,
    reply,
    cancel,
    ping,
    pong,
    sheet_pull,
    sheet_push,
    demand_report,
    share_grant,
    strike,
    sheet_delta,
    forward,
    forward_reply,
    forward_cancel,
    node_report,
    config_pull,
    config_push,
    known_nodes,
    suspect,
    own_server,
    forward_recall,
    quota_ask,
    quota_grant,
    departed_start
};

json levels_to_array(const std::vector<admission_level>& levels)
{
    json result = json::array();
    for (const admission_level& level : levels)
    {
        result.push_back(level.service.get());
        result.push_back(2 * level.cut_priority + (level.cut_resends ? 1 : 0));
        result.push_back(level.cut_fraction);
    }
    return result;
}

frame_type gateway_frame_type(const forward_message&)
{
    return frame_type::forward;
}
frame_type gateway_frame_type(const forward_reply_message&)
{
    return frame_type::forward_reply;
}
frame_type gateway_frame_type(const forward_cancel_message&)
{
    return frame_type::forward_cancel;
}
frame_type gateway_frame_type(const node_report_message&)
{
    return frame_type::node_report;
}
frame_type gateway_frame_type(const config_pull_message&)
{
    return frame_type::config_pull;
}
frame_type gateway_frame_type(const config_push_message&)
{
    return frame_type::config_push;
}
frame_type gateway_frame_type(const known_nodes_message&)
{
    return frame_type::known_nodes;
}
frame_type gateway_frame_type(const suspect_message&)
{
    return frame_type::suspect;
}

frame_type gateway_frame_type(const own_server_message&)
{
    return frame_type::own_server;
}
frame_type gateway_frame_type(const forward_recall_message&)
{
    return frame_type::forward_recall;
}

frame_type gateway_frame_type(const quota_ask_message&)
{
    return frame_type::quota_ask;
}
frame_type gateway_frame_type(const quota_grant_message&)
{
    return frame_type::quota_grant;
}
frame_type gateway_frame_type(const departed_start_message&)
{
    return frame_type::departed_start;
}

/// Appends the type and the fields of a message to a frame.
struct encoder
{
    std::uint64_t lamport;

    json operator()(const hello_message& m) const
    {
        return make(frame_type::hello, m.node.get(), m.number.get(), m.domain.get(),
                    m.version.get());
    }

    json operator()(const call_message& m) const
    {
        const json key = m.key ? to_binary(m.key->get()) : json(nullptr);
        return make(frame_type::call, m.id.get(), to_binary(m.root.get()),
                    to_binary(m.caller.get()), to_binary(m.service.get()), m.rank.get(),
                    m.time_left.count(), m.allowance.get(), m.depth, m.attempt, key,
                    m.method, to_binary(m.path), to_array(m.headers), to_binary(m.body),
                    m.resend ? 1 : 0);
    }

    json operator()(const reply_message& m) const
    {
        const int reason = m.reason ? static_cast<int>(*m.reason) : -1;
        return make(frame_type::reply, m.id.get(), static_cast<int>(m.result), reason,
                    m.status, to_array(m.headers), to_binary(m.body),
                    m.allowance_left.get(), levels_to_array(m.levels), m.refusal_token);
    }

    json operator()(const cancel_message& m) const
    {
        return make(frame_type::cancel, m.id.get());
    }

    json operator()(const ping_message& m) const
    {
        return make(frame_type::ping, m.sent_ms);
    }

    json operator()(const pong_message& m) const
    {
        return make(frame_type::pong, m.sent_ms);
    }

    json operator()(const sheet_pull_message& m) const
    {
        return make(frame_type::sheet_pull, m.have.get());
    }

    json operator()(const sheet_push_message& m) const
    {
        return make(frame_type::sheet_push, m.version.get(), m.offset.get(),
                    to_binary(m.content), to_binary(m.author));
    }

    json operator()(const demand_report_message& m) const
    {
        return make(frame_type::demand_report, m.row, m.domain.get(), m.rate.get(),
                    static_cast<int>(m.hop), m.nodes);
    }

    json operator()(const share_grant_message& m) const
    {
        return make(frame_type::share_grant, m.row, m.rate.get(), m.lease.count(),
                    static_cast<int>(m.hop));
    }

    json operator()(const strike_message& m) const
    {
        return make(frame_type::strike, to_binary(encode_quarantine_record(m.record)));
    }

    json operator()(const sheet_delta_message& m) const
    {
        json steps = json::array();
        for (const sheet_step& step : m.steps)
        {
            steps.push_back(
                json::array({step.version.get(), step.offset.get(),
                             to_binary(step.author), to_binary(step.difference)}));
        }
        return make(frame_type::sheet_delta, std::move(steps));
    }

    json operator()(const unknown_message& m) const
    {
        return make(static_cast<frame_type>(m.type));
    }

    template <class Message>
    json operator()(const Message& m) const
    {
        json result = make(gateway_frame_type(m));
        append_fields(result, m);
        return result;
    }

private:
    template <class... Fields>
    json make(frame_type type, Fields&&... fields) const
    {
        json result = json::array();
        result.push_back(static_cast<int>(type));
        result.push_back(lamport);
        (result.push_back(std::forward<Fields>(fields)), ...);
        return result;
    }
};

/// Returns a part of an admission level.
std::uint16_t level_number(const json& value, std::uint32_t highest)
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > highest)
    {
        throw codec_error(fmt::format(
            "an admission level has a part that is no number from 0 to {}", highest));
    }
    return value.get<std::uint16_t>();
}

std::vector<admission_level> read_levels(field_reader& in)
{
    const json& list = in.array(3);
    std::vector<admission_level> result;
    for (std::size_t i = 0; i < list.size(); i += 3)
    {
        const auto root_class = level_number(list[i + 1], 2 * priority_count);
        const auto fraction = level_number(list[i + 2], fraction_count - 1);
        result.push_back({service_name(in.to_text(list[i])),
                          static_cast<std::uint8_t>(root_class / 2), fraction,
                          root_class % 2 == 1});
    }
    return result;
}

call_message read_call(field_reader& in)
{
    constexpr std::int64_t max_32 = std::numeric_limits<std::uint32_t>::max();
    constexpr std::int64_t max_time_left_ms = 3'600'000;
    call_message m;
    m.id = call_id(in.text());
    m.root = root_id(in.text());
    m.caller = caller_name(in.text());
    m.service = service_name(in.text());
    m.rank = priority(in.number<std::uint8_t>(0, lowest_priority));
    m.time_left = milliseconds(in.number<std::int64_t>(0, max_time_left_ms));
    m.allowance = retry_allowance(in.number<std::uint32_t>(0, max_32));
    m.depth = in.number<std::uint32_t>(1, max_32);
    m.attempt = in.number<std::uint32_t>(1, max_32);
    if (auto key = in.optional_text())
    {
        m.key = idempotency_key(std::move(*key));
    }
    m.method = in.text();
    m.path = in.text();
    m.headers = read_headers(in);
    m.body = read_body(in);
    m.resend = in.number<int>(0, 1) == 1;
    return m;
}

reply_message read_reply(field_reader& in)
{
    constexpr std::int64_t max_32 = std::numeric_limits<std::uint32_t>::max();
    reply_message m;
    m.id = call_id(in.text());
    m.result = in.number<outcome>(0, static_cast<int>(outcome::failed));
    const int reason =
        in.number<int>(-1, static_cast<int>(refusal_reason::shutting_down));
    if (reason >= 0)
    {
        m.reason = static_cast<refusal_reason>(reason);
    }
    m.status = in.number<int>(0, 999);
    m.headers = read_headers(in);
    m.body = read_body(in);
    m.allowance_left = retry_allowance(in.number<std::uint32_t>(0, max_32));
    m.levels = read_levels(in);
    m.refusal_token = in.text();
    return m;
}

sheet_delta_message read_sheet_delta(field_reader& in)
{
    sheet_delta_message m;
    for (const json& entry : in.array(1))
    {
        field_reader fields(entry);
        sheet_step step;
        step.version = sheet_version(fields.unsigned64());
        step.offset = log_offset(fields.unsigned64());
        step.author = fields.text();
        step.difference = fields.text();
        fields.expect_end();
        m.steps.push_back(std::move(step));
    }
    return m;
}

share_hop read_hop(field_reader& in)
{
    return in.number<share_hop>(0, static_cast<int>(share_hop::collector_to_holder));
}

link_message read_control_message(frame_type type, field_reader& in)
{
    constexpr std::int64_t max_32 = std::numeric_limits<std::uint32_t>::max();
    switch (type)
    {
    case frame_type::hello:
    {
        hello_message m;
        m.node = node_id(in.text());
        m.number = incarnation(in.unsigned64());
        m.domain = domain_name(in.text());
        m.version = sheet_version(in.unsigned64());
        return m;
    }
    case frame_type::cancel:
        return cancel_message{call_id(in.text())};
    case frame_type::ping:
        return ping_message{in.number<std::int64_t>()};
    case frame_type::pong:
        return pong_message{in.number<std::int64_t>()};
    case frame_type::sheet_pull:
        return sheet_pull_message{sheet_version(in.unsigned64())};
    case frame_type::sheet_push:
    {
        sheet_push_message m;
        m.version = sheet_version(in.unsigned64());
        m.offset = log_offset(in.unsigned64());
        m.content = in.text();
        m.author = in.text();
        return m;
    }
    case frame_type::demand_report:
    {
        demand_report_message m;
        m.row = in.number<std::uint32_t>(0, max_32);
        m.domain = domain_name(in.text());
        m.rate = call_rate(in.real());
        m.hop = read_hop(in);
        m.nodes = in.number<std::uint32_t>(1, max_32);
        return m;
    }
    case frame_type::share_grant:
    {
        share_grant_message m;
        m.row = in.number<std::uint32_t>(0, max_32);
        m.rate = call_rate(in.real());
        m.lease = milliseconds(in.number<std::int64_t>());
        m.hop = read_hop(in);
        return m;
    }
    case frame_type::sheet_delta:
        return read_sheet_delta(in);
    case frame_type::strike:
        return strike_message{decode_quarantine_record(in.text())};
    default:
        in.skip_rest();
        return unknown_message{static_cast<int>(type)};
    }
}

link_message read_message(frame_type type, field_reader& in)
{
    switch (type)
    {
    case frame_type::call:
        return read_call(in);
    case frame_type::reply:
        return read_reply(in);
    case frame_type::forward:
        return read_forward(in);
    case frame_type::forward_reply:
        return read_forward_reply(in);
    case frame_type::forward_cancel:
        return read_forward_cancel(in);
    case frame_type::node_report:
        return read_node_report(in);
    case frame_type::config_pull:
        return read_config_pull(in);
    case frame_type::config_push:
        return read_config_push(in);
    case frame_type::known_nodes:
        return read_known_nodes(in);
    case frame_type::suspect:
        return read_suspect(in);
    case frame_type::own_server:
        return read_own_server(in);
    case frame_type::forward_recall:
        return read_forward_recall(in);
    case frame_type::quota_ask:
        return read_quota_ask(in);
    case frame_type::quota_grant:
        return read_quota_grant(in);
    case frame_type::departed_start:
        return read_departed_start(in);
    default:
        return read_control_message(type, in);
    }
}

} // namespace

std::string encode_frame(const link_frame& frame)
{
    const json document = std::visit(encoder{frame.lamport}, frame.message);
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

link_frame decode_frame(const std::string& bytes)
{
    if (bytes.size() > max_frame_bytes)
    {
        throw codec_error(fmt::format("frame of {} bytes is too large", bytes.size()));
    }
    field_reader in(parse_cbor(bytes));
    const auto type = in.number<frame_type>(0, 255);
    link_frame frame;
    frame.lamport = in.unsigned64();
    frame.message = read_message(type, in);
    in.expect_end();
    return frame;
}

} // namespace fescueridge
