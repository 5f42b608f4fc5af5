#include "fescueridge/node/background_worker.hpp"

namespace fescueridge
{

background_worker::background_worker() : thread_([this] { run(); }) {}

background_worker::~background_worker()
{
    stop();
}

bool background_worker::post(std::function<void()> task)
{
    const std::lock_guard lock(mutex_);
    if (stopping_ || tasks_.size() >= max_tasks)
    {
        return false;
    }
    tasks_.push_back(std::move(task));
    state_changed_.notify_one();
    return true;
}

void background_worker::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        state_changed_.notify_one();
    }
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void background_worker::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_)
    {
        if (tasks_.empty())
        {
            state_changed_.wait(lock);
            continue;
        }
        const auto task = std::move(tasks_.front());
        tasks_.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace fescueridge
