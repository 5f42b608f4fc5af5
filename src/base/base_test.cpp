#include <criterion/criterion.h>
#include <thread>
#include <vector>

#include "fescueridge/base/endpoint.hpp"
#include "fescueridge/base/error.hpp"
#include "fescueridge/base/events.hpp"
#include "fescueridge/base/metrics.hpp"
#include "fescueridge/base/outcome.hpp"
#include "fescueridge/base/settings.hpp"

using namespace fescueridge;

namespace
{

const char* const valid_settings = R"({
    // Comments are allowed.
    "node": "a1", "failure_domain": "a", "region": "north",
    "listen": {"caller": "127.0.0.1:1", "server": "127.0.0.1:2", "link": "127.0.0.1:3",
               "operator": "127.0.0.1:4", "gossip": "127.0.0.1:5"},
    "contacts": ["127.0.0.2:5"]
})";

std::string key_at_fault(std::string text, const std::string& from, const std::string& to)
{
    text.replace(text.find(from), from.size(), to);
    try
    {
        parse_settings(text, "node.json");
    }
    catch (const settings_error& problem)
    {
        return problem.key();
    }
    return "no error";
}

} // namespace

// Guards against a valid file being refused or misread.
Test(base_settings, reads_a_valid_file)
{
    const node_settings settings = parse_settings(valid_settings, "node.json");
    cr_assert(settings.node == node_id("a1"));
    cr_assert(settings.listen_gossip == (endpoint{"127.0.0.1", 5}));
    cr_assert(settings.contacts.size() == 1);
    cr_assert(!settings.log_service.has_value());
    cr_assert(settings.advertised_link == settings.listen_link);
    cr_assert(settings.advertised_gossip == settings.listen_gossip);
}

// Guards against a node behind address translation telling others its inner address.
Test(base_settings, reads_advertised_addresses)
{
    std::string text = valid_settings;
    text.insert(text.find("\"contacts\""),
                R"("advertise": {"link": "10.0.0.1:7", "gossip": "10.0.0.1:8"}, )");
    const node_settings settings = parse_settings(text, "node.json");
    cr_assert(settings.advertised_link == (endpoint{"10.0.0.1", 7}));
    cr_assert(settings.advertised_gossip == (endpoint{"10.0.0.1", 8}));
    cr_assert(settings.listen_link == (endpoint{"127.0.0.1", 3}));
    text.replace(text.find("10.0.0.1:8"), 10, "host:8");
    try
    {
        parse_settings(text, "node.json");
        cr_assert_fail("an address that is no number was accepted");
    }
    catch (const settings_error& problem)
    {
        cr_assert(problem.key() == "advertise.gossip");
    }
}

// Guards against a faulty file being accepted, or an error that does not name the key.
Test(base_settings, names_the_key_at_fault)
{
    cr_assert(key_at_fault(valid_settings, "\"node\"", "\"noode\"") == "node");
    cr_assert(key_at_fault(valid_settings, "\"contacts\"", "\"contact\"") == "contact");
    cr_assert(key_at_fault(valid_settings, "127.0.0.1:3", "host:3") == "listen.link");
    cr_assert(key_at_fault(valid_settings, "\"north\"", "7") == "region");
}

// Guards against a benchmark that measures full control as its baseline.
Test(base_settings, reads_the_experiment_of_benchmarks)
{
    const std::string region = "\"region\": \"north\"";
    const std::string text = valid_settings;
    const auto control_of = [&](const std::string& value)
    {
        std::string changed = text;
        changed.replace(changed.find(region), region.size(),
                        region + ", \"experiment\": {\"control\": \"" + value + "\"}");
        return parse_settings(changed, "node.json").control;
    };
    cr_assert(std::holds_alternative<full_control>(
        parse_settings(valid_settings, "node.json").control));
    cr_assert(std::holds_alternative<no_control>(control_of("no_control")));
    cr_assert(std::holds_alternative<fixed_limit_control>(control_of("fixed_limit")));
    cr_assert_throw(control_of("other"), settings_error);
}

// Guards against a number that no double can hold ending the start without a clear error.
Test(base_settings, names_the_file_for_a_number_out_of_range)
{
    std::string text = valid_settings;
    text.replace(text.find("\"a1\""), 4, "1e4000");
    cr_assert_throw(parse_settings(text, "node.json"), settings_error);
}

// Guards against addresses with trailing text, missing parts or ports out of range.
Test(base_endpoint, rejects_malformed_addresses)
{
    for (const char* text : {"", "1.2.3.4", "1.2.3:5", "1.2.3.4:70000", "1.2.3.4:5x",
                             "1.2.3.4.5:6", "1.2.3.400:5"})
    {
        bool refused = false;
        try
        {
            parse_endpoint(text);
        }
        catch (const address_error&)
        {
            refused = true;
        }
        cr_assert(refused, "%s was accepted", text);
    }
}

// Guards against a name table that is out of step with its enumeration.
Test(base_outcome, names_round_trip)
{
    for (int i = 0; i <= static_cast<int>(refusal_reason::shutting_down); ++i)
    {
        const auto reason = static_cast<refusal_reason>(i);
        cr_assert(parse_refusal_reason(to_string(reason)) == reason);
    }
    cr_assert(to_string(refusal_reason::shutting_down) == "shutting_down");
    cr_assert(to_string(outcome::failed) == "failed");
}

// Guards against events of two processes that lose their causal order.
Test(base_events, received_stamp_moves_the_clock_forward)
{
    event_log log(node_id("a1"), incarnation(1));
    log.echo(false);
    log.observe(40);
    log.record("sheet_accepted", {{"version", std::int64_t{2}}});
    cr_assert(log.since(0).front().lamport == 41);
    cr_assert(log.since(1).empty());
}

// Guards against events of several threads whose Lamport stamps and sequences disagree,
// so that the merged time line shows one process out of order.
Test(base_events, stamps_follow_the_sequence_of_a_process)
{
    event_log log(node_id("a1"), incarnation(1));
    log.echo(false);
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i)
    {
        threads.emplace_back(
            [&log]
            {
                for (int n = 0; n < 1000; ++n)
                {
                    log.record("sheet_accepted");
                }
            });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    std::uint64_t last = 0;
    for (const event& entry : log.since(0))
    {
        cr_assert(entry.lamport > last, "event %lu", entry.sequence);
        last = entry.lamport;
    }
}

// Guards against percentiles that are off by more than their estimate allows, and against
// old samples in a summary.
Test(base_metrics, summarizes_the_window_before)
{
    using std::chrono::microseconds;
    const time_point start{metric_window * 100};
    duration_metric metric;
    cr_assert(metric.summary(start).count == 0);
    for (int i = 0; i < 1000; ++i)
    {
        metric.add(microseconds(1000 * (1 + i * 7 % 1000)), start);
    }
    cr_assert(metric.summary(start).count == 1000,
              "the present window, with none before");
    metric.add(microseconds(5'000'000), start + metric_window);
    const duration_summary before = metric.summary(start + metric_window);
    cr_assert(before.count == 1000);
    cr_assert_float_eq(before.mean, 500.5, 0.1);
    cr_assert_float_eq(before.p50, 500, 25);
    cr_assert_float_eq(before.p99, 990, 10);
    cr_assert_float_eq(before.max, 1000, 0.001);
    cr_assert(metric.summary(start + 2 * metric_window).count == 1);
    cr_assert(metric.summary(start + 4 * metric_window).count == 0);
}
