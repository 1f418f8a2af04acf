#pragma once

#include <arbutuscrank/core/state.hpp>

/// \file
/// \brief What the source files of the topic "configuration" share.

namespace arbutuscrank::configuration::detail {

[[nodiscard]] StoreToken nextToken(State& state);

/// \brief A time with up to a quarter added at random, so that daemons do not act in step.
[[nodiscard]] Duration withJitter(State& state, Duration time);

/// \brief Logs a refusal, once for as long as the same fault stays.
void logFault(State& state, std::string fault, Context& context);

/// \brief Takes evidence that a version was the store's current one.
void addEvidence(State& state, ManifestVersion version, TimePoint at, bool firstHand);

/// \brief Takes a manifest that may be newer than the one in force and the pending one.
/// \param from peer that sent it; empty: the store
/// \returns whether it is the one in force or pending now
bool offerManifest(State& state, const Manifest& manifest, const VmId& from, Context& context);

/// \brief Puts the pending manifest in force if all its parts are here and the start-up rule allows it.
void tryApply(State& state, Context& context);

// --- Parts -----------------------------------------------------------------------------------------------------------

/// \brief Starts to fetch the missing parts of the pending manifest.
void startFetch(State& state, const VmId& from, Context& context);
void onFetchTick(State& state, Context& context);
/// \brief Keeps a part if the pending manifest needs it and its SHA-256 is right.
bool takePart(State& state, const std::string& hash, const std::string& text);
/// \brief A read of a part at the store has ended.
void onPartRead(State& state, StoreToken token, Context& context);

// --- Peers -----------------------------------------------------------------------------------------------------------

/// \brief Pushes the version in force, if this daemon is a relay.
void pushApplied(State& state, Context& context);
void onPeersTick(State& state, Context& context);

} // namespace arbutuscrank::configuration::detail
