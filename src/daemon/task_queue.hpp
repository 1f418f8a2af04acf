#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

/// \file
/// \brief Threads that run queued tasks.

namespace arbutuscrank {

/// \brief Runs tasks on a fixed number of threads, in the order they were posted.
class TaskQueue {
public:
    explicit TaskQueue(std::size_t threads);
    ~TaskQueue();
    TaskQueue(const TaskQueue&) = delete;
    TaskQueue& operator=(const TaskQueue&) = delete;

    /// \brief Adds a task. \returns false if the queue is full or stopping; the task is dropped then
    bool post(std::function<void()> task, std::size_t limit = SIZE_MAX);

    /// \brief Drops queued tasks and waits for running ones.
    void stop();

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void()>> m_tasks;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace arbutuscrank
