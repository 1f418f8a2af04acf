#pragma once

#include <arbutuscrank/core.hpp>

#include <atomic>
#include <functional>
#include <mutex>

/// \file
/// \brief Runs the reducer on the thread that brings an event, one event at a time.

namespace arbutuscrank {

/// \brief Performs effects. Called with the reducer's mutex held: it only queues work, so that every executor sees
/// effects in the order of the reducer.
class EffectHandler {
public:
    EffectHandler() = default;
    EffectHandler(const EffectHandler&) = delete;
    EffectHandler& operator=(const EffectHandler&) = delete;
    virtual ~EffectHandler() = default;

    virtual void perform(Effect effect) = 0;
};

/// \brief Owner of the core's state.
class CoreRunner {
public:
    CoreRunner(Self self, std::uint64_t seed, EffectHandler& handler);

    /// \brief Reduces an event and hands its effects to the handler. Safe from any thread.
    void submit(const Event& event);

    /// \brief Reads the state under the reducer's mutex.
    template <typename F> auto inspect(F&& reader) const
    {
        const std::lock_guard lock(m_mutex);
        return reader(static_cast<const State&>(m_state), now());
    }

    /// \brief Monotonic time as the core sees it.
    [[nodiscard]] static TimePoint now() noexcept;

    /// \brief Events reduced so far.
    [[nodiscard]] std::uint64_t events() const noexcept { return m_events.load(std::memory_order_relaxed); }

private:
    mutable std::mutex m_mutex;
    State m_state;
    Outbox m_outbox;
    EffectHandler& m_handler;
    std::atomic<std::uint64_t> m_events { 0 };
};

} // namespace arbutuscrank
