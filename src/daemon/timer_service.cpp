#include "daemon/timer_service.hpp"

#include <algorithm>

namespace arbutuscrank {

TimerService::~TimerService() { stop(); }

void TimerService::subscribe(std::chrono::milliseconds period, std::function<void()> callback)
{
    m_subscriptions.push_back({ period, std::move(callback), std::chrono::steady_clock::now() });
}

void TimerService::start()
{
    m_thread = std::thread([this] { run(); });
}

void TimerService::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wakeUp.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

std::chrono::steady_clock::time_point TimerService::nextDueTime() const
{
    auto next = std::chrono::steady_clock::now() + std::chrono::seconds(1);
    for (const auto& it : m_subscriptions)
        next = std::min(next, it.nextDueAt);
    return next;
}

void TimerService::runDueCallbacks()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto& it : m_subscriptions) {
        if (it.nextDueAt > now)
            continue;
        it.callback();
        it.nextDueAt = std::max(it.nextDueAt + it.period, now);
    }
}

void TimerService::run()
{
    while (true) {
        runDueCallbacks();
        std::unique_lock lock(m_mutex);
        if (m_wakeUp.wait_until(lock, nextDueTime(), [this] { return m_isStopping; }))
            return;
    }
}

} // namespace arbutuscrank
