#include "targets.hpp"

#include <algorithm>
#include <memory>
#include <variant>

#include "fescueridge/base/error.hpp"
#include "fescueridge/base/settings.hpp"
#include "fescueridge/codec/messages.hpp"
#include "fescueridge/node/call_ports.hpp"
#include "fescueridge/node/operator_port.hpp"
#include "fescueridge/sheet/explain.hpp"
#include "fescueridge/sheet/operator_api.hpp"
#include "fescueridge/state/claims.hpp"
#include "fescueridge/state/config_state.hpp"
#include "fescueridge/state/contacts_log.hpp"
#include "fescueridge/state/content_difference.hpp"
#include "http_message.hpp"
#include "wire.hpp"

namespace malformed_input
{

namespace
{

using namespace fescueridge;

/// Makes a target whose reader throws Error for input that it refuses. What it accepts
/// must come back unchanged when it is written and read again.
template <class Error, class Read, class Write>
target round_trip(std::string name, input_form form, std::vector<std::string> samples,
                  Read read, Write write)
{
    const auto check = [read, write](const std::string& input, mutator&)
    {
        std::string written;
        try
        {
            written = write(read(input));
        }
        catch (const Error&)
        {
            return false;
        }
        if (write(read(written)) != written)
        {
            throw property_error("an accepted input changes when it is written and read");
        }
        return true;
    };
    return {std::move(name), form, std::move(samples), check};
}

/// Makes a target that is only read.
template <class Error, class Read>
target read_only(std::string name, input_form form, std::vector<std::string> samples,
                 Read read)
{
    const auto check = [read](const std::string& input, mutator&)
    {
        try
        {
            read(input);
        }
        catch (const Error&)
        {
            return false;
        }
        return true;
    };
    return {std::move(name), form, std::move(samples), check};
}

quarantine_record sample_quarantine()
{
    quarantine_record record;
    record.request = fingerprint(77);
    record.crashes = {{incarnation(5), true}, {incarnation(9), false}};
    record.cleared = {incarnation(9)};
    record.last_attempt_wall_ms = 1'700'000'000'000;
    return record;
}

std::vector<std::string> frame_samples()
{
    call_message call;
    call.id = call_id("a1-7");
    call.root = root_id("a1-r7");
    call.caller = caller_name("tablet");
    call.service = service_name("till-pricing");
    call.time_left = milliseconds(250);
    call.allowance = retry_allowance(3);
    call.key = idempotency_key("k1");
    call.method = "POST";
    call.path = "/price";
    call.headers = {{"Accept", "*/*"}};
    call.body = "body";
    reply_message reply;
    reply.id = call.id;
    reply.result = outcome::not_run;
    reply.reason = refusal_reason::overload;
    reply.status = 503;
    reply.levels = {{service_name("till-pricing"), 4, 100}};
    reply.refusal_token = "token";
    const std::vector<link_message> messages{
        hello_message{node_id("a1"), incarnation(1), domain_name("a"), sheet_version(3)},
        call,
        reply,
        cancel_message{call.id},
        ping_message{12},
        pong_message{12},
        sheet_pull_message{sheet_version(2)},
        sheet_push_message{sheet_version(3), log_offset(9), "kind,caller"},
        demand_report_message{4, domain_name("a"), call_rate(12.5)},
        share_grant_message{4, call_rate(12.5), milliseconds(2000)},
        strike_message{sample_quarantine()},
        sheet_delta_message{{{sheet_version(3), log_offset(9), "anna", "difference"}}}};
    std::vector<std::string> result;
    result.reserve(messages.size());
    for (const link_message& message : messages)
    {
        result.push_back(encode_frame({42, message}));
    }
    return result;
}

std::vector<std::string> claims_samples()
{
    const call_id call("a1-7");
    claims_batch batch;
    batch.entries = {claim_entry{key_hash(1), call, incarnation(2), milliseconds(1000)},
                     done_entry{key_hash(1), call}, release_entry{key_hash(3), call}};
    claims_checkpoint checkpoint;
    checkpoint.as_of = log_offset(4);
    checkpoint.wall_ms = 1'700'000'000'000;
    checkpoint.claimed_keys = {{key_hash(2), call, 1'700'000'100'000}};
    checkpoint.done = {{472'223, {1, 5, 9}}, {472'224, {3}}};
    checkpoint.tombstones = {{call, 1'700'000'100'000}};
    return {encode_claims_record(batch), encode_claims_record(checkpoint),
            encode_claims_record(claims_table_lost{log_offset(4), milliseconds(1000)})};
}

constexpr const char* base_content = "kind,caller\nrule,a\nrule,b\nrule,c\n";
constexpr const char* changed_content = "kind,caller\nrule,a\nrule,x\nrule,c\n";

content_difference sample_difference()
{
    return find_difference(base_content, changed_content);
}

std::vector<std::string> config_samples()
{
    return {encode_config_record(
                submit_record{"s1", sheet_version(1), "anna", "kind,caller\n"}),
            encode_config_record(sheet_checkpoint_record{sheet_version(2), log_offset(1),
                                                         "kind,caller\n"}),
            encode_config_record(submit_difference_record{"s2", sheet_version(2), "anna",
                                                          sample_difference()})};
}

std::vector<std::string> datagram_samples()
{
    detail::member_update update;
    update.record.node = node_id("b1");
    update.record.incarnation_number = incarnation(8);
    update.record.domain = domain_name("b");
    update.record.service = service_name("till-pricing");
    update.record.link = {"127.0.0.1", 4000};
    update.full = true;
    detail::datagram value;
    value.sender = update;
    value.sender.full = false;
    std::vector<std::string> result;
    for (int kind = 1; kind <= static_cast<int>(detail::datagram_kind::pull); ++kind)
    {
        value.kind = static_cast<detail::datagram_kind>(kind);
        value.nonce = 7;
        value.target = node_id("c1");
        value.digest_values.assign(
            value.kind == detail::datagram_kind::digest ? detail::bucket_count : 3, 2);
        value.requested_nodes = {node_id("d1")};
        value.updates = {update};
        result.push_back(detail::encode(value));
    }
    return result;
}

std::string sample_token()
{
    refusal_record record;
    record.version = sheet_version(3);
    record.row = 4;
    record.row_text = "rule,*,till-pricing,0";
    record.service = service_name("till-pricing");
    record.caller = caller_name("tablet");
    record.domain = domain_name("a");
    record.node = node_id("a1");
    record.wall_ms = 1'700'000'000'000;
    record.level = admission_level{service_name("till-pricing"), 4, 100};
    return encode_token(record);
}

constexpr const char* sample_settings = R"({
    "node": "a1", "failure_domain": "a", "region": "north",
    "listen": {"caller": "127.0.0.1:1", "server": "127.0.0.1:2", "link": "127.0.0.1:3",
               "operator": "127.0.0.1:4", "gossip": "127.0.0.1:5"},
    "contacts": ["127.0.0.2:5"], "threads": 2, "log_service": "127.0.0.1:6"})";

