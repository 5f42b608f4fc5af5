// Sheet, claims, quarantine, pressure, ledger, time line and frames.

#include <memory>
#include <string>

#include <fmt/format.h>

#include "fescueridge/base/events.hpp"
#include "fescueridge/codec/messages.hpp"
#include "fescueridge/overload/pressure.hpp"
#include "fescueridge/overload/quarantine.hpp"
#include "fescueridge/overload/retry.hpp"
#include "fescueridge/sheet/sheet.hpp"
#include "fescueridge/state/claims.hpp"
#include "fescueridge/state/content_difference.hpp"
#include "measure.hpp"

namespace fescueridge::capacity
{

namespace
{

constexpr std::size_t services = 350;

std::string service_of(std::size_t number)
{
    return fmt::format("service-{}", number);
}

std::string sheet_text(std::size_t rules)
{
    std::string text =
        "kind,caller,service,priority,limit_per_s,timeout_ms,at_most_once,path,note\n";
    for (std::size_t i = 0; i < rules; ++i)
    {
        const std::size_t service = i % services;
        const std::size_t round = i / services;
        if (round == 0)
        {
            text += fmt::format("rule,*,{},5,,1000,,,default\n", service_of(service));
            continue;
        }
        text += fmt::format("rule,caller-{},{},{},{},800,,/part-{},row {}\n", round,
                            service_of(service), i % 10, 100 + i % 900, i % 7, i);
    }
    return text;
}

call_id call_of(std::size_t number)
{
    return call_id(fmt::format("node-1234.56789abcdef01234.{}", number));
}

key_hash key_of(std::size_t number)
{
    return hash_of(idempotency_key(fmt::format("key-{}", number)));
}

} // namespace

/// Measures the difference that one changed row makes: its frame on a link, and the times
/// to find and to apply it.
void add_difference(json& point, const std::string& base, int times)
{
    std::string changed = base;
    changed.replace(changed.find('\n', changed.size() / 2) + 1, 4, "RULE");
    const content_difference difference = find_difference(base, changed);
    const std::string bytes = encode_difference(difference);
    const sheet_step step{sheet_version(13'000), log_offset(13'000), "operator", bytes};
    point["difference_bytes"] =
        encode_frame({1'000'000, sheet_delta_message{{step}}}).size();
    point["find_difference_s"] =
        seconds_of(times, [&] { find_difference(base, changed); });
    point["apply_difference_s"] =
        seconds_of(times, [&] { apply_difference(base, decode_difference(bytes)); });
}

json measure_sheet(bool quick)
{
    json points = json::array();
    const int times = quick ? 3 : 10;
    for (const std::size_t rules : {350, 1'000, 3'000, 6'000})
    {
        const std::string text = sheet_text(rules);
        const double heap = heap_bytes();
        const auto kept = std::get<std::shared_ptr<const sheet>>(parse_sheet(text));
        const double held = heap_bytes() - heap;
        const double parse = seconds_of(times, [&] { parse_sheet(text); });
        std::size_t found = 0;
        constexpr int lookups = 20'000;
        const double lookup = seconds_of(lookups,
                                         [&]
                                         {
                                             const auto* rule = kept->find(
                                                 "service-17", "caller-2", "/part-3/x");
                                             found += rule != nullptr ? 1 : 0;
                                         });
        points.push_back({{"rules", rules},
                          {"bytes", text.size()},
                          {"heap_bytes", held},
                          {"parse_s", parse},
                          {"lookup_s", lookup},
                          {"found", found}});
        add_difference(points.back(), text, times);
    }
    return points;
}

json measure_claims(bool quick)
{
    json points = json::array();
    std::vector<std::size_t> sizes{1'000, 10'000, 50'000};
    if (!quick)
    {
        sizes.insert(sizes.end(), {300'000, 2'800'000});
    }
    constexpr std::int64_t week_ms = std::int64_t{7} * 24 * 3'600'000;
    for (const std::size_t keys : sizes)
    {
        const double heap = heap_bytes();
        const auto table = std::make_unique<claims_table>();
        log_record raw;
        std::size_t stream_bytes = 0;
        const double start = processor_seconds();
        for (std::size_t i = 0; i < keys; ++i)
        {
            // Spread over the time of remembering, so that done keys fill all buckets.
            raw.wall_ms =
                week_ms / static_cast<std::int64_t>(keys) * static_cast<std::int64_t>(i);
            claims_batch batch;
            batch.entries.emplace_back(claim_entry{key_of(i), call_of(i), incarnation(7),
                                                   std::chrono::hours(24 * 7)});
            batch.entries.emplace_back(done_entry{key_of(i), call_of(i)});
            raw.data = encode_claims_record(batch);
            stream_bytes += raw.data.size();
            table->apply(raw, decode_claims_record(raw.data));
            table->take_decisions();
            raw.offset = log_offset(raw.offset.get() + 1);
        }
        const double apply = (processor_seconds() - start) / static_cast<double>(keys);
        raw.data.clear();
        const double held = heap_bytes() - heap;
        const double encode_start = processor_seconds();
        const std::string checkpoint =
            encode_claims_record(table->to_checkpoint(log_offset(keys)));
        const double encode_end = processor_seconds();
        const double decode = seconds_of(1, [&] { decode_claims_record(checkpoint); });
        std::size_t number = 0;
        std::size_t found = 0;
        const double find = seconds_of(
            20'000, [&] { found += table->find(key_of(keys + number++)) ? 1U : 0U; });
        points.push_back({{"keys", keys},
                          {"heap_bytes", held},
                          {"stream_bytes", stream_bytes},
                          {"carry_bytes", checkpoint.size()},
                          {"carry_s", encode_end - encode_start},
                          {"carry_decode_s", decode},
                          {"find_s", find},
                          {"found", found},
                          {"apply_s_per_key", apply}});
    }
    return points;
}

json measure_quarantine(bool /*quick*/)
{
    json points = json::array();
    for (const std::size_t records : {100, 1'000, 10'000, 50'000})
    {
        const double heap = heap_bytes();
        quarantine_table table;
        std::size_t encoded = 0;
        for (std::size_t i = 0; i < records; ++i)
        {
            quarantine_record record;
            record.request = fingerprint(i * 7919 + 1);
            record.crashes[incarnation(1000 + i)] = true;
            record.crashes[incarnation(2000 + i)] = false;
            record.last_attempt_wall_ms = 1'000'000;
            encoded += encode_quarantine_record(record).size();
            table.merge(record);
        }
        points.push_back({{"records", records},
                          {"heap_bytes", heap_bytes() - heap},
                          {"record_bytes",
                           static_cast<double>(encoded) / static_cast<double>(records)}});
    }
    return points;
}

json measure_pressure(bool quick)
{
    json points = json::array();
    const int times = quick ? 2'000 : 20'000;
    for (const std::size_t touched : {10, 50, 150, 350})
    {
        const double heap = heap_bytes();
        pressure_table table;
        const time_point now{milliseconds(1'000'000)};
        for (std::size_t i = 0; i < touched; ++i)
        {
            std::vector<admission_level> levels;
            for (std::size_t hop = 0; hop < 13; ++hop)
            {
                levels.push_back({service_name(service_of((i + hop) % touched)), 5, 512});
            }
            table.observe_levels(levels, now);
            table.observe_root(service_name(service_of(i)), "/part", levels, true);
        }
        const double held = heap_bytes() - heap;
        const double decide =
            seconds_of(times,
                       [&] {
                           table.decide(100, {priority(3)}, service_name(service_of(1)),
                                        "/part", now);
                       });
        points.push_back(
            {{"services", touched}, {"heap_bytes", held}, {"decide_s", decide}});
    }
    return points;
}

json measure_ledger(bool /*quick*/)
{
    json points = json::array();
    for (const std::size_t roots : {1'000, 5'000, 20'000})
    {
        const double heap = heap_bytes();
        root_ledger ledger;
        const time_point now{milliseconds(1'000'000)};
        for (std::size_t i = 0; i < roots; ++i)
        {
            ledger.begin_attempt(root_id(call_of(i).get()), 1, retry_allowance(3), now);
        }
        points.push_back({{"roots", roots}, {"heap_bytes", heap_bytes() - heap}});
    }
    return points;
}

json measure_events(bool /*quick*/)
{
    json points = json::array();
    for (const std::size_t events : {512, 2'048, 4'096, 8'192})
    {
        const double heap = heap_bytes();
        event_log log(node_id("node-1234"), incarnation(7));
        log.echo(false);
        const double start = processor_seconds();
        for (std::size_t i = 0; i < events; ++i)
        {
            log.record("member_suspected", {{"member", fmt::format("node-name-{:06}", i)},
                                            {"domain", std::string("domain-number-1")}});
        }
        const double record = (processor_seconds() - start) / static_cast<double>(events);
        points.push_back({{"events", events},
                          {"heap_bytes", heap_bytes() - heap},
                          {"record_s", record}});
    }
    return points;
}

json measure_frames()
{
    const auto size_of = [](link_message message)
    {
        return encode_frame({1'000'000, std::move(message)}).size();
    };
    quarantine_record record;
    record.request = fingerprint(0x0123456789abcdef);
    record.crashes[incarnation(0x0123456789abcdef)] = true;
    reply_message reply;
    reply.id = call_of(1'000'000);
    const std::size_t reply_alone = size_of(reply);
    reply.levels.push_back({service_name("service-123"), 5, 512});
    return {
        {"ping", size_of(ping_message{1'700'000'000'000})},
        {"pong", size_of(pong_message{1'700'000'000'000})},
        {"hello", size_of(hello_message{node_id("node-1234"), incarnation(1ULL << 60),
                                        domain_name("domain-1"), sheet_version(13'000)})},
        {"demand_report",
         size_of(demand_report_message{1234, domain_name("domain-1"), call_rate(123.4),
                                       share_hop::collector_to_holder, 37})},
        {"share_grant",
         size_of(share_grant_message{1234, call_rate(123.4), milliseconds(2000),
                                     share_hop::collector_to_holder})},
        {"strike", size_of(strike_message{record})},
        {"sheet_pull", size_of(sheet_pull_message{sheet_version(13'000)})},
        {"level_on_reply", size_of(reply) - reply_alone}};
}

} // namespace fescueridge::capacity
