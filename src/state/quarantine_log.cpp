#include "fescueridge/state/quarantine_log.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "cbor_fields.hpp"

namespace fescueridge
{

namespace
{

// Section 5.6: records count until 24 h after the last attempt.
constexpr std::int64_t lifetime_ms = std::int64_t{24} * 3'600'000;

follow_options for_quarantine(follow_options options)
{
    options.stream = "quarantine";
    return options;
}

} // namespace

std::string encode_quarantine_record(const quarantine_record& record)
{
    return detail::to_cbor(detail::json::array(
        {record.request.get(), record.strikes, record.server.get(), record.wall_ms}));
}

quarantine_record decode_quarantine_record(const std::string& bytes)
{
    detail::cbor_fields in(bytes);
    quarantine_record record;
    record.request = fingerprint(in.number());
    const std::uint64_t strikes = in.number();
    if (strikes > std::numeric_limits<std::uint32_t>::max())
    {
        throw codec_error("number of strikes is out of range");
    }
    record.strikes = static_cast<std::uint32_t>(strikes);
    record.server = incarnation(in.number());
    record.wall_ms = in.signed_number();
    in.expect_end();
    return record;
}

bool quarantine_table::merge(const quarantine_record& record)
{
    const auto [found, is_new] = records_.emplace(record.request, record);
    if (is_new)
    {
        return true;
    }
    quarantine_record& known = found->second;
    const bool changed = record.wall_ms > known.wall_ms || record.strikes > known.strikes;
    const std::uint32_t strikes = std::max(record.strikes, known.strikes);
    if (record.wall_ms > known.wall_ms)
    {
        known = record;
    }
    known.strikes = strikes;
    return changed;
}

std::vector<quarantine_record> quarantine_table::current(std::int64_t wall_now_ms)
{
    std::vector<quarantine_record> result;
    for (auto it = records_.begin(); it != records_.end();)
    {
        if (it->second.wall_ms + lifetime_ms < wall_now_ms)
        {
            it = records_.erase(it);
            continue;
        }
        result.push_back(it->second);
        ++it;
    }
    return result;
}

quarantine_follower::quarantine_follower(log_service& log, follow_options options,
                                         handler changed,
                                         std::function<void(const error&)> fault)
    : log_(log), changed_(std::move(changed)), fault_(std::move(fault)),
      follower_(log, for_quarantine(std::move(options)),
                {[this](const log_page& page) { on_page(page); }, [](log_offset) {},
                 [this](const error& problem)
                 {
                     report(problem);
                 }})
{
}

void quarantine_follower::on_page(const log_page& page)
{
    for (const log_record& raw : page.records)
    {
        try
        {
            const quarantine_record record = decode_quarantine_record(raw.data);
            if (table_.merge(record))
            {
                changed_(record);
            }
        }
        catch (const codec_error& problem)
        {
            report(problem);
        }
    }
    // Only the follower's thread uses the table; this drops what is over 24 h old.
    table_.current(wall_clock_ms());
}

void quarantine_follower::report(const error& problem) const
{
    if (fault_)
    {
        fault_(problem);
    }
}

void quarantine_follower::append(const quarantine_record& record, milliseconds timeout)
{
    log_.append("quarantine", encode_quarantine_record(record), timeout);
}

} // namespace fescueridge