constexpr const char* sample_sheet =
    "kind,caller,service,priority,limit_per_s,timeout_ms,at_most_once,path,note\n"
    "setting,domains,4,,,,,,\nrule,*,till-pricing,0,,800,,,\"till, prices\"\n"
    "rule,tablet,till-pricing,1,50,,yes,/price,\n";

constexpr const char* sample_announcement =
    R"({"service": "till-pricing", "address": "127.0.0.1:80", "slots": 25,
        "connections": 250, "state": "ready", "incarnation": 7, "warm_up_ms": 100})";

constexpr const char* sample_event =
    R"({"time_ms":1,"node":"a1","incarnation":1,"seq":2,"lamport":3,"event":"x","y":1})";

/// Returns the result of feeding a message in pieces; `next_size` gives their sizes.
template <class NextSize>
std::string parse_message(http_parser_type type, const std::string& input,
                          NextSize next_size)
{
    message_limits limits;
    limits.body = 1000;
    detail::message_parser parser(type, limits);
    parser.reset();
    auto status = detail::parse_status::need_more;
    std::size_t at = 0;
    while (status == detail::parse_status::need_more && at < input.size())
    {
        const std::size_t size = std::min(input.size() - at, next_size());
        std::size_t used = 0;
        status = parser.feed(input.data() + at, size, used);
        if (used > size)
        {
            throw property_error("the parser used more bytes than it was given");
        }
        at += status == detail::parse_status::complete ? used : size;
    }
    if (status != detail::parse_status::complete)
    {
        // How much of a refused message was read depends on the pieces.
        return "status " + std::to_string(static_cast<int>(status));
    }
    std::string text = "used " + std::to_string(at);
    if (type == HTTP_REQUEST)
    {
        const http_request request = parser.take_request();
        return text + request.method + ' ' + request.target + '\n' + request.body;
    }
    const http_response response = parser.take_response();
    return text + std::to_string(response.status) + '\n' + response.body;
}

/// Makes a target that reads a message whole and in random pieces. Both must agree.
target http_target(std::string name, http_parser_type type,
                   std::vector<std::string> samples)
{
    const auto check = [type](const std::string& input, mutator& random)
    {
        const std::string whole =
            parse_message(type, input, [&] { return input.size(); });
        const std::string pieces =
            parse_message(type, input, [&] { return 1 + random.below(20); });
        if (whole != pieces)
        {
            throw property_error("pieces give another result: " + whole + " / " + pieces);
        }
        return whole.rfind("used", 0) == 0;
    };
    return {std::move(name), input_form::bytes, std::move(samples), check};
}

