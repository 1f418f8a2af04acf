#include "daemon/task_queue.hpp"

namespace arbutuscrank {

TaskQueue::TaskQueue(std::size_t threads)
{
    m_threads.reserve(threads);
    for (std::size_t n = 0; n < threads; ++n)
        m_threads.emplace_back([this] { run(); });
}

TaskQueue::~TaskQueue() { stop(); }

bool TaskQueue::post(std::function<void()> task, std::size_t limit)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping || m_tasks.size() >= limit)
            return false;
        m_tasks.push_back(std::move(task));
    }
    m_wake.notify_one();
    return true;
}

void TaskQueue::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_tasks.clear();
    }
    m_wake.notify_all();
    for (auto& it : m_threads) {
        if (it.joinable())
            it.join();
    }
}

void TaskQueue::run()
{
    while (true) {
        std::unique_lock lock(m_mutex);
        m_wake.wait(lock, [this] { return m_stopping || !m_tasks.empty(); });
        if (m_stopping)
            return;
        const auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
    }
}

} // namespace arbutuscrank
