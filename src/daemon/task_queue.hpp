#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

/// \file
/// \brief Queue of tasks with a pool of threads.

namespace arbutuscrank {

/// \brief Runs tasks on a fixed number of threads. Tasks start in the order in which they were posted.
class TaskQueue {
public:
    explicit TaskQueue(std::size_t threads);
    ~TaskQueue();
    TaskQueue(const TaskQueue&) = delete;
    TaskQueue& operator=(const TaskQueue&) = delete;

    /// \brief Adds a task.
    /// \param maxQueuedTasks number of waiting tasks at which the queue counts as full
    /// \returns false if the queue is full or stopped; the task is then dropped
    bool post(std::function<void()> task, std::size_t maxQueuedTasks = SIZE_MAX);

    /// \brief Drops waiting tasks and waits until the running ones have ended.
    void stop();

private:
    void runTasks();

    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::deque<std::function<void()>> m_tasks;
    bool m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace arbutuscrank
