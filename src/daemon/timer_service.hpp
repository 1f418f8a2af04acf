#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

/// \file
/// \brief One thread that calls subscribers at their periods.

namespace arbutuscrank {

/// \brief Timer service. Subscriptions are made before \ref start; callbacks run on the service's thread one at a time.
class TimerService {
public:
    TimerService() = default;
    ~TimerService();
    TimerService(const TimerService&) = delete;
    TimerService& operator=(const TimerService&) = delete;

    /// \brief Calls \p callback every \p period. Calls that were missed are not made up for.
    void subscribe(std::chrono::milliseconds period, std::function<void()> callback);
    void start();
    void stop();

private:
    struct Subscription {
        std::chrono::milliseconds period;
        std::function<void()> callback;
        std::chrono::steady_clock::time_point next;
    };

    void run();
    void callDue();
    [[nodiscard]] std::chrono::steady_clock::time_point nextCall() const;

    std::vector<Subscription> m_subscriptions;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace arbutuscrank
