#pragma once

#include <arbutuscrank/entry/targets.hpp>

/// \file
/// \brief Passive health checks: ejects targets by the outcomes of requests. Active probes are not used because they
/// occupy slots and cost money.

namespace arbutuscrank::entry::health {

/// \brief Outcome of an attempt with respect to the target's health.
enum class Outcome {
    Answered, ///< complete answer
    Shed, ///< the target refused the request without running it
    Failed, ///< no connection, no answer, an incomplete answer or a failure status
};

/// \brief Records the outcome of an attempt.
/// \param relativeDuration duration divided by the typical duration of the route; 0 if unknown. It is reduced by the
/// slowdown that the target reports, to no less than half.
/// \returns true if the target's ejection changed
bool recordOutcome(Target& target, Outcome outcome, double relativeDuration, TimePoint now);

/// \brief Ejects an unreachable target. Treats it as cold for \p coldTime after the longest ejection, because it may
/// return with empty caches.
/// \param coldTime time for which a target of the service is cold after its start
/// \returns true if the target's ejection changed
bool recordUnreachable(Target& target, const Duration& coldTime, TimePoint now);

/// \brief Whether a target is not ejected, or is due for a trial request: its ejection time has passed and no trial
/// request is in flight. If no target of a service is healthy, failing and slow targets are used regardless.
[[nodiscard]] bool isHealthyOrDueForTrial(const Target& target, TimePoint now) noexcept;

} // namespace arbutuscrank::entry::health
