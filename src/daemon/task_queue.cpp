#include "daemon/task_queue.hpp"

namespace arbutuscrank {

TaskQueue::TaskQueue(std::size_t threads)
{
    m_threads.reserve(threads);
    for (std::size_t n = 0; n < threads; ++n)
        m_threads.emplace_back([this] { runTasks(); });
}

TaskQueue::~TaskQueue() { stop(); }

bool TaskQueue::post(std::function<void()> task, std::size_t maxQueuedTasks)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopping || m_tasks.size() >= maxQueuedTasks)
            return false;
        m_tasks.push_back(std::move(task));
    }
    m_wakeUp.notify_one();
    return true;
}

void TaskQueue::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
        m_tasks.clear();
    }
    m_wakeUp.notify_all();
    for (auto& it : m_threads) {
        if (it.joinable())
            it.join();
    }
}

void TaskQueue::runTasks()
{
    while (true) {
        std::unique_lock lock(m_mutex);
        m_wakeUp.wait(lock, [this] { return m_isStopping || !m_tasks.empty(); });
        if (m_isStopping)
            return;
        const auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
    }
}

} // namespace arbutuscrank
