#include "fescueridge/state/stream_follower.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace fescueridge
{

namespace
{

// interrupt_reads() can miss a read that is just starting, so it is repeated after this
// time.
constexpr milliseconds interrupt_interval{5};

} // namespace

log_backwards_error::log_backwards_error(const std::string& stream,
                                         log_offset read_offset, log_offset end_offset)
    : error(
          fmt::format("stream {} ends at offset {}, but was already read up to offset {}",
                      stream, end_offset.get(), read_offset.get())),
      read_offset_(read_offset), end_offset_(end_offset)
{
}

stream_follower::stream_follower(log_service& log, follow_options options,
                                 follow_handlers handlers)
    : log_(log), options_(std::move(options)), handlers_(std::move(handlers)),
      random_(random_seed()), following_(!options_.start_paused),
      thread_([this] { run(); })
{
}

stream_follower::~stream_follower()
{
    stop();
}

void stream_follower::set_following(bool following)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    following_ = following;
    state_changed_.notify_all();
}

void stream_follower::stop()
{
    {
        std::unique_lock<std::mutex> lock(mutex_);
        stopping_ = true;
        state_changed_.notify_all();
        while (!thread_ended_)
        {
            lock.unlock();
            log_.interrupt_reads(options_.stream);
            lock.lock();
            state_changed_.wait_for(lock, interrupt_interval,
                                    [this] { return thread_ended_; });
        }
    }
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void stream_follower::run()
{
    while (wait_until_poll_allowed())
    {
        try
        {
            poll();
        }
        catch (const log_truncated_error& problem)
        {
            next_ = problem.oldest();
            handlers_.truncated(next_);
        }
        catch (const error& problem)
        {
            back_off(problem);
            continue;
        }
        backoff_ = milliseconds(0);
        pause_randomly(options_.max_poll_interval);
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    thread_ended_ = true;
    state_changed_.notify_all();
}

bool stream_follower::wait_until_poll_allowed()
{
    std::unique_lock<std::mutex> lock(mutex_);
    state_changed_.wait(lock, [this] { return stopping_ || following_; });
    return !stopping_;
}

bool stream_follower::is_stopping()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return stopping_;
}

void stream_follower::poll()
{
    std::uniform_int_distribution<std::int64_t> wait(options_.max_poll_wait.count() / 2,
                                                     options_.max_poll_wait.count());
    // The first read does not wait. Until it is answered, a reader of an empty stream
    // cannot tell that it is at the end and refuses requests that need the stream.
    const milliseconds poll_wait(first_poll_answered_ ? wait(random_) : 0);
    const log_page page = log_.read(options_.stream, next_, options_.max_page_records,
                                    poll_wait, poll_wait + options_.answer_timeout);
    first_poll_answered_ = true;
    reachable_ = true;
    if (page.next < next_)
    {
        throw log_backwards_error(options_.stream, next_, page.next);
    }
    if (!page.records.empty())
    {
        next_ = log_offset(page.records.back().offset.get() + 1);
    }
    handlers_.page(page);
}

void stream_follower::back_off(const error& problem)
{
    if (is_stopping())
    {
        return; // stop() has interrupted the read
    }
    const bool backwards = dynamic_cast<const log_backwards_error*>(&problem) != nullptr;
    reachable_ = backwards;
    if (backoff_ == milliseconds(0) || backwards != last_fault_backwards_)
    {
        handlers_.fault(problem);
    }
    last_fault_backwards_ = backwards;
    backoff_ = std::clamp(backoff_ * 2, options_.min_backoff, options_.max_backoff);
    pause_randomly(backoff_);
}

/// Waits for a random time between a quarter and all of `max_pause`, so that nodes that
/// failed together do not retry together.
void stream_follower::pause_randomly(milliseconds max_pause)
{
    if (max_pause <= milliseconds(0))
    {
        return;
    }
    std::uniform_int_distribution<std::int64_t> pause_distribution(max_pause.count() / 4,
                                                                   max_pause.count());
    std::unique_lock<std::mutex> lock(mutex_);
    state_changed_.wait_for(lock, milliseconds(pause_distribution(random_)),
                            [this] { return stopping_; });
}

} // namespace fescueridge
