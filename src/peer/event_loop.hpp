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
/// \brief One thread's event loop: epoll for sockets, an eventfd to wake it for tasks of other threads.

namespace arbutuscrank::peer {

/// \brief Event loop. \ref post may be called from any thread, everything else only from the loop's thread.
class EventLoop {
public:
    using IoHandler = std::function<void(std::uint32_t events)>;
    using Task = std::function<void()>;
    /// Registration of a file descriptor. A number is never used twice, so events of a closed descriptor are not
    /// taken for those of a new one with the same number.
    using Watch = std::uint64_t;

    EventLoop() = default;
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;
    ~EventLoop();

    [[nodiscard]] Result<void> open();
    [[nodiscard]] Watch add(int fd, std::uint32_t events, IoHandler handler);
    void modify(Watch watch, std::uint32_t events);
    void remove(Watch watch);

    /// \brief Runs a task on the loop's thread. \returns false once the loop has ended; the task is then dropped
    bool post(Task task);

    /// \brief Runs until \ref quit. \param onTick called about every \p interval
    void run(std::chrono::milliseconds interval, const Task& onTick);
    void quit() noexcept { m_quit = true; }
    /// \brief Runs the tasks that were posted and refuses later ones.
    void close();

private:
    struct Entry {
        int fd = -1;
        IoHandler handler;
    };

    void runTasks();
    void drainWakeUps() const;

    int m_epoll = -1;
    int m_wake = -1;
    bool m_quit = false;
    Watch m_nextWatch = 1; ///< 0 stands for the eventfd
    std::unordered_map<Watch, std::shared_ptr<Entry>> m_entries;
    std::mutex m_mutex;
    std::vector<Task> m_tasks;
    bool m_closed = false;
};

} // namespace arbutuscrank::peer
