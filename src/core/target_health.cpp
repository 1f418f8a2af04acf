#include <arbutuscrank/core/target_health.hpp>

#include <algorithm>

namespace arbutuscrank {

namespace {

    // Limit for the moving average of failures. It detects a target that fails every other request and so never reaches
    // consecutiveFailureLimit.
    constexpr double maxFailureShare = 0.5;
    constexpr double failureShareWeight = 0.1;
    constexpr std::uint32_t minOutcomeCount = 10;

} // namespace

void TargetHealth::recordSuccess(TimePoint now) noexcept
{
    m_failures = 0;
    m_sheds = 0;
    m_failedProbes = 0;
    m_ejectionsSinceSuccess = 0;
    ++m_outcomeCount;
    m_failureShare -= failureShareWeight * m_failureShare;
    m_lastSuccessAt = now;
    // A request sent before an ejection does not readmit the target; only a probe does.
    if (!m_ejected && m_failureShare <= maxFailureShare)
        m_failing = false;
}

void TargetHealth::recordShed() noexcept
{
    ++m_sheds;
    m_failing = m_failing || m_sheds >= consecutiveShedLimit;
}

void TargetHealth::recordFailure(bool connectFailed) noexcept
{
    ++m_failures;
    ++m_outcomeCount;
    m_failureShare += failureShareWeight * (1 - m_failureShare);
    const bool outlier = m_outcomeCount >= minOutcomeCount && m_failureShare > maxFailureShare;
    m_failing = m_failing || connectFailed || m_failures >= consecutiveFailureLimit || outlier;
}

void TargetHealth::recordProbe(bool healthy, TimePoint now, Duration interval) noexcept
{
    if (healthy) {
        m_failedProbes = 0;
        return;
    }
    if (m_lastSuccessAt && now - *m_lastSuccessAt < 2 * interval)
        return;
    ++m_failedProbes;
    m_failing = m_failing || m_failedProbes >= failedProbeLimit;
}

void TargetHealth::recordLoad(double load, TimePoint now) noexcept
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
    m_earliestReadmission = m_ejectionsSinceSuccess == 0 ? now
                                                         : now
            + std::min(maxReadmissionDelay,
                interval * (std::int64_t { 1 } << std::min(m_ejectionsSinceSuccess, maxDoublings)));
    ++m_ejectionsSinceSuccess;
}

void TargetHealth::readmit() noexcept
{
    m_ejected = false;
    m_failing = false;
    m_failures = 0;
    m_sheds = 0;
    m_failedProbes = 0;
    m_outcomeCount = 0;
    m_failureShare = 0;
}

} // namespace arbutuscrank
