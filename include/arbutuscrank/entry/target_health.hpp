#pragma once

#include <arbutuscrank/entry/targets.hpp>

/// \file
/// \brief Judges targets by the outcomes of requests. No health checks are sent: they take slots and cost money.

namespace arbutuscrank::entry::health {

/// \brief Outcome of one attempt, as far as it tells something about the target.
enum class Outcome {
    Answered, ///< a complete answer of the target
    Shed, ///< the target refused the request as not run
    Failed, ///< no connection, no answer, or a broken one
};

/// \brief Records an attempt that ended.
/// \param relativeDuration duration over the usual one of its route; 0 if unknown
/// \returns true if the target's ejection changed
bool recordOutcome(Target& target, Outcome outcome, double relativeDuration, TimePoint now);

/// \brief Records that no connection could be opened. \returns true if the target's ejection changed
bool recordUnreachable(Target& target, const Duration& coldTime, TimePoint now);

/// \brief Whether an ejected target may get one request to find out whether it works again.
[[nodiscard]] bool mayTry(const Target& target, TimePoint now) noexcept;

} // namespace arbutuscrank::entry::health
