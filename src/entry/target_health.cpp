#include <arbutuscrank/entry/target_health.hpp>

#include <algorithm>
#include <cmath>

namespace arbutuscrank::entry::health {

namespace {

    /// Weight of one attempt in the moving averages: about the last eight attempts count.
    constexpr double averageWeight = 0.125;
    /// Share of failed attempts from which a target counts as failing. Healthy targets fail below 0.05.
    constexpr double failingShare = 0.35;
    /// Attempts slower than usual by this factor, on average, eject a target. A cold target is slower by up to 7.
    constexpr double slowFactor = 4.0;
    /// Attempts before a target is judged by averages.
    constexpr std::uint32_t minSamples = 4;
    /// First ejection; each one in a row lasts twice as long, up to the longest.
    constexpr Duration firstEjection = std::chrono::milliseconds(700);
    constexpr Duration longestEjection = std::chrono::milliseconds(3000);
    /// A refusal weighs less than a failure: the target works, it only has no room.
    constexpr double shedWeight = 0.7;
    /// Bound of one attempt's relative duration, so that a single stall does not eject a target.
    constexpr double maxRelativeDuration = 8.0;

    bool eject(Target& target, Ejection cause, TimePoint now)
    {
        const bool changed = target.ejection != cause;
        const auto factor = 1 << std::min<std::uint32_t>(target.ejections, 4);
        target.ejection = cause;
        target.ejectedUntil = now + std::min(firstEjection * factor, longestEjection);
        ++target.ejections;
        return changed;
    }

    bool readmit(Target& target)
    {
        const bool changed = target.ejection != Ejection::None;
        target.ejection = Ejection::None;
        target.ejections = 0;
        target.failureShare = 0;
        target.slowness = 1;
        target.samples = 0;
        return changed;
    }

} // namespace

bool recordOutcome(Target& target, Outcome outcome, double relativeDuration, TimePoint now)
{
    const double failure = outcome == Outcome::Answered ? 0 : outcome == Outcome::Shed ? shedWeight : 1;
    target.failureShare += averageWeight * (failure - target.failureShare);
    if (relativeDuration > 0)
        target.slowness += averageWeight * (std::min(relativeDuration, maxRelativeDuration) - target.slowness);
    ++target.samples;
    if (target.ejection != Ejection::None) {
        if (outcome == Outcome::Answered && relativeDuration < slowFactor)
            return readmit(target);
        if (now >= target.ejectedUntil)
            return eject(target, target.ejection, now);
        return false;
    }
    if (target.samples < minSamples)
        return false;
    if (target.failureShare > failingShare)
        return eject(target, Ejection::Failing, now);
    if (target.slowness > slowFactor)
        return eject(target, Ejection::Slow, now);
    return false;
}

bool recordUnreachable(Target& target, const Duration& coldTime, TimePoint now)
{
    // A target that was down may come back under the same id with nothing warm before the store says so.
    target.coldUntil = std::max(target.coldUntil.value_or(now), now + coldTime + longestEjection);
    return eject(target, Ejection::Unreachable, now);
}

bool mayTry(const Target& target, TimePoint now) noexcept
{
    return target.ejection == Ejection::None || (now >= target.ejectedUntil && !target.trialInFlight);
}

} // namespace arbutuscrank::entry::health
