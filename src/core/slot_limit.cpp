#include <arbutuscrank/core/slot_limit.hpp>

#include <algorithm>

namespace arbutuscrank {

void SlotLimit::startWarm(std::uint32_t slots) noexcept
{
    m_slots = slots;
    m_limit = slots;
    m_cold = false;
    m_successes = 0;
}

void SlotLimit::startCold(TimePoint now) noexcept
{
    m_limit = 1;
    m_cold = m_slots > 1;
    m_successes = 0;
    m_stepStartedAt = now;
}

void SlotLimit::resize(std::uint32_t slots) noexcept
{
    m_limit = m_limit >= m_slots ? slots : std::min(m_limit, slots);
    m_slots = slots;
    m_cold = m_cold && m_limit < m_slots;
}

void SlotLimit::recordSuccess(TimePoint now) noexcept
{
    if (m_limit >= m_slots)
        return;
    ++m_successes;
    if (m_cold) {
        if (now - m_stepStartedAt < coldStartStep)
            return;
        m_limit = std::min(m_limit * 2, m_slots);
        m_cold = m_limit < m_slots;
        m_stepStartedAt = now;
        m_successes = 0;
    } else if (m_successes >= m_limit) {
        ++m_limit;
        m_successes = 0;
    }
}

void SlotLimit::recordFailure(TimePoint now, TimePoint startedAt) noexcept
{
    if (startedAt < m_lastReductionAt)
        return;
    m_limit = std::max<std::uint32_t>(1, m_limit / 2);
    m_successes = 0;
    m_lastReductionAt = now;
    m_stepStartedAt = now;
}

} // namespace arbutuscrank
