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
    if (m_epoll >= 0)
        ::close(m_epoll);
    if (m_wake >= 0)
        ::close(m_wake);
}

Result<void> EventLoop::open()
{
    m_epoll = ::epoll_create1(EPOLL_CLOEXEC);
    m_wake = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    epoll_event event {};
    event.events = EPOLLIN;
    if (m_epoll < 0 || m_wake < 0 || ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wake, &event) != 0)
        return Error { ErrorCode::Unavailable, "peer.loop", {}, std::generic_category().message(errno) };
    return outcome::success();
}

EventLoop::Watch EventLoop::add(int fd, std::uint32_t events, IoHandler handler)
{
    const auto watch = m_nextWatch++;
    m_entries[watch] = std::make_shared<Entry>(Entry { fd, std::move(handler) });
    epoll_event event {};
    event.events = events;
    event.data.u64 = watch;
    ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, fd, &event);
    return watch;
}

void EventLoop::modify(Watch watch, std::uint32_t events)
{
    const auto it = m_entries.find(watch);
    if (it == m_entries.end())
        return;
    epoll_event event {};
    event.events = events;
    event.data.u64 = watch;
    ::epoll_ctl(m_epoll, EPOLL_CTL_MOD, it->second->fd, &event);
}

void EventLoop::remove(Watch watch)
{
    const auto it = m_entries.find(watch);
    if (it == m_entries.end())
        return;
    ::epoll_ctl(m_epoll, EPOLL_CTL_DEL, it->second->fd, nullptr);
    m_entries.erase(it);
}

bool EventLoop::post(Task task)
{
    bool wake = false;
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed)
            return false;
        wake = m_tasks.empty();
        m_tasks.push_back(std::move(task));
    }
    if (wake) {
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto n = ::write(m_wake, &one, sizeof one);
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

void EventLoop::drainWakeUps() const
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto n = ::read(m_wake, &count, sizeof count);
}

void EventLoop::run(std::chrono::milliseconds interval, const Task& onTick)
{
    using Clock = std::chrono::steady_clock;
    constexpr std::size_t eventsPerWait = 128;
    std::array<epoll_event, eventsPerWait> events {};
    auto nextTick = Clock::now() + interval;
    while (!m_quit) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(nextTick - Clock::now()).count();
        const auto timeout = left > 0 ? static_cast<int>(left) : 0;
        const auto n = ::epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), timeout);
        for (int i = 0; i < n && !m_quit; ++i) {
            const auto& event = events[static_cast<std::size_t>(i)];
            if (event.data.u64 == 0) {
                drainWakeUps();
                continue;
            }
            const auto it = m_entries.find(event.data.u64);
            if (it == m_entries.end())
                continue;
            const auto entry = it->second; // the handler may remove itself
            entry->handler(event.events);
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
                m_closed = true;
                return;
            }
        }
        runTasks();
    }
}

} // namespace arbutuscrank::peer
