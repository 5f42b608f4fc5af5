#include <criterion/criterion.h>

#include "fescueridge/codec/messages.hpp"
#include "wide_values.hpp"

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

/// A configuration with two routes of priorities beyond compact ranks.
routing_config make_config()
{
    routing_config config;
    config.routes.resize(2);
    config.routes[0].rank = routing_priority(12);
    config.routes[1].rank = routing_priority(4'000);
    return config;
}

forward_message make_forward(std::uint64_t priority)
{
    forward_message message;
    message.rank = request_rank(routing_priority(priority));
    message.time_left = milliseconds{20 * 86'400'000LL};
    message.target_latency = milliseconds{10 * 86'400'000LL};
    return message;
}

} // namespace

// Guards against links to nodes of the version before that are closed on each request,
// and against an order that is lost there, while a fleet is updated.
Test(wide_values, are_sent_to_the_version_before_as_it_reads_them)
{
    constexpr std::int64_t longest_ms = 3'600'000;
    const rank_scale scale(make_config());
    std::vector<request_rank> sent;
    for (const std::uint64_t priority : {12, 4'000})
    {
        const auto message =
            std::get<forward_message>(with_compact_values(make_forward(priority), scale));
        cr_expect(is_compact(message.rank));
        cr_expect_leq(message.time_left.count(), longest_ms);
        cr_expect_leq(message.target_latency.count(), longest_ms);
        sent.push_back(message.rank);
    }
    cr_expect(sent[0] < sent[1]);
    node_report_message report;
    report.arrivals = {
        {route_name("r"), 1, 0, request_rank(routing_priority(4'000))},
        {route_name("s"), 1, 0, std::nullopt},
    };
    const auto arrivals =
        std::get<node_report_message>(with_compact_values(report, scale)).arrivals;
    cr_expect(is_compact(*arrivals[0].rank));
    cr_expect_not(arrivals[1].rank.has_value());
}

// Guards against a call that loses its rank on its way over a node of the version before.
Test(wide_values, come_back_from_the_version_before)
{
    const rank_scale scale(make_config());
    for (const std::uint64_t priority : {12, 4'000})
    {
        auto message = with_compact_values(make_forward(priority), scale);
        message = with_expanded_values(std::move(message), scale);
        cr_expect_eq(std::get<forward_message>(message).rank.route.get(), priority);
    }
}

// Guards against a node that takes a peer for one of its own version, or the other way
// round: the peers before the revisions state 0.
Test(wide_values, depend_on_the_hello)
{
    hello_message hello;
    cr_expect_not(reads_wide_values(hello));
    hello.version = state_revision(link_revision::wide_values);
    cr_expect(reads_wide_values(hello));
}
