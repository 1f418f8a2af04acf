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
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

std::chrono::steady_clock::time_point TimerService::nextCall() const
{
    auto next = std::chrono::steady_clock::now() + std::chrono::seconds(1);
    for (const auto& it : m_subscriptions)
        next = std::min(next, it.next);
    return next;
}

void TimerService::callDue()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto& it : m_subscriptions) {
        if (it.next > now)
            continue;
        it.callback();
        it.next = std::max(it.next + it.period, now);
    }
}

void TimerService::run()
{
    while (true) {
        callDue();
        std::unique_lock lock(m_mutex);
        if (m_wake.wait_until(lock, nextCall(), [this] { return m_stopping; }))
            return;
    }
}

} // namespace arbutuscrank