parsed_call read_call(const std::string& input)
{
    const std::size_t end = input.find('\n');
    const std::string value = end == std::string::npos ? "" : input.substr(end + 1);
    http_request request;
    request.method = "GET";
    request.target = input.substr(0, end);
    request.headers = {{"Fescue-Timeout-Ms", value}, {"Fescue-Attempt", value}};
    return parse_call(request);
}

target call_target()
{
    const auto check = [](const std::string& input, mutator&)
    {
        try
        {
            const parsed_call call = read_call(input);
            if (call.path.empty() || call.path[0] != '/' || call.timeout.count() <= 0)
            {
                throw property_error("accepted without a path or a timeout");
            }
        }
        catch (const bad_request_error&)
        {
            return false;
        }
        return true;
    };
    return {"call", input_form::bytes, {"/call/till-pricing/price/7?x=1\n250"}, check};
}

/// Applies mutated differences: the result must have the hash that they name.
target difference_target()
{
    const auto check = [](const std::string& input, mutator&)
    {
        try
        {
            const content_difference difference = decode_difference(input);
            const std::string result = apply_difference(base_content, difference);
            if (content_hash(result) != difference.result_hash)
            {
                throw property_error("the result has another hash");
            }
        }
        catch (const error&)
        {
            return false;
        }
        return true;
    };
    return {
        "difference", input_form::cbor, {encode_difference(sample_difference())}, check};
}

target sheet_target()
{
    const auto check = [](const std::string& input, mutator&)
    {
        const sheet_or_faults parsed = parse_sheet(input);
        if (const auto* faults = std::get_if<std::vector<sheet_fault>>(&parsed))
        {
            if (faults->empty())
            {
                throw property_error("refused without a fault");
            }
            return false;
        }
        if (std::get<std::shared_ptr<const sheet>>(parsed)->content() != input)
        {
            throw property_error("the content of an accepted sheet differs");
        }
        return true;
    };
    return {"sheet", input_form::bytes, {sample_sheet}, check};
}

} // namespace

std::vector<target> all_targets()
{
    const submit_request submit{"anna", 3, sample_sheet, "s1"};
    std::vector<target> result;
    result.push_back(round_trip<codec_error>(
        "link frame", input_form::cbor, frame_samples(), decode_frame, encode_frame));
    result.push_back(
        round_trip<codec_error>("quarantine record", input_form::cbor,
                                {encode_quarantine_record(sample_quarantine())},
                                decode_quarantine_record, encode_quarantine_record));
    result.push_back(round_trip<codec_error>("claims record", input_form::cbor,
                                             claims_samples(), decode_claims_record,
                                             encode_claims_record));
    result.push_back(round_trip<codec_error>("config record", input_form::cbor,
                                             config_samples(), decode_config_record,
                                             encode_config_record));
    result.push_back(round_trip<codec_error>(
        "contacts record", input_form::cbor,
        {encode_contacts({{domain_name("a"), {"127.0.0.1", 4000}}})}, decode_contacts,
        encode_contacts));
    result.push_back(round_trip<codec_error>(
        "gossip datagram", input_form::cbor, datagram_samples(), detail::decode,
        [](const detail::datagram& value) { return detail::encode(value); }));
    result.push_back(round_trip<token_error>("explain token", input_form::bytes,
                                             {sample_token()}, decode_token,
                                             encode_token));
    result.push_back(read_only<settings_error>(
        "settings", input_form::json, {sample_settings},
        [](const std::string& input) { return parse_settings(input, "node.json"); }));
    result.push_back(read_only<codec_error>("announcement", input_form::json,
                                            {sample_announcement}, parse_announcement));
    result.push_back(round_trip<codec_error>(
        "submit body", input_form::json, {to_body(submit)}, parse_body<submit_request>,
        [](const submit_request& value) { return to_body(value); }));
    result.push_back(read_only<codec_error>("event line", input_form::json,
                                            {sample_event}, parse_event_line));
    result.push_back(difference_target());
    result.push_back(sheet_target());
    result.push_back(call_target());
    result.push_back(http_target(
        "http request", HTTP_REQUEST,
        {"POST /call/a/b HTTP/1.1\r\nContent-Length: 5\r\nExpect: "
         "100-continue\r\n\r\nhello",
         "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"}));
    result.push_back(http_target(
        "http answer", HTTP_RESPONSE,
        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
         "HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"}));
    return result;
}

} // namespace malformed_input
