#include <criterion/criterion.h>

#include "fescueridge/gateway/server_rate.hpp"

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

const time_point start{milliseconds{1'000'000}};

time_point at(int ms)
{
    return start + milliseconds{ms};
}

server_notice stating(double rate)
{
    server_notice notice;
    notice.max_rate = call_rate(rate);
    return notice;
}

server_record record(const char* id, std::int64_t born_ms)
{
    server_record server;
    server.id = instance_id(id);
    server.born_ms = born_ms;
    return server;
}

} // namespace

// Guards against a limit that an answer to an older request ends.
Test(server_rate, ends_with_an_answer_to_a_later_request_only)
{
    server_rate rate;
    cr_expect(rate.on_answer(stating(40), at(0), at(100)));
    cr_expect_not(rate.on_answer(server_notice{}, at(50), at(150)));
    cr_assert(rate.rate().has_value());
    cr_expect_float_eq(rate.rate()->get(), 40, 1e-9);
    cr_expect(rate.on_answer(server_notice{}, at(120), at(200)));
    cr_expect_not(rate.rate().has_value());
}

// Guards against an unusable rate that ends a limit or counts as a limit of zero.
Test(server_rate, ignores_and_counts_unusable_rates)
{
    server_rate rate;
    server_notice unusable;
    unusable.max_rate_unusable = true;
    cr_expect_not(rate.on_answer(unusable, at(0), at(10)));
    cr_expect_not(rate.rate().has_value());
    rate.on_answer(stating(40), at(20), at(30));
    cr_expect_not(rate.on_answer(unusable, at(40), at(50)));
    cr_expect(rate.rate().has_value());
    cr_expect_eq(rate.unusable(), 2U);
}

// Guards against a burst after a restart of the process beside the server.
Test(server_rate, adopts_the_limit_that_a_peer_remembers)
{
    server_rate before_heartbeat;
    before_heartbeat.remember(record("i-1", 5), call_rate(40));
    cr_expect_not(before_heartbeat.rate().has_value());
    cr_expect(before_heartbeat.select(record("i-1", 5), at(0)));
    cr_expect(before_heartbeat.rate().has_value());

    server_rate after_health_check;
    after_health_check.select(record("i-1", 0), at(0));
    after_health_check.remember(record("i-1", 5), call_rate(40));
    cr_expect(after_health_check.select(record("i-1", 5), at(10)));
    cr_expect(after_health_check.rate().has_value());
}

// Guards against a limit of an earlier start that throttles its successor.
Test(server_rate, does_not_apply_to_another_start)
{
    server_rate rate;
    rate.select(record("i-1", 5), at(0));
    rate.on_answer(stating(40), at(0), at(10));
    cr_expect(rate.select(record("i-1", 9), at(20)));
    cr_expect_not(rate.rate().has_value());
    rate.remember(record("i-1", 5), call_rate(40));
    cr_expect_not(rate.select(record("i-1", 9), at(30)));
    cr_expect_not(rate.rate().has_value());
}
