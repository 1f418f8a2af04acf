#pragma once

#include <chrono>
#include <functional>
#include <mutex>
#include <optional>

/// \file
/// \brief Lets other threads end a running attempt.

namespace arbutuscrank {

/// \brief Ends an attempt from another thread, at once or when it makes no progress.
class AttemptControl {
public:
    using Clock = std::chrono::steady_clock;

    /// \brief Sets how to interrupt the attempt and until when it may go on without progress.
    /// \returns false if it was cancelled before
    [[nodiscard]] bool attach(std::function<void()> interrupt, Clock::time_point limit)
    {
        const std::lock_guard lock(m_mutex);
        m_interrupt = std::move(interrupt);
        m_limit = limit;
        return !m_cancelled;
    }

    /// \brief The attempt made progress.
    void extend(Clock::time_point limit)
    {
        const std::lock_guard lock(m_mutex);
        m_limit = limit;
    }

    /// \brief The attempt ended; it can no longer be interrupted.
    void detach()
    {
        const std::lock_guard lock(m_mutex);
        m_interrupt = nullptr;
        m_limit.reset();
    }

    void cancel()
    {
        const std::lock_guard lock(m_mutex);
        m_cancelled = true;
        if (m_interrupt)
            m_interrupt();
    }

    /// \brief Interrupts the attempt if its limit has passed.
    void enforceLimit(Clock::time_point now)
    {
        const std::lock_guard lock(m_mutex);
        if (m_interrupt && m_limit && now >= *m_limit)
            m_interrupt();
    }

    /// \brief Forgets an earlier cancellation, for the next attempt.
    void reset()
    {
        const std::lock_guard lock(m_mutex);
        m_cancelled = false;
    }

    [[nodiscard]] bool isCancelled() const
    {
        const std::lock_guard lock(m_mutex);
        return m_cancelled;
    }

private:
    mutable std::mutex m_mutex;
    bool m_cancelled = false;
    std::function<void()> m_interrupt;
    std::optional<Clock::time_point> m_limit;
};

} // namespace arbutuscrank
