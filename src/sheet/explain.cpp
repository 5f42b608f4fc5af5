#include "fescueridge/sheet/explain.hpp"

#include <algorithm>
#include <array>
#include <ctime>
#include <fmt/format.h>

#include "explain_limits.hpp"
#include "text.hpp"

namespace fescueridge
{

namespace
{

/// What a caller may do after a refusal with outcome not_run.
enum class advice : std::uint8_t
{
    wait,     ///< Send it again after a wait.
    again,    ///< Send it again at once.
    slower,   ///< Send it again at a lower rate.
    longer,   ///< Send it again with more time.
    with_key, ///< Send it again with a key.
    change,   ///< Sending the same again has the same result.
    never,    ///< Do not send it again.
    look_up   ///< Find out first what became of the earlier call.
};

struct reason_text
{
    std::string_view why;
    advice next;
};

// In the order of refusal_reason.
constexpr std::array<reason_text, 22> reason_texts{{
    {"the servers of this service had more calls than they can handle, and calls that "
     "rank higher were served first",
     advice::wait},
    {"a service that this call needs further down had more calls than it can handle",
     advice::wait},
    {"this caller had used up its limit of calls per second for this service",
     advice::slower},
    {"the server was being shut down and takes no new calls", advice::again},
    {"the server had just gone away and could not be connected to", advice::again},
    {"no server of this service could be reached", advice::wait},
    {"the node had no sheet yet and cannot tell what is allowed", advice::wait},
    {"the sheet has no rule for this service", advice::change},
    {"the call must run at most once, and the log that guarantees this could not be "
     "reached",
     advice::wait},
    {"another call with the same idempotency key came first", advice::look_up},
    {"the call must run at most once and came without the header Idempotency-Key",
     advice::with_key},
    {"this request has crashed the servers that ran it", advice::never},
    {"the call could not be finished in the time that the caller gave", advice::longer},
    {"the request had used up its retries", advice::wait},
    {"the chain of calls was too deep", advice::change},
    {"the call named a parent call that the node does not know", advice::change},
    {"the request was malformed", advice::change},
    {"the request or its answer was too large", advice::change},
    {"the server failed while it answered", advice::look_up},
    {"the connection between two nodes broke", advice::look_up},
    {"the caller or the parent call had given up", advice::again},
    {"the node was being shut down", advice::again},
}};

std::string_view to_sentence(advice value)
{
    switch (value)
    {
    case advice::wait:
        return "The caller may send it again, but should wait a few seconds first.";
    case advice::again:
        return "The caller may send it again now.";
    case advice::slower:
        return "The caller may send it again, but must send fewer calls per second.";
    case advice::longer:
        return "The caller may send it again, with a longer timeout if possible.";
    case advice::with_key:
        return "The caller may send it again with an idempotency key.";
    case advice::change:
        return "Sending the same request again gives the same result; the request or "
               "the sheet has to be changed first.";
    case advice::never:
        return "The caller must not send this request again.";
    case advice::look_up:
        return "The caller should look up what became of the earlier call before it "
               "sends anything again.";
    }
    return "";
}

/// Returns whether the call ran and what the caller may do.
std::string describe_outcome(const refusal_record& record, advice next)
{
    switch (record.result)
    {
    case outcome::ok:
        return "The call ran and was answered. There is no need to send it again.";
    case outcome::not_run:
        return fmt::format("The call did not run, and no part of it will run later. {}",
                           to_sentence(next));
    case outcome::failed:
        return "The call ran, and the server reported a failure. If the call changes "
               "something, the caller should look up what took effect before sending "
               "it again.";
    case outcome::unknown:
        break;
    }
    if (next == advice::never)
    {
        return fmt::format("It is not known whether the call ran. {}", to_sentence(next));
    }
    return "It is not known whether the call ran. A lookup may be sent again. If the "
           "call "
           "changes something, the caller should look up whether it took effect before "
           "sending it again.";
}

std::string describe_time(std::int64_t wall_ms)
{
    const auto highest = static_cast<std::int64_t>(max_wall_ms);
    const std::time_t seconds = std::clamp<std::int64_t>(wall_ms, 0, highest) / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    return fmt::format("{:04}-{:02}-{:02} {:02}:{:02}:{:02} UTC", parts.tm_year + 1900,
                       parts.tm_mon + 1, parts.tm_mday, parts.tm_hour, parts.tm_min,
                       parts.tm_sec);
}

std::string describe_level(const admission_level& level, bool classes)
{
    const int cut = std::min<int>(level.cut_priority, lowest_priority + 1);
    const std::string service = detail::printable(level.service.get());
    if (cut > lowest_priority)
    {
        return fmt::format(" At that moment service \"{}\" admitted every priority.",
                           service);
    }
    const double percent = 100.0 * level.cut_fraction / cut_fraction_steps;
    const std::string above =
        cut == 0 ? "" : fmt::format("all calls of a priority below {}", cut);
    std::string part =
        fmt::format("{}{:.0f}% of the calls", cut == 0 ? "" : " and ", percent);
    if (classes)
    {
        part = cut == 0 ? "" : ", ";
        part += level.cut_resends
                    ? fmt::format("all new requests and {:.0f}% of the resends", percent)
                    : fmt::format("{:.0f}% of the new requests and no resends", percent);
    }
    return fmt::format(" At that moment service \"{}\" admitted {}{} of priority {}.",
                       service, above, part, cut);
}

/// Returns a sentence on the root class of a resend whose class decided: the level cuts
/// its priority.
std::string describe_class(const refusal_record& record)
{
    const bool decided =
        record.resend.value_or(false) && record.level->cut_priority == record.rank.get();
    return decided ? " The call counted as a resend; resends come after new requests of "
                     "the same priority."
                   : "";
}

std::string describe_rule(const refusal_record& record)
{
    if (record.version.get() == 0)
    {
        return "No sheet was in force at that node.";
    }
    if (record.row == 0)
    {
        return fmt::format("No row of the sheet decided; version {} was in force.",
                           record.version.get());
    }
    return fmt::format(
        "Row {} of sheet version {} applies to this call (content {:016x}): {}",
        record.row, record.version.get(), record.content_hash,
        detail::printable(record.row_text));
}

} // namespace

void set_rule(refusal_record& record, sheet_version version, const sheet& source,
              const rule* decided)
{
    record.version = version;
    record.content_hash = source.content_hash();
    record.row = decided != nullptr ? decided->row : 0;
    record.row_text = decided != nullptr ? to_row_text(*decided) : "";
}

std::string explain(const refusal_record& record)
{
    const reason_text& reason = reason_texts[static_cast<std::size_t>(record.reason)];
    // A call that may have run was not refused.
    const char* const verb =
        record.result == outcome::not_run ? "was refused" : "was not answered as asked";
    std::string text = fmt::format(
        "The call of caller \"{}\" to service \"{}\" {} on {} by node \"{}\" in "
        "failure domain \"{}\".\nReason ({}): {}.",
        detail::printable(record.caller.get()), detail::printable(record.service.get()),
        verb, describe_time(record.wall_ms), detail::printable(record.node.get()),
        detail::printable(record.domain.get()), to_string(record.reason), reason.why);
    text += fmt::format(" The call had priority {}; 0 is the most important, {} the "
                        "least.",
                        record.rank.get(), lowest_priority);
    if (record.level)
    {
        text += describe_level(*record.level, record.resend.has_value());
        text += describe_class(record);
    }
    return fmt::format("{}\n{}\n{}\n", text, describe_rule(record),
                       describe_outcome(record, reason.next));
}

std::string_view to_string(verification value) noexcept
{
    constexpr std::array<std::string_view, 4> names{"confirmed", "same_row",
                                                    "row_differs", "no_row_in_record"};
    return names[static_cast<std::size_t>(value)];
}

verification verify_against(const refusal_record& record, const sheet& source)
{
    if (record.row == 0)
    {
        return verification::no_row_in_record;
    }
    const rule* const found = source.find_row(record.row);
    if (found == nullptr || to_row_text(*found) != record.row_text)
    {
        return verification::row_differs;
    }
    return record.content_hash == source.content_hash() ? verification::confirmed
                                                        : verification::same_row;
}

} // namespace fescueridge
