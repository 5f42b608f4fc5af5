#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace fescueridge
{

/// Runs tasks in order on a dedicated thread. Used for calls to the log service, which
/// block and therefore must not run on the io threads.
class background_worker
{
public:
    /// Limit on the queued tasks, so that memory stays bounded during an outage of the
    /// log service.
    static constexpr std::size_t max_tasks = 1024;

    background_worker();
    ~background_worker();
    background_worker(const background_worker&) = delete;
    background_worker& operator=(const background_worker&) = delete;

    /// Queues a task. Returns false if the queue is full or the worker was stopped. A
    /// task must not throw.
    bool post(std::function<void()> task);

    /// Waits for the running task, discards the queued tasks and joins the thread.
    void stop();

private:
    void run();

    std::mutex mutex_;
    std::condition_variable state_changed_;
    std::deque<std::function<void()>> tasks_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace fescueridge
