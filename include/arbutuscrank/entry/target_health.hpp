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
/// \param relativeDuration duration divided by the typical duration of the route; 0 if unknown
/// \returns true if the target's ejection changed
bool recordOutcome(Target& target, Outcome outcome, double relativeDuration, TimePoint now);

/// \brief Records that the target is unreachable, and ejects it.
/// \param coldTime time for which a started target of the service is cold
/// \returns true if the target's ejection changed
bool recordUnreachable(Target& target, const Duration& coldTime, TimePoint now);

/// \brief Whether a target may receive a request: it is not ejected, or its ejection time has passed and no trial
/// request is in flight.
[[nodiscard]] bool mayReceiveRequest(const Target& target, TimePoint now) noexcept;

} // namespace arbutuscrank::entry::health
