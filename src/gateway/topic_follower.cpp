#include "fescueridge/gateway/topic_follower.hpp"

#include <algorithm>

namespace fescueridge::gateway
{
namespace
{

/// Maximum wait of a read for new records. A silent connection to the log is detected
/// after this time plus the margin; until then peers supply new configurations.
constexpr milliseconds max_read_wait{20'000};
constexpr milliseconds read_timeout_margin{1'000};

constexpr milliseconds list_timeout{1'000};

/// Range of the exponential backoff after failures. The first pause is short, because a
/// single lost answer is the most common failure.
constexpr milliseconds min_retry_pause{100};
constexpr milliseconds max_retry_pause{800};

} // namespace

topic_follower::topic_follower(asio::io_context& io, keyed_log& log,
                               decision_log& decisions, topic_name topic,
                               topic_callbacks callbacks, read_delay delay)
    : log_(log), decisions_(decisions), topic_(std::move(topic)),
      callbacks_(std::move(callbacks)), read_delay_(delay), next_read_delay_(delay.first),
      timer_(io)
{
}

void topic_follower::start()
{
    confirmed_at_ = clock::now();
    list_keys({});
}

void topic_follower::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void topic_follower::list_keys(const std::string& after)
{
    list_after_key_ = after;
    log_.list_newest(topic_, after, list_timeout,
                     [weak = weak_from_this()](log_result<newest_page> result)
                     {
                         const auto self = weak.lock();
                         if (!self || self->stopped_)
                             return;
                         if (const auto* failure = std::get_if<log_failure>(&result))
                             return self->on_failure(*failure, true);
                         self->on_page(std::get<newest_page>(result));
                     });
}

void topic_follower::on_page(const newest_page& page)
{
    on_success();
    if (list_after_key_.empty())
        next_offset_ = page.end;
    for (const auto& record : page.records)
        callbacks_.on_record(record);
    if (stopped_)
        return;
    if (page.has_more && !page.records.empty())
        return list_keys(page.records.back().key);
    read_records();
}

void topic_follower::read_records()
{
    log_.read(topic_, next_offset_, max_read_wait, max_read_wait + read_timeout_margin,
              [weak = weak_from_this()](log_result<record_batch> result)
              {
                  const auto self = weak.lock();
                  if (!self || self->stopped_)
                      return;
                  if (const auto* failure = std::get_if<log_failure>(&result))
                      return self->on_failure(*failure, false);
                  self->on_batch(std::get<record_batch>(result));
              });
}

void topic_follower::on_batch(const record_batch& batch)
{
    on_success();
    next_offset_ = std::max(next_offset_, batch.next);
    if (batch.unreadable > 0)
        decisions_.record(log_event::records_unreadable,
                          {{"topic", topic_.get()},
                           {"records", static_cast<std::int64_t>(batch.unreadable)}});
    for (const auto& record : batch.records)
        callbacks_.on_record(record);
    if (stopped_)
        return;
    if (batch.records.empty())
        next_read_delay_ = read_delay_.first;
    if (next_read_delay_ == milliseconds{0} || batch.records.empty())
        return read_records();
    schedule(next_read_delay_, [this] { read_records(); });
    next_read_delay_ = std::min(2 * next_read_delay_, read_delay_.longest);
}

void topic_follower::on_success()
{
    retry_pause_ = milliseconds{0};
    confirmed_at_ = clock::now();
    if (std::exchange(log_lost_, false))
        decisions_.record(log_event::log_regained, {{"topic", topic_.get()}});
}

void topic_follower::on_failure(const log_failure& failure, bool listing)
{
    if (!std::exchange(log_lost_, true))
        decisions_.record(
            log_event::log_lost,
            {{"topic", topic_.get()},
             {"cause", std::string(to_string(failure.kind))},
             {"detail", failure.detail},
             {"confirmed_ms_ago", static_cast<std::int64_t>(unconfirmed_for().count())},
             {"next_offset", static_cast<std::int64_t>(next_offset_.get())}});
    next_read_delay_ = read_delay_.first;
    const bool restart_listing = listing || failure.kind == log_failure_kind::truncated ||
                                 failure.kind == log_failure_kind::malformed;
    if (failure.kind == log_failure_kind::truncated)
        return list_keys({});
    schedule_retry(
        [this, restart_listing]
        {
            if (restart_listing)
                list_keys({});
            else
                read_records();
        });
}

void topic_follower::schedule_retry(const std::function<void()>& next)
{
    retry_pause_ = std::clamp(2 * retry_pause_, min_retry_pause, max_retry_pause);
    schedule(retry_pause_, next);
}

void topic_follower::schedule(milliseconds delay, const std::function<void()>& next)
{
    timer_.expires_after(delay);
    timer_.async_wait(
        [weak = weak_from_this(), next](asio::error_code ec)
        {
            const auto self = weak.lock();
            if (!ec && self && !self->stopped_)
                next();
        });
}

} // namespace fescueridge::gateway
