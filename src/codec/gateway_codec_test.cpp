#include <criterion/criterion.h>

#include <limits>

#include "fescueridge/base/error.hpp"
#include "fescueridge/codec/messages.hpp"

using namespace fescueridge;

namespace
{

template <class Message>
Message round_trip(const Message& message)
{
    const auto frame = decode_frame(encode_frame({7, message}));
    return std::get<Message>(frame.message);
}

forward_message make_forward()
{
    forward_message message;
    message.number = 42;
    message.request = request_id("req");
    message.route = route_name("r1");
    message.service = service_name("tills");
    message.caller = service_name("menu");
    message.time_left = milliseconds{800};
    message.target_latency = milliseconds{150};
    message.rank = request_rank(routing_priority(2));
    message.from_server = true;
    message.repeat = repeat_rule::idempotent;
    message.method = "PUT";
    message.target = "/x/\xff?q=1";
    message.authority = "a.example";
    message.headers = {{"X", "1"}, {"Y", "2"}};
    message.body = std::string("\0\1\2", 3);
    return message;
}

node_report_message make_report()
{
    node_report_message report;
    report.version = config_version(12);
    report.server =
        server_record{instance_id("i-1"),  service_name("tills"), slot_count(29),
                      server_state::ready, 1'700'000'000'000,     5};
    report.accepting = true;
    report.load = {3, 4};
    report.limit = 27;
    report.max_rate = call_rate(40.5);
    report.queue_wait_share = 1.5;
    report.service_ms = 22.25;
    report.arrivals = {{route_name("r1"), 10.5, 0.25, std::nullopt}};
    report.with_learned = true;
    report.slot_times = {{route_name("r1"), 22.125}};
    report.calls = {{route_name("r1"), route_name("r2"), 4}};
    return report;
}

} // namespace

Test(gateway_codec, keeps_a_forwarded_request_and_its_reply)
{
    const auto request = round_trip(make_forward());
    cr_expect_eq(request.number, 42U);
    cr_expect_eq(request.time_left.count(), 800);
    cr_expect(request.from_server);
    cr_expect(request.repeat == repeat_rule::idempotent);
    cr_expect_str_eq(request.target.c_str(), "/x/\xff?q=1");
    cr_expect_eq(request.headers.size(), 2U);
    cr_expect_eq(request.body.size(), 3U);

    forward_reply_message reply;
    reply.number = 42;
    reply.result = forward_result::not_run;
    reply.failure = forward_failure::server_leaving;
    reply.load = {1, 2};
    const auto read = round_trip(reply);
    cr_expect(read.result == forward_result::not_run);
    cr_expect(read.failure == forward_failure::server_leaving);
    cr_expect_eq(read.load.waiting, 2U);
}

Test(gateway_codec, keeps_a_report)
{
    const auto report = round_trip(make_report());
    cr_expect_eq(report.version.get(), 12U);
    cr_assert(report.server.has_value());
    cr_expect_eq(report.server->born_ms, 1'700'000'000'000);
    cr_expect_float_eq(report.service_ms, 22.25, 1e-9);
    cr_assert(report.max_rate.has_value());
    cr_expect_float_eq(report.max_rate->get(), 40.5, 1e-9);
    cr_expect_not(round_trip(node_report_message{}).max_rate.has_value());
    cr_expect_float_eq(report.arrivals.at(0).returned_per_s, 0.25, 1e-9);
    cr_expect_float_eq(report.slot_times.at(0).ms, 22.125, 1e-9);
    cr_expect_float_eq(report.calls.at(0).calls_per_run, 4, 1e-9);
}

Test(gateway_codec, keeps_what_nodes_tell_of_each_other)
{
    node_record node{
        node_id("vm-1"), 1'700'000'000'000, domain_name("dom-a"), {"10.0.0.1", 7620}};
    const auto known = round_trip(known_nodes_message{{node}});
    cr_assert_eq(known.nodes.size(), 1U);
    cr_expect(known.nodes[0].link == node.link);
    cr_expect_eq(round_trip(config_pull_message{config_version(9)}).have.get(), 9U);
    cr_expect_str_eq(
        round_trip(config_push_message{config_version(9), "{}"}).content.c_str(), "{}");
    cr_expect_eq(round_trip(suspect_message{fingerprint(3), 4}).crash, 4U);
    const auto own =
        round_trip(own_server_message{*make_report().server, call_rate(12.5)});
    cr_expect_str_eq(own.server.id.get().c_str(), "i-1");
    cr_assert(own.max_rate.has_value());
    cr_expect_float_eq(own.max_rate->get(), 12.5, 1e-9);
    const auto departed = round_trip(departed_start_message{
        node.node, instance_id("i-1"), 1'700'000'000'001, 1'700'000'000'002});
    cr_expect_str_eq(departed.node.get().c_str(), "vm-1");
    cr_expect_str_eq(departed.id.get().c_str(), "i-1");
    cr_expect_eq(departed.until_ms, 1'700'000'000'001);
    cr_expect_eq(departed.recorded_ms, 1'700'000'000'002);
    cr_expect_eq(round_trip(forward_cancel_message{42}).number, 42U);
    cr_expect_eq(round_trip(forward_recall_message{43}).number, 43U);
}

