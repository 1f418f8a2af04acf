#pragma once

#include <chrono>
#include <functional>
#include <mutex>
#include <optional>

/// \file
/// \brief Cancellation and progress deadline of a running attempt.

namespace arbutuscrank {

/// \brief Lets other threads cancel an attempt, and interrupt it once its deadline has passed.
class AttemptControl {
public:
    using Clock = std::chrono::steady_clock;

    /// \brief Starts an attempt.
    /// \param interrupt makes the blocked attempt return; called from other threads with the mutex held, more than once
    /// if the attempt takes time to end
    /// \param deadline time by which the attempt must make progress
    /// \returns false if the attempt was cancelled before
    [[nodiscard]] bool attach(std::function<void()> interrupt, Clock::time_point deadline)
    {
        const std::lock_guard lock(m_mutex);
        m_interrupt = std::move(interrupt);
        m_deadline = deadline;
        return !m_isCancelled;
    }

    /// \brief Moves the deadline after progress.
    void setDeadline(Clock::time_point deadline)
    {
        const std::lock_guard lock(m_mutex);
        m_deadline = deadline;
    }

    /// \brief Marks the end of the attempt; it is not interrupted any more.
    void detach()
    {
        const std::lock_guard lock(m_mutex);
        m_interrupt = nullptr;
        m_deadline.reset();
    }

    /// \brief Interrupts the running attempt, or makes the next \ref attach return false.
    void cancel()
    {
        const std::lock_guard lock(m_mutex);
        m_isCancelled = true;
        if (m_interrupt)
            m_interrupt();
    }

    /// \brief Interrupts the attempt if its deadline has passed.
    void interruptIfOverdue(Clock::time_point now)
    {
        const std::lock_guard lock(m_mutex);
        if (m_interrupt && m_deadline && now >= *m_deadline)
            m_interrupt();
    }

    /// \brief Clears an earlier cancellation before the next attempt.
    void clearCancellation()
    {
        const std::lock_guard lock(m_mutex);
        m_isCancelled = false;
    }

    [[nodiscard]] bool isCancelled() const
    {
        const std::lock_guard lock(m_mutex);
        return m_isCancelled;
    }

private:
    mutable std::mutex m_mutex;
    bool m_isCancelled = false;
    std::function<void()> m_interrupt;
    std::optional<Clock::time_point> m_deadline;
};

} // namespace arbutuscrank
