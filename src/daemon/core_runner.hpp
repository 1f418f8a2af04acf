#pragma once

#include <arbutuscrank/core.hpp>

#include <atomic>
#include <functional>
#include <mutex>

/// \file
/// \brief Runs the reducer of the decision core, one event at a time, on the thread that submits the event.

namespace arbutuscrank {

/// \brief Receives the effects of the reducer. \ref perform is called with the reducer's mutex held, so that every
/// executor receives effects in the reducer's order; it must only queue work.
class EffectHandler {
public:
    EffectHandler() = default;
    EffectHandler(const EffectHandler&) = delete;
    EffectHandler& operator=(const EffectHandler&) = delete;
    virtual ~EffectHandler() = default;

    virtual void perform(Effect effect) = 0;
};

/// \brief Owns the state of the decision core and serializes access to it.
class CoreRunner {
public:
    CoreRunner(Self self, std::uint64_t seed, EffectHandler& handler);

    /// \brief Reduces an event and passes its effects to the handler. Thread-safe.
    void submit(const Event& event);

    /// \brief Calls \p reader with the state and the current time, with the reducer's mutex held. Thread-safe.
    /// \returns what \p reader returns
    template <typename F> auto inspect(F&& reader) const
    {
        const std::lock_guard lock(m_mutex);
        return reader(static_cast<const State&>(m_state), now());
    }

    /// \brief Current time of the monotonic clock that the core uses.
    [[nodiscard]] static TimePoint now() noexcept;

    /// \brief Number of events reduced so far.
    [[nodiscard]] std::uint64_t eventCount() const noexcept { return m_eventCount.load(std::memory_order_relaxed); }

private:
    mutable std::mutex m_mutex;
    State m_state;
    Outbox m_outbox;
    EffectHandler& m_handler;
    std::atomic<std::uint64_t> m_eventCount { 0 };
};

} // namespace arbutuscrank
