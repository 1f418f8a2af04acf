#include <arbutuscrank/entry/target_health.hpp>

#include <algorithm>
#include <cmath>

namespace arbutuscrank::entry::health {

namespace {

    /// Weight of one attempt in the moving averages, which cover about the last eight attempts.
    constexpr double averageWeight = 0.125;
    /// Fraction of failed attempts above which a target is ejected. Healthy targets stay below 0.05.
    constexpr double failingFraction = 0.35;
    /// Average duration above which a target is ejected, as a multiple of the route's typical duration. A cold target
    /// takes up to 7 times the typical duration, but a few such attempts do not raise the average above the limit.
    constexpr double slowFactor = 4.0;
    /// Minimum number of attempts before the averages are used.
    constexpr std::uint32_t minSamples = 4;
    /// Duration of the first ejection. Each consecutive ejection lasts twice as long, up to the maximum.
    constexpr Duration firstEjection = std::chrono::milliseconds(700);
    constexpr Duration maxEjection = std::chrono::milliseconds(3000);
    /// Weight of a refusal relative to a failure: the target works but has no capacity.
    constexpr double shedWeight = 0.7;
    /// Upper limit of one attempt's relative duration, so that a single stall does not eject a target.
    constexpr double maxRelativeDuration = 8.0;

    /// Part of a duration that a target's own report of slow work explains. Without it, such a target would get fewer
    /// requests for its report and be ejected for what it reported. The limit for a target that reports twice the usual
    /// time or more is 8 times the typical duration, above that of a cold target.
    constexpr double maxExplainedSlowdown = 2.0;

    bool eject(Target& target, Ejection cause, TimePoint now)
    {
        const bool changed = target.ejection != cause;
        const auto factor = 1 << std::min<std::uint32_t>(target.consecutiveEjections, 4);
        target.ejection = cause;
        target.ejectedUntil = now + std::min(firstEjection * factor, maxEjection);
        ++target.consecutiveEjections;
        return changed;
    }

    bool readmit(Target& target)
    {
        const bool changed = target.ejection != Ejection::None;
        target.ejection = Ejection::None;
        target.consecutiveEjections = 0;
        target.failureShare = 0;
        target.slowness = 1;
        target.sampleCount = 0;
        return changed;
    }

} // namespace

bool recordOutcome(Target& target, Outcome outcome, double relativeDuration, TimePoint now)
{
    // A target that reports fast work is held to the usual time.
    relativeDuration /= std::clamp(target.slowdown(now), 1.0, maxExplainedSlowdown);
    const double failure = outcome == Outcome::Answered ? 0 : outcome == Outcome::Shed ? shedWeight : 1;
    target.failureShare += averageWeight * (failure - target.failureShare);
    if (relativeDuration > 0)
        target.slowness += averageWeight * (std::min(relativeDuration, maxRelativeDuration) - target.slowness);
    ++target.sampleCount;
    if (target.ejection != Ejection::None) {
        if (outcome == Outcome::Answered && relativeDuration < slowFactor)
            return readmit(target);
        if (now >= target.ejectedUntil)
            return eject(target, target.ejection, now);
        return false;
    }
    if (target.sampleCount < minSamples)
        return false;
    if (target.failureShare > failingFraction)
        return eject(target, Ejection::Failing, now);
    if (target.slowness > slowFactor)
        return eject(target, Ejection::Slow, now);
    return false;
}

bool recordUnreachable(Target& target, const Duration& coldTime, TimePoint now)
{
    // An unreachable target may return under the same ID with empty caches before the store reports it as cold.
    target.suspectedColdUntil = std::max(target.suspectedColdUntil.value_or(now), now + coldTime + maxEjection);
    return eject(target, Ejection::Unreachable, now);
}

bool isHealthyOrDueForTrial(const Target& target, TimePoint now) noexcept
{
    return target.ejection == Ejection::None || (now >= target.ejectedUntil && !target.isTrialInFlight);
}

} // namespace arbutuscrank::entry::health
