#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace fescueridge
{

/// Runs tasks one after the other on a thread of its own: calls to the log service block,
/// and the io threads must not.
class background_worker
{
public:
    /// Tasks that wait at the most; an outage of the log must not fill the memory.
    static constexpr std::size_t max_tasks = 1024;

    background_worker();
    ~background_worker();
    background_worker(const background_worker&) = delete;
    background_worker& operator=(const background_worker&) = delete;

    /// Adds a task; false when too many wait or the worker was stopped. A task must not
    /// throw.
    bool post(std::function<void()> task);

    /// Ends after the task under way; tasks that wait are dropped.
    void stop();

private:
    void run();

    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<std::function<void()>> tasks_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace fescueridge
