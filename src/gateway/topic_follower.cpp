#include "fescueridge/gateway/topic_follower.hpp"

#include <algorithm>
#include <cmath>

namespace fescueridge::gateway
{
namespace
{

constexpr milliseconds list_timeout{1'000};

/// Shortest delay of a probe, as a fraction of the longest.
constexpr double min_probe_delay_fraction = 0.5;

/// Rate of the exponential distribution of probe delays, over the range of delays. In a
/// fleet of up to some thousand nodes a few probe first, and their reports confirm the
/// topic for the others in time.
constexpr double probe_delay_skew = 8;

/// Range of the exponential backoff after failures. The first pause is short, because a
/// single lost answer is the most common failure.
constexpr milliseconds min_retry_pause{100};
constexpr milliseconds max_retry_pause{800};

} // namespace

topic_follower::topic_follower(asio::io_context& io, keyed_log& log,
                               decision_log& decisions, topic_name topic,
                               topic_callbacks callbacks, read_delay delay,
                               std::optional<freshness::probe_timing> probes)
    : log_(log), decisions_(decisions), topic_(std::move(topic)),
      callbacks_(std::move(callbacks)), read_delay_(delay), next_read_delay_(delay.first),
      probes_(probes), timer_(io), probe_timer_(io), random_(random_seed())
{
}

void topic_follower::start()
{
    confirmed_at_ = clock::now();
    if (probes_)
    {
        probe_timeout_ = probes_->timeout;
        schedule_probe(next_probe_delay());
    }
    list_keys({});
}

void topic_follower::stop()
{
    stopped_ = true;
    probe_timer_.cancel();
    timer_.cancel();
}

void topic_follower::restart()
{
    if (stopped_)
        return;
    ++restarts_;
    abandon_waiting_read();
    next_offset_ = log_offset(0);
    next_read_delay_ = read_delay_.first;
    list_keys({});
}

void topic_follower::list_keys(const std::string& after)
{
    list_after_key_ = after;
    log_.list_newest(
        topic_, after, list_timeout,
        [weak = weak_from_this(), chain = chain_](log_result<newest_page> result)
        {
            const auto self = weak.lock();
            if (!self || !self->is_current(chain))
                return;
            if (const auto* failure = std::get_if<log_failure>(&result))
                return self->on_failure(*failure, true);
            self->on_page(std::get<newest_page>(result));
        });
}

void topic_follower::on_page(const newest_page& page)
{
    on_success(clock::now());
    if (list_after_key_.empty())
        next_offset_ = page.end;
    skip(page.unreadable);
    for (const auto& record : page.records)
        callbacks_.on_record(record);
    if (stopped_)
        return;
    if (page.has_more && !page.records.empty())
        return list_keys(page.records.back().key);
    listed_ = true;
    read_records();
}

void topic_follower::read_records()
{
    log_.read(topic_, next_offset_, freshness::max_read_wait,
              freshness::max_read_wait + freshness::read_timeout_margin,
              [weak = weak_from_this(), chain = chain_](log_result<record_batch> result)
              {
                  const auto self = weak.lock();
                  if (!self || !self->is_current(chain))
                      return;
                  if (const auto* failure = std::get_if<log_failure>(&result))
                      return self->on_failure(*failure, false);
                  self->on_batch(std::get<record_batch>(result));
              });
}

void topic_follower::skip(std::size_t unreadable)
{
    if (unreadable == 0)
        return;
    skipped_ += unreadable;
    decisions_.record(
        log_event::records_unreadable,
        {{"topic", topic_.get()}, {"records", static_cast<std::int64_t>(unreadable)}});
}

void topic_follower::deliver(const record_batch& batch)
{
    next_offset_ = std::max(next_offset_, batch.next);
    skip(batch.unreadable);
    for (const auto& record : batch.records)
        callbacks_.on_record(record);
}

void topic_follower::on_batch(const record_batch& batch)
{
    on_success(clock::now());
    deliver(batch);
    if (stopped_)
        return;
    if (batch.records.empty())
        next_read_delay_ = read_delay_.first;
    if (next_read_delay_ == milliseconds{0} || batch.records.empty())
        return read_records();
    schedule(next_read_delay_, [this] { read_records(); });
    next_read_delay_ = std::min(2 * next_read_delay_, read_delay_.longest);
}

void topic_follower::on_success(time_point complete_at)
{
    retry_pause_ = milliseconds{0};
    confirm(complete_at);
    if (std::exchange(log_lost_, false))
        decisions_.record(log_event::log_regained, {{"topic", topic_.get()}});
}

void topic_follower::on_failure(const log_failure& failure, bool listing)
{
    log_failure_once(failure);
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

void topic_follower::log_failure_once(const log_failure& failure)
{
    if (!std::exchange(log_lost_, true))
        decisions_.record(
            log_event::log_lost,
            {{"topic", topic_.get()},
             {"cause", std::string(to_string(failure.kind))},
             {"detail", failure.detail},
             {"confirmed_ms_ago", static_cast<std::int64_t>(unconfirmed_for().count())},
             {"next_offset", static_cast<std::int64_t>(next_offset_.get())}});
}

void topic_follower::schedule_retry(const std::function<void()>& next)
{
    retry_pause_ = std::clamp(2 * retry_pause_, min_retry_pause, max_retry_pause);
    retry_scheduled_ = true;
    schedule(retry_pause_,
             [this, next]
             {
                 retry_scheduled_ = false;
                 next();
             });
}

void topic_follower::schedule(milliseconds delay, const std::function<void()>& next)
{
    timer_.expires_after(delay);
    timer_.async_wait(
        [weak = weak_from_this(), next, chain = chain_](asio::error_code ec)
        {
            const auto self = weak.lock();
            if (!ec && self && !self->stopped_ && self->chain_ == chain)
                next();
        });
}

milliseconds topic_follower::next_probe_delay()
{
    std::uniform_real_distribution<double> uniform(0, 1);
    const double position =
        std::log1p(uniform(random_) * std::expm1(probe_delay_skew)) / probe_delay_skew;
    const double fraction =
        min_probe_delay_fraction + (1 - min_probe_delay_fraction) * position;
    return milliseconds(static_cast<std::int64_t>(
        fraction * static_cast<double>(probes_->interval.count())));
}

void topic_follower::schedule_probe(milliseconds delay)
{
    probe_timer_.expires_after(delay);
    probe_timer_.async_wait(
        [weak = weak_from_this(), delay](asio::error_code ec)
        {
            const auto self = weak.lock();
            if (ec || !self || self->stopped_)
                return;
            const auto remaining = delay - self->unconfirmed_for();
            if (remaining > milliseconds{0})
                self->schedule_probe(remaining);
            else
                self->probe();
        });
}

void topic_follower::probe()
{
    // The next read confirms the topic soon enough.
    if (retry_scheduled_)
        return schedule_probe(next_probe_delay());
    log_.read(topic_, next_offset_, milliseconds{0}, probe_timeout_,
              [weak = weak_from_this(), restarts = restarts_,
               sent_at = clock::now()](const log_result<record_batch>& result)
              {
                  const auto self = weak.lock();
                  if (!self || self->stopped_)
                      return;
                  if (self->restarts_ != restarts)
                      return self->schedule_probe(self->next_probe_delay());
                  self->on_probe(result, sent_at);
              });
}

void topic_follower::abandon_waiting_read()
{
    ++chain_;
    retry_scheduled_ = false;
    timer_.cancel();
}

// The waiting read is replaced when the probe shows that it has missed records.
void topic_follower::on_probe(const log_result<record_batch>& result, time_point sent_at)
{
    schedule_probe(next_probe_delay());
    if (const auto* failure = std::get_if<log_failure>(&result))
    {
        if (failure->kind == log_failure_kind::unknown)
            probe_timeout_ = std::min(2 * probe_timeout_, freshness::max_probe_timeout);
        log_failure_once(*failure);
        if (failure->kind != log_failure_kind::truncated)
            return;
        abandon_waiting_read();
        return list_keys({});
    }
    // The answer may have been on its way since the log received the probe.
    on_success(sent_at);
    probe_timeout_ = probes_->timeout;
    const auto& batch = std::get<record_batch>(result);
    const bool read_missed_records = batch.next > next_offset_;
    deliver(batch);
    if (stopped_)
        return;
    if (read_missed_records)
    {
        abandon_waiting_read();
        read_records();
    }
    if (callbacks_.on_probe_answered)
        callbacks_.on_probe_answered();
}

} // namespace fescueridge::gateway
