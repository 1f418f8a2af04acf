#pragma once

#include <arbutuscrank/core/error.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Event loop of one thread: epoll for sockets, and an eventfd through which other threads wake it for tasks.

namespace arbutuscrank::peer {

/// \brief Dispatches socket events and tasks. \ref post may be called from any thread; all other calls are made on the
/// loop's thread, or before it runs.
class EventLoop {
public:
    using IoHandler = std::function<void(std::uint32_t events)>;
    using Task = std::function<void()>;
    /// Identifies the registration of a file descriptor. An id is never reused, so a pending event of a closed
    /// descriptor is not attributed to a new descriptor with the same number.
    using WatchId = std::uint64_t;

    EventLoop() = default;
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;
    ~EventLoop();

    /// \returns Unavailable if epoll or the eventfd cannot be created
    [[nodiscard]] Result<void> open();
    [[nodiscard]] WatchId add(int fd, std::uint32_t events, IoHandler handler);
    void modify(WatchId watchId, std::uint32_t events);
    void remove(WatchId watchId);

    /// \brief Queues a task for the loop's thread.
    /// \returns false if the loop is closed; the task is then dropped
    bool post(Task task);

    /// \brief Dispatches events until \ref quit.
    /// \param interval time between two calls of \p onTick; a busy loop may delay a call
    void run(std::chrono::milliseconds interval, const Task& onTick);
    void quit() noexcept { m_isQuitting = true; }
    /// \brief Runs the queued tasks and rejects later ones.
    void close();

private:
    struct Registration {
        int fd = -1;
        IoHandler handler;
    };

    void runTasks();
    void drainWakeFd() const;

    int m_epollFd = -1;
    int m_wakeFd = -1;
    bool m_isQuitting = false;
    WatchId m_nextWatchId = 1; ///< 0 identifies the eventfd
    std::unordered_map<WatchId, std::shared_ptr<Registration>> m_registrations;
    std::mutex m_mutex;
    std::vector<Task> m_tasks;
    bool m_isClosed = false;
};

} // namespace arbutuscrank::peer
