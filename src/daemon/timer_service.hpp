#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

/// \file
/// \brief Calls functions periodically on one thread.

namespace arbutuscrank {

/// \brief Runs periodic callbacks one after another on its own thread. Subscriptions are made before \ref start.
class TimerService {
public:
    TimerService() = default;
    ~TimerService();
    TimerService(const TimerService&) = delete;
    TimerService& operator=(const TimerService&) = delete;

    /// \brief Calls \p callback every \p period. A call that is late by a period or more is followed by one more
    /// immediately; the other missed calls are skipped.
    void subscribe(std::chrono::milliseconds period, std::function<void()> callback);
    void start();
    void stop();

private:
    struct Subscription {
        std::chrono::milliseconds period;
        std::function<void()> callback;
        std::chrono::steady_clock::time_point nextDueAt;
    };

    void run();
    void runDueCallbacks();
    [[nodiscard]] std::chrono::steady_clock::time_point nextDueTime() const;

    std::vector<Subscription> m_subscriptions;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace arbutuscrank
