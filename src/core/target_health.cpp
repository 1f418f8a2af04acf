#include <arbutuscrank/core/target_health.hpp>

#include <algorithm>

namespace arbutuscrank {

namespace {

    // A target that fails every second request never has three failures in a row.
    constexpr double maxFailureShare = 0.5;
    constexpr double shareWeight = 0.1;
    constexpr std::uint32_t minOutcomes = 10;

} // namespace

void TargetHealth::requestSucceeded(TimePoint now) noexcept
{
    m_failures = 0;
    m_sheds = 0;
    m_badProbes = 0;
    m_relapses = 0;
    ++m_outcomes;
    m_failureShare -= shareWeight * m_failureShare;
    m_lastSuccess = now;
    // A request that was sent before an ejection does not end it: only a probe does.
    if (!m_ejected && m_failureShare <= maxFailureShare)
        m_failing = false;
}

void TargetHealth::requestShed() noexcept
{
    ++m_sheds;
    m_failing = m_failing || m_sheds >= shedsInARow;
}

void TargetHealth::requestFailed(bool connectFailed) noexcept
{
    ++m_failures;
    ++m_outcomes;
    m_failureShare += shareWeight * (1 - m_failureShare);
    const bool outlier = m_outcomes >= minOutcomes && m_failureShare > maxFailureShare;
    m_failing = m_failing || connectFailed || m_failures >= failuresInARow || outlier;
}

void TargetHealth::probeAnswered(bool healthy, TimePoint now, Duration interval) noexcept
{
    if (healthy) {
        m_badProbes = 0;
        return;
    }
    if (m_lastSuccess && now - *m_lastSuccess < 2 * interval)
        return;
    ++m_badProbes;
    m_failing = m_failing || m_badProbes >= badProbesInARow;
}

void TargetHealth::loadReported(double load, TimePoint now) noexcept
{
    m_load = std::clamp(load, 0.0, 1.0);
    m_loadAt = now;
}

double TargetHealth::reportedLoad(TimePoint now) const noexcept
{
    return m_loadAt && now - *m_loadAt < loadLifetime ? m_load : 0.0;
}

void TargetHealth::eject(TimePoint now, Duration interval) noexcept
{
    m_ejected = true;
    constexpr std::uint32_t maxDoublings = 8;
    m_distrustUntil = m_relapses == 0
        ? now
        : now + std::min(maxDistrust, interval * (std::int64_t { 1 } << std::min(m_relapses, maxDoublings)));
    ++m_relapses;
}

void TargetHealth::readmit() noexcept
{
    m_ejected = false;
    m_failing = false;
    m_failures = 0;
    m_sheds = 0;
    m_badProbes = 0;
    m_outcomes = 0;
    m_failureShare = 0;
}

} // namespace arbutuscrank
