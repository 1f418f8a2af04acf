#include "daemon/core_runner.hpp"

namespace arbutuscrank {

CoreRunner::CoreRunner(Self self, std::uint64_t seed, EffectHandler& handler)
    : m_state(std::move(self), seed)
    , m_handler(handler)
{
}

TimePoint CoreRunner::now() noexcept
{
    const auto sinceBoot = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(sinceBoot));
}

void CoreRunner::submit(const Event& event)
{
    const std::lock_guard lock(m_mutex);
    m_outbox.effects.clear();
    // The clock is read under the mutex, so that time never goes back between two events.
    reduce(m_state, event, now(), m_outbox);
    for (auto& it : m_outbox.effects)
        m_handler.perform(std::move(it));
    m_events.fetch_add(1, std::memory_order_relaxed);
}

} // namespace arbutuscrank
