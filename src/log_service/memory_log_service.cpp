#include "fescueridge/log_service/memory_log_service.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <thread>
#include <utility>

namespace fescueridge
{

log_offset memory_log_service::append(const std::string& stream, const std::string& data,
                                      milliseconds timeout)
{
    std::unique_lock<std::mutex> lock(mutex_);
    settle(clock::now());
    if (down_)
    {
        throw log_unavailable_error("log service is down");
    }
    if (slow_ >= timeout && slow_ > milliseconds(0))
    {
        // The request has arrived, so it takes effect after its sender gave up on it.
        delayed_.push_back({clock::now() + slow_, stream, data});
        apply_delay(lock, timeout, true);
    }
    apply_delay(lock, timeout, true);
    const append_fault fault = faults_ ? faults_() : append_fault::none;
    switch (fault)
    {
    case append_fault::none:
        return store(stream, data);
    case append_fault::down:
        throw log_unavailable_error("log service is down");
    case append_fault::lost_answer:
        store(stream, data);
        break;
    case append_fault::lost_append:
        break;
    case append_fault::delayed:
        delayed_.push_back({clock::now() + delay_, stream, data});
        break;
    }
    throw log_unknown_error("no answer to an append");
}

log_page memory_log_service::read(const std::string& stream, log_offset from,
                                  std::uint32_t max_records, milliseconds wait,
                                  milliseconds timeout)
{
    std::unique_lock<std::mutex> lock(mutex_);
    apply_delay(lock, timeout, false);
    const time_point deadline = clock::now() + wait;
    while (true)
    {
        const time_point now = clock::now();
        settle(now);
        if (down_)
        {
            throw log_unavailable_error("log service is down");
        }
        log_page page = page_of(streams_[stream], from, max_records);
        if (!page.records.empty() || now >= deadline)
        {
            return page;
        }
        changed_.wait_until(lock, std::min(deadline, next_due().value_or(deadline)));
    }
}

log_offset memory_log_service::store(const std::string& stream, const std::string& data)
{
    stream_data& target = streams_[stream];
    const log_offset offset(target.next++);
    const std::int64_t wall_ms = wall_clock_ ? wall_clock_() : wall_clock_ms();
    target.records.push_back({offset, wall_ms, data});
    ++append_count_;
    changed_.notify_all();
    return offset;
}

/// Carries out delayed appends that are due and drops records by age.
void memory_log_service::settle(time_point now)
{
    std::stable_sort(delayed_.begin(), delayed_.end(),
                     [](const delayed_append& a, const delayed_append& b)
                     { return a.due < b.due; });
    while (!delayed_.empty() && delayed_.front().due <= now)
    {
        const delayed_append append = std::move(delayed_.front());
        delayed_.erase(delayed_.begin());
        store(append.stream, append.data);
    }
    if (retention_ <= milliseconds(0))
    {
        return;
    }
    const std::int64_t wall_ms = wall_clock_ ? wall_clock_() : wall_clock_ms();
    for (auto& [name, data] : streams_)
    {
        while (!data.records.empty() &&
               data.records.front().wall_ms + retention_.count() < wall_ms)
        {
            data.records.pop_front();
        }
    }
}

std::optional<time_point> memory_log_service::next_due() const
{
    std::optional<time_point> due;
    for (const delayed_append& append : delayed_)
    {
        due = std::min(append.due, due.value_or(append.due));
    }
    return due;
}

log_page memory_log_service::page_of(const stream_data& data, log_offset from,
                                     std::uint32_t max_records) const
{
    log_page page;
    page.next = log_offset(data.next);
    page.oldest = data.records.empty() ? page.next : data.records.front().offset;
    if (from < page.oldest)
    {
        throw log_truncated_error(fmt::format("offset {} was dropped", from.get()),
                                  page.oldest);
    }
    std::size_t index = from.get() - page.oldest.get();
    for (; index < data.records.size() && page.records.size() < max_records; ++index)
    {
        page.records.push_back(data.records[index]);
    }
    return page;
}

void memory_log_service::apply_delay(std::unique_lock<std::mutex>& lock,
                                     milliseconds timeout, bool is_append)
{
    const milliseconds delay = std::min(slow_, timeout);
    if (delay <= milliseconds(0))
    {
        return;
    }
    const bool too_slow = slow_ >= timeout;
    lock.unlock();
    std::this_thread::sleep_for(delay);
    lock.lock();
    if (too_slow && is_append)
    {
        throw log_unknown_error("append timed out");
    }
    if (too_slow)
    {
        throw log_unavailable_error("read timed out");
    }
}

void memory_log_service::set_down(bool down)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    down_ = down;
    changed_.notify_all();
}

void memory_log_service::set_slow(milliseconds delay)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    slow_ = delay;
}

void memory_log_service::set_append_faults(fault_source source, milliseconds delay)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    faults_ = std::move(source);
    delay_ = delay;
}

void memory_log_service::drop_before(const std::string& stream, log_offset offset)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::deque<log_record>& records = streams_[stream].records;
    while (!records.empty() && records.front().offset < offset)
    {
        records.pop_front();
    }
}

void memory_log_service::set_retention(milliseconds retention)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    retention_ = retention;
}

void memory_log_service::rewind(const std::string& stream, log_offset next)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    stream_data& target = streams_[stream];
    while (!target.records.empty() && target.records.back().offset >= next)
    {
        target.records.pop_back();
    }
    target.next = std::min(target.next, next.get());
}

void memory_log_service::set_wall_clock(std::function<std::int64_t()> source)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    wall_clock_ = std::move(source);
}

std::size_t memory_log_service::append_count() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return append_count_;
}

std::vector<log_record> memory_log_service::records(const std::string& stream) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = streams_.find(stream);
    if (found == streams_.end())
    {
        return {};
    }
    return {found->second.records.begin(), found->second.records.end()};
}

} // namespace fescueridge
