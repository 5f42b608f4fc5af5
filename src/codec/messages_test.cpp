#include <criterion/criterion.h>
#include <random>

#include "fescueridge/base/error.hpp"
#include "fescueridge/codec/messages.hpp"

using namespace fescueridge;

namespace
{

call_message sample_call()
{
    call_message m;
    m.id = call_id("a1-7");
    m.root = root_id(std::string("root\xff", 5));
    m.caller = caller_name("tablet");
    m.service = service_name("till-pricing");
    m.rank = priority(0);
    m.time_left = milliseconds(250);
    m.allowance = retry_allowance(3);
    m.key = idempotency_key("k1");
    m.method = "POST";
    m.path = "/price";
    m.headers = {{"Accept", "*/*"}};
    m.body = std::string("\0\x80 body", 7);
    m.resend = true;
    return m;
}

bool is_rejected(const std::string& bytes)
{
    try
    {
        decode_frame(bytes);
    }
    catch (const codec_error&)
    {
        return true;
    }
    return false;
}

} // namespace

// Guards against a field that is lost or that turns up in the place of another one.
Test(codec_messages, call_round_trip)
{
    const std::string bytes = encode_frame({9, sample_call()});
    const link_frame frame = decode_frame(bytes);
    const auto& m = std::get<call_message>(frame.message);
    cr_assert(frame.lamport == 9);
    cr_assert(m.root == sample_call().root);
    cr_assert(m.body == sample_call().body);
    cr_assert(m.key == sample_call().key);
    cr_assert(m.time_left == milliseconds(250));
    cr_assert(m.resend);
    cr_assert(m.headers.size() == 1 && m.headers[0].value == "*/*");
}

// Guards against steps that lose a field or their order, and against a step that is cut
// short.
Test(codec_messages, sheet_delta_round_trip)
{
    sheet_delta_message m;
    m.steps = {{sheet_version(7), log_offset(9), "ana", std::string("\x00\xff", 2)},
               {sheet_version(8), log_offset(12), "", "d"}};
    const std::string bytes = encode_frame({1, m});
    const link_frame frame = decode_frame(bytes);
    const auto& steps = std::get<sheet_delta_message>(frame.message).steps;
    cr_assert_eq(steps.size(), 2);
    cr_assert(steps[0].version == sheet_version(7) && steps[0].author == "ana");
    cr_assert(steps[0].difference == m.steps[0].difference);
    cr_assert(steps[1].offset == log_offset(12));
    cr_assert(is_rejected(bytes.substr(0, bytes.size() - 1)));
    cr_assert(is_rejected("\x83\x0c\x01\x81\x83\x07\x09\x41"));
    cr_assert(is_rejected("\x83\x0c\x01\x81\x07"));
}

// Guards against a reply without a reason that decodes as one with a reason.
Test(codec_messages, reply_round_trip)
{
    reply_message m;
    m.id = call_id("a1-8");
    m.result = outcome::ok;
    m.status = 200;
    m.levels = {{service_name("s"), 4, 512, true}};
    const link_frame frame = decode_frame(encode_frame({1, m}));
    const auto& decoded = std::get<reply_message>(frame.message);
    cr_assert(!decoded.reason.has_value());
    cr_assert(decoded.levels.size() == 1 && decoded.levels[0].cut_fraction == 512);
    cr_assert(decoded.levels[0].cut_priority == 4 && decoded.levels[0].cut_resends);
    // Guards against numbers out of range that are cut to a level which nobody sent.
    m.levels = {{service_name("s"), lowest_priority + 2, 0}};
    cr_assert(is_rejected(encode_frame({1, m})));
    m.levels = {{service_name("s"), 4, 1024}};
    cr_assert(is_rejected(encode_frame({1, m})));
}

// Guards against a sum of a collector that counts as the demand of one node, and against
// a grant that reaches the wrong role of its receiver.
Test(codec_messages, share_messages_round_trip)
{
    const demand_report_message report{7, domain_name("a"), call_rate(12.5),
                                       share_hop::collector_to_holder, 37};
    const auto read = decode_frame(encode_frame({1, report}));
    const auto& demand = std::get<demand_report_message>(read.message);
    cr_assert(demand.hop == report.hop && demand.nodes == 37);
    const share_grant_message grant{7, call_rate(12.5), milliseconds(2000),
                                    share_hop::node_to_collector};
    const auto granted = decode_frame(encode_frame({1, grant}));
    cr_assert(std::get<share_grant_message>(granted.message).hop == grant.hop);
    auto bad = report;
    bad.hop = static_cast<share_hop>(3);
    cr_assert(is_rejected(encode_frame({1, bad})));
    bad = report;
    bad.nodes = 0;
    cr_assert(is_rejected(encode_frame({1, bad})));
}

// Guards against a crash or a cleared mark that is lost between nodes.
Test(codec_messages, quarantine_record_round_trip)
{
    strike_message m;
    m.record.request = fingerprint(~std::uint64_t{0});
    m.record.crashes = {{incarnation(1), true}, {incarnation(~std::uint64_t{0}), false}};
    m.record.cleared = {incarnation(1)};
    m.record.last_attempt_wall_ms = 1'700'000'000'000;
    const link_frame frame = decode_frame(encode_frame({1, m}));
    const quarantine_record& decoded = std::get<strike_message>(frame.message).record;
    cr_assert(decoded.request == m.record.request);
    cr_assert(decoded.crashes == m.record.crashes);
    cr_assert(decoded.cleared == m.record.cleared);
    cr_assert(decoded.last_attempt_wall_ms == m.record.last_attempt_wall_ms);
}

// Guards against a half frame that is taken for a whole one.
Test(codec_messages, every_truncation_is_rejected)
{
    const std::string bytes = encode_frame({9, sample_call()});
    for (std::size_t length = 0; length < bytes.size(); ++length)
    {
        cr_assert(is_rejected(bytes.substr(0, length)), "length %zu", length);
    }
}

// Guards against a frame that exhausts the stack by its nesting and ends the process.
Test(codec_messages, deep_nesting_is_rejected)
{
    for (const char start : {'\x9f', '\x81', '\xbf', '\xa1'})
    {
        cr_assert(is_rejected(std::string(1'000'000, start)));
    }
}

// Guards against damaged frames that end the process instead of raising codec_error.
Test(codec_messages, damaged_frames_raise_only_codec_error)
{
    std::mt19937_64 random(4711);
    const std::string bytes = encode_frame({9, sample_call()});
    for (int round = 0; round < 20'000; ++round)
    {
        std::string damaged = bytes;
        for (int flips = 0; flips < 3; ++flips)
        {
            damaged[random() % damaged.size()] = static_cast<char>(random());
        }
        is_rejected(damaged);
    }
}
