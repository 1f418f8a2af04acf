#include "daemon/core_runner.hpp"

namespace arbutuscrank {

CoreRunner::CoreRunner(Self self, std::uint64_t seed, EffectHandler& handler)
    : m_state(std::move(self), seed)
    , m_handler(handler)
{
}

TimePoint CoreRunner::now() noexcept
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(sinceEpoch));
}

void CoreRunner::submit(const Event& event)
{
    const std::lock_guard lock(m_mutex);
    m_outbox.effects.clear();
    // Reads the clock under the mutex, so that the time of an event is never before that of the previous one.
    reduce(m_state, event, now(), m_outbox);
    for (auto& it : m_outbox.effects)
        m_handler.perform(std::move(it));
    m_eventCount.fetch_add(1, std::memory_order_relaxed);
}

} // namespace arbutuscrank
