#include "fescueridge/gateway/departure_records.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "fescueridge/base/error.hpp"
#include "fescueridge/codec/messages.hpp"

namespace fescueridge::gateway
{
namespace
{

/// Timeouts of operations on the log. The first one is short, as the connection may have
/// fallen silent; they double, so that a log that answers slowly can answer at all.
constexpr milliseconds min_operation_timeout{300};
constexpr milliseconds max_operation_timeout{2'400};

constexpr milliseconds retry_delay{200};

/// Records of this node that are retained. More than the starts of one VM whose last
/// heartbeats may still be on their way.
constexpr std::size_t max_records = 16;

/// Records of nodes that are gone for good are removed after this time.
constexpr std::int64_t retention_ms = std::int64_t{24} * 3'600'000;

} // namespace

departure_records::departure_records(const node_settings& settings, keyed_log& log,
                                     decision_log& decisions, listed_callback on_listed)
    : settings_(settings), log_(log), decisions_(decisions),
      on_listed_(std::move(on_listed)), random_(random_seed()),
      timeout_(min_operation_timeout)
{
}

void departure_records::start()
{
    list({});
}

void departure_records::list(const std::string& after)
{
    listing_ = true;
    log_.list_newest(settings_.departures_topic, after, timeout_,
                     [this](const log_result<newest_page>& result)
                     {
                         listing_ = false;
                         if (const auto* failure = std::get_if<log_failure>(&result))
                             return on_failure("list", *failure);
                         on_page(std::get<newest_page>(result));
                     });
}

void departure_records::on_page(const newest_page& page)
{
    timeout_ = min_operation_timeout;
    for (const auto& record : page.records)
        add_record(record);
    if (page.has_more && !page.records.empty())
        return list(page.records.back().key);
    on_listed();
}

void departure_records::add_record(const keyed_record& record)
{
    try
    {
        const auto frame = decode_frame(record.value);
        const auto* departed = std::get_if<departed_start_message>(&frame.message);
        if (!departed)
            throw codec_error("record holds another message");
        if (departed->node == settings_.node)
            departures_[{departed->id, departed->until_ms}] = record_state::stored;
        else if (departed->recorded_ms + retention_ms < wall_clock_ms())
            expired_keys_.push_back(record.key);
    }
    catch (const codec_error& error)
    {
        decisions_.record(log_event::records_unreadable,
                          {{"topic", settings_.departures_topic.get()},
                           {"key", record.key},
                           {"detail", error.what()}});
    }
}

void departure_records::on_listed()
{
    listed_ = true;
    std::vector<departed_start> stored;
    for (const auto& [departure, state] : departures_)
        if (state == record_state::stored)
            stored.push_back(departure);
    remove_surplus();
    remove_one_expired();
    on_listed_(stored);
}

void departure_records::store(const departed_start& departure)
{
    if (departures_.try_emplace(departure, record_state::waiting).second)
        append(departure);
}

void departure_records::append(const departed_start& departure)
{
    departures_[departure] = record_state::appending;
    const departed_start_message message{settings_.node, departure.id, departure.until_ms,
                                         wall_clock_ms()};
    log_.append(settings_.departures_topic,
                {key_of(departure), encode_frame({0, message})}, timeout_,
                [this, departure](const log_result<append_receipt>& result)
                { on_appended(departure, result); });
}

void departure_records::on_appended(const departed_start& departure,
                                    const log_result<append_receipt>& result)
{
    const auto found = departures_.find(departure);
    // The log may have been restored while the append was on its way.
    if (found == departures_.end() || found->second != record_state::appending)
        return;
    if (const auto* failure = std::get_if<log_failure>(&result))
    {
        found->second = record_state::waiting;
        return on_failure("append", *failure);
    }
    found->second = record_state::stored;
    timeout_ = min_operation_timeout;
    if (waiting() > 0)
        return;
    end_waits();
    remove_surplus();
}

void departure_records::on_failure(const char* operation, const log_failure& failure)
{
    next_attempt_ = clock::now() + retry_delay;
    if (failure.kind == log_failure_kind::unknown)
        timeout_ = std::min(2 * timeout_, max_operation_timeout);
    decisions_.record(log_event::departures_not_stored,
                      {{"operation", std::string(operation)},
                       {"cause", std::string(to_string(failure.kind))},
                       {"detail", failure.detail},
                       {"waiting", static_cast<std::int64_t>(waiting())}});
}

void departure_records::poll(time_point now)
{
    const auto overdue =
        std::partition(waits_.begin(), waits_.end(),
                       [now](const wait& entry) { return now < entry.deadline; });
    std::vector<wait> ended(std::make_move_iterator(overdue),
                            std::make_move_iterator(waits_.end()));
    waits_.erase(overdue, waits_.end());
    for (const auto& entry : ended)
        entry.done(false);
    if (now < next_attempt_)
        return;
    if (!listed_ && !listing_)
        list({});
    for (const auto& [departure, state] : departures_)
        if (state == record_state::waiting)
            append(departure);
}

void departure_records::when_stored(milliseconds timeout, stored_callback done)
{
    if (waiting() == 0)
        return done(true);
    waits_.push_back({clock::now() + timeout, std::move(done)});
}

void departure_records::end_waits()
{
    for (const auto& entry : std::exchange(waits_, {}))
        entry.done(true);
}

void departure_records::on_log_restored()
{
    for (auto& [departure, state] : departures_)
        state = record_state::waiting;
    poll(clock::now());
}

std::size_t departure_records::waiting() const
{
    return static_cast<std::size_t>(std::count_if(
        departures_.begin(), departures_.end(),
        [](const auto& entry) { return entry.second != record_state::stored; }));
}

// The oldest departures go first; every one that is removed was stored.
void departure_records::remove_surplus()
{
    while (departures_.size() > max_records)
    {
        const auto oldest =
            std::min_element(departures_.begin(), departures_.end(),
                             [](const auto& a, const auto& b)
                             { return a.first.until_ms < b.first.until_ms; });
        remove(key_of(oldest->first));
        departures_.erase(oldest);
    }
}

// A VM that is replaced brings one start of a node, so the records of VMs that are gone
// do not accumulate. A random one, as many nodes may start at the same time.
void departure_records::remove_one_expired()
{
    if (expired_keys_.empty())
        return;
    std::uniform_int_distribution<std::size_t> position(0, expired_keys_.size() - 1);
    remove(expired_keys_[position(random_)]);
    expired_keys_.clear();
}

void departure_records::remove(const std::string& key)
{
    log_.append(settings_.departures_topic, {key, {}}, timeout_,
                [](const log_result<append_receipt>&)
                {
                    // A record that stays is harmless: it only takes room.
                });
}

std::string departure_records::key_of(const departed_start& departure) const
{
    const auto hash =
        stable_hash(departure.id.get(), static_cast<std::uint64_t>(departure.until_ms));
    return fmt::format("{}/{:016x}", settings_.node.get(), hash);
}

} // namespace fescueridge::gateway
