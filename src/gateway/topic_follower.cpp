#include "fescueridge/gateway/topic_follower.hpp"

#include <algorithm>

namespace fescueridge::gateway
{
namespace
{

/// Maximum wait of a read for new records. A silent connection to the log is detected
/// after this time plus the margin; until then peers supply new configurations.
constexpr milliseconds read_wait{20'000};
constexpr milliseconds read_margin{1'000};

constexpr milliseconds list_timeout{1'000};

/// Range of the exponential backoff after failures. The first pause is short, because a
/// single lost answer is the most common failure.
constexpr milliseconds first_pause{100};
constexpr milliseconds longest_pause{800};

} // namespace

topic_follower::topic_follower(asio::io_context& io, keyed_log& log,
                               decision_log& decisions, topic_name topic,
                               topic_callbacks callbacks, read_rest rest)
    : log_(log), decisions_(decisions), topic_(std::move(topic)),
      callbacks_(std::move(callbacks)), rest_(rest), next_rest_(rest.first), timer_(io)
{
}

void topic_follower::start()
{
    list({});
}

void topic_follower::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void topic_follower::list(const std::string& after)
{
    last_key_ = after;
    log_.newest(topic_, after, list_timeout,
                [weak = weak_from_this()](log_result<newest_page> result)
                {
                    const auto self = weak.lock();
                    if (!self || self->stopped_)
                        return;
                    if (const auto* failure = std::get_if<log_failure>(&result))
                        return self->failed(*failure, true);
                    self->take(std::get<newest_page>(result));
                });
}

void topic_follower::take(const newest_page& page)
{
    contact();
    if (last_key_.empty())
        next_ = page.end;
    for (const auto& record : page.records)
        callbacks_.on_record(record);
    if (stopped_)
        return;
    if (page.more && !page.records.empty())
        return list(page.records.back().key);
    read();
}

void topic_follower::read()
{
    log_.read(topic_, next_, read_wait, read_wait + read_margin,
              [weak = weak_from_this()](log_result<record_batch> result)
              {
                  const auto self = weak.lock();
                  if (!self || self->stopped_)
                      return;
                  if (const auto* failure = std::get_if<log_failure>(&result))
                      return self->failed(*failure, false);
                  self->take(std::get<record_batch>(result));
              });
}

void topic_follower::take(const record_batch& batch)
{
    contact();
    next_ = std::max(next_, batch.next);
    if (batch.unreadable > 0)
        decisions_.record(log_event::records_unreadable,
                          {{"topic", topic_.get()},
                           {"records", static_cast<std::int64_t>(batch.unreadable)}});
    for (const auto& record : batch.records)
        callbacks_.on_record(record);
    if (stopped_)
        return;
    if (batch.records.empty())
        next_rest_ = rest_.first;
    if (next_rest_ == milliseconds{0} || batch.records.empty())
        return read();
    after(next_rest_, [this] { read(); });
    next_rest_ = std::min(2 * next_rest_, rest_.longest);
}

void topic_follower::contact()
{
    pause_ = milliseconds{0};
    if (std::exchange(lost_, false))
        decisions_.record(log_event::log_regained, {{"topic", topic_.get()}});
}

void topic_follower::failed(const log_failure& failure, bool listing)
{
    if (!std::exchange(lost_, true))
        decisions_.record(log_event::log_lost,
                          {{"topic", topic_.get()},
                           {"cause", std::string(to_string(failure.kind))},
                           {"detail", failure.detail},
                           {"next_offset", static_cast<std::int64_t>(next_.get())}});
    next_rest_ = rest_.first;
    const bool list_anew = listing || failure.kind == log_failure_kind::truncated ||
                           failure.kind == log_failure_kind::malformed;
    if (failure.kind == log_failure_kind::truncated)
        return list({});
    after_pause(
        [this, list_anew]
        {
            if (list_anew)
                list({});
            else
                read();
        });
}

void topic_follower::after_pause(const std::function<void()>& next)
{
    pause_ = std::clamp(2 * pause_, first_pause, longest_pause);
    after(pause_, next);
}

void topic_follower::after(milliseconds pause, const std::function<void()>& next)
{
    timer_.expires_after(pause);
    timer_.async_wait(
        [weak = weak_from_this(), next](asio::error_code ec)
        {
            const auto self = weak.lock();
            if (!ec && self && !self->stopped_)
                next();
        });
}

} // namespace fescueridge::gateway
