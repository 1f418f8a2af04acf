#include "peer/event_loop.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <system_error>
#include <utility>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace arbutuscrank::peer {

EventLoop::~EventLoop()
{
    if (m_epollFd >= 0)
        ::close(m_epollFd);
    if (m_wakeFd >= 0)
        ::close(m_wakeFd);
}

Result<void> EventLoop::open()
{
    m_epollFd = ::epoll_create1(EPOLL_CLOEXEC);
    m_wakeFd = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    epoll_event event {};
    event.events = EPOLLIN;
    if (m_epollFd < 0 || m_wakeFd < 0 || ::epoll_ctl(m_epollFd, EPOLL_CTL_ADD, m_wakeFd, &event) != 0)
        return Error { ErrorCode::Unavailable, "peer.loop", {}, std::generic_category().message(errno) };
    return outcome::success();
}

EventLoop::WatchId EventLoop::add(int fd, std::uint32_t events, IoHandler handler)
{
    const auto watchId = m_nextWatchId++;
    m_registrations[watchId] = std::make_shared<Registration>(Registration { fd, std::move(handler) });
    epoll_event event {};
    event.events = events;
    event.data.u64 = watchId;
    ::epoll_ctl(m_epollFd, EPOLL_CTL_ADD, fd, &event);
    return watchId;
}

void EventLoop::modify(WatchId watchId, std::uint32_t events)
{
    const auto it = m_registrations.find(watchId);
    if (it == m_registrations.end())
        return;
    epoll_event event {};
    event.events = events;
    event.data.u64 = watchId;
    ::epoll_ctl(m_epollFd, EPOLL_CTL_MOD, it->second->fd, &event);
}

void EventLoop::remove(WatchId watchId)
{
    const auto it = m_registrations.find(watchId);
    if (it == m_registrations.end())
        return;
    ::epoll_ctl(m_epollFd, EPOLL_CTL_DEL, it->second->fd, nullptr);
    m_registrations.erase(it);
}

bool EventLoop::post(Task task)
{
    bool isFirstTask = false;
    {
        const std::lock_guard lock(m_mutex);
        if (m_isClosed)
            return false;
        isFirstTask = m_tasks.empty();
        m_tasks.push_back(std::move(task));
    }
    if (isFirstTask) {
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto n = ::write(m_wakeFd, &one, sizeof one);
    }
    return true;
}

void EventLoop::runTasks()
{
    std::vector<Task> tasks;
    {
        const std::lock_guard lock(m_mutex);
        tasks.swap(m_tasks);
    }
    for (const auto& it : tasks)
        it();
}

void EventLoop::drainWakeFd() const
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto n = ::read(m_wakeFd, &count, sizeof count);
}

void EventLoop::run(std::chrono::milliseconds interval, const Task& onTick)
{
    using Clock = std::chrono::steady_clock;
    constexpr std::size_t eventsPerWait = 128;
    std::array<epoll_event, eventsPerWait> events {};
    auto nextTick = Clock::now() + interval;
    while (!m_isQuitting) {
        const auto remainingMillis = std::chrono::ceil<std::chrono::milliseconds>(nextTick - Clock::now()).count();
        const auto timeoutMillis = remainingMillis > 0 ? static_cast<int>(remainingMillis) : 0;
        const auto n = ::epoll_wait(m_epollFd, events.data(), static_cast<int>(events.size()), timeoutMillis);
        for (int i = 0; i < n && !m_isQuitting; ++i) {
            const auto& event = events[static_cast<std::size_t>(i)];
            if (event.data.u64 == 0) {
                drainWakeFd();
                continue;
            }
            const auto it = m_registrations.find(event.data.u64);
            if (it == m_registrations.end())
                continue;
            const auto registration = it->second; // keeps the handler alive if it removes its own registration
            registration->handler(event.events);
        }
        runTasks();
        if (Clock::now() >= nextTick) {
            onTick();
            nextTick = Clock::now() + interval;
        }
    }
}

void EventLoop::close()
{
    for (;;) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_tasks.empty()) {
                m_isClosed = true;
                return;
            }
        }
        runTasks();
    }
}

} // namespace arbutuscrank::peer