// Guards against a frame of another version or with spoiled bytes ending the process.
Test(gateway_codec, refuses_frames_that_end_early_or_are_changed)
{
    for (const auto& whole :
         {encode_frame({1, make_forward()}), encode_frame({1, make_report()})})
    {
        for (std::size_t size = 0; size < whole.size(); ++size)
        {
            bool refused = false;
            try
            {
                decode_frame(whole.substr(0, size));
            }
            catch (const codec_error&)
            {
                refused = true;
            }
            cr_expect(refused, "%zu of %zu bytes", size, whole.size());
        }
        for (std::size_t place = 0; place < whole.size(); ++place)
        {
            auto changed = whole;
            changed[place] = static_cast<char>(changed[place] ^ 0x55);
            try
            {
                decode_frame(changed);
            }
            catch (const codec_error&)
            {
                // Any change is either refused so or read as another valid frame.
            }
        }
    }
}

Test(gateway_codec, carries_tenants_ranks_and_quotas)
{
    auto forward = make_forward();
    forward.tenant = tenant_name("big");
    forward.rank = {routing_priority(9), routing_priority(9)};
    const auto read = round_trip(forward);
    cr_expect_str_eq(read.tenant.get().c_str(), "big");
    cr_expect(read.rank == forward.rank);
    auto report = make_report();
    report.arrivals.push_back(
        {route_name("r1"), 2, 0, request_rank(routing_priority(1), routing_priority(3))});
    const auto arrivals = round_trip(report).arrivals;
    cr_expect(!arrivals[0].rank);
    cr_expect(arrivals[1].rank == report.arrivals[1].rank);
    const auto ask = round_trip(quota_ask_message{quota_name("big"), 12});
    cr_expect_str_eq(ask.quota.get().c_str(), "big");
    cr_expect_eq(ask.tokens, 12U);
    const auto grant =
        round_trip(quota_grant_message{quota_name("b"), 3, milliseconds{40}});
    cr_expect_eq(grant.tokens, 3U);
    cr_expect_eq(grant.retry_after.count(), 40);
}

// Guards against a link that is closed, or ranks that become equal, because of a priority
// beyond those that a single digit holds.
Test(gateway_codec, carries_any_rank)
{
    const std::uint64_t largest = least_important_priority().get();
    const std::vector<std::uint64_t> priorities{0, 9, 10, 12, 99, 100, 256, largest};
    for (const auto tenant : priorities)
    {
        for (const auto route : priorities)
        {
            const request_rank rank{routing_priority(tenant), routing_priority(route)};
            auto forward = make_forward();
            forward.rank = rank;
            cr_expect(round_trip(forward).rank == rank, "%s", to_string(rank).c_str());
            auto report = make_report();
            report.arrivals[0].rank = rank;
            cr_expect(round_trip(report).arrivals[0].rank == rank, "%s",
                      to_string(rank).c_str());
        }
    }
}

// Guards against links that are closed because of the timeout of a route, of a rate that
// a server states, or of a quota of few requests a day.
Test(gateway_codec, carries_the_largest_times_and_amounts)
{
    auto forward = make_forward();
    forward.time_left = longest_time;
    forward.target_latency = longest_time;
    cr_expect(round_trip(forward).time_left == longest_time);
    cr_expect(round_trip(forward).target_latency == longest_time);
    auto report = make_report();
    report.max_rate = call_rate(1e300);
    report.service_ms = 1e300;
    report.server->slots = slot_count(std::numeric_limits<std::uint32_t>::max());
    report.server->sequence = std::numeric_limits<std::uint64_t>::max();
    const auto read = round_trip(report);
    cr_expect_geq(read.max_rate->get(), 1e15);
    cr_expect_geq(read.service_ms, 1e15);
    cr_expect(read.server->sequence == report.server->sequence);
    report.max_rate = call_rate(1e-300);
    cr_expect(round_trip(report).max_rate.has_value());
    const quota_grant_message grant{quota_name("b"), 0, longest_time};
    cr_expect(round_trip(grant).retry_after == longest_time);
}

// Nodes of two versions work together during an update: without tenants, the frames are
// those of the version before, and a message that is not known is no fault.
Test(gateway_codec, talks_to_the_version_before)
{
    cr_expect(round_trip(make_forward()).tenant.get().empty());
    constexpr unsigned char array_of_forward_fields = 0x91;
    const auto frame = encode_frame({7, make_forward()});
    cr_expect_eq(static_cast<unsigned char>(frame.front()), array_of_forward_fields);
    const std::string newer("\x84\x18\xc8\x07\x61\x61\xf5", 7);
    const auto skipped = std::get<unknown_message>(decode_frame(newer).message);
    cr_expect_eq(skipped.type, 200);
}
