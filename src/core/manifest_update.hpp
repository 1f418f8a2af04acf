#pragma once

#include <arbutuscrank/core/state.hpp>

/// \file
/// \brief Functions that accept, fetch, apply and push a manifest, shared by the source files of the topic
/// "configuration".

namespace arbutuscrank::configuration::detail {

/// \brief New token for a store call of this topic.
[[nodiscard]] StoreToken nextToken(State& state);

/// \brief Adds a random jitter of up to a quarter, so that the daemons do not act at the same time.
[[nodiscard]] Duration withJitter(State& state, Duration time);

/// \brief Logs why a manifest was refused, unless the last logged fault was the same.
void logFault(State& state, std::string fault, Context& context);

/// \brief Records that a version was the current one in the store at a point in time.
/// \param fromStore whether this daemon learned so from the store itself rather than from a peer
void addConfirmation(State& state, ManifestVersion version, TimePoint at, bool fromStore);

/// \brief Makes a manifest the pending one and fetches its parts, if it is newer than the active and pending ones. A
/// manifest of the store also replaces a different pending one with the same version.
/// \param from peer that sent it; empty for the store
/// \returns whether the manifest is now the active or the pending one
bool acceptIfNewer(State& state, const Manifest& manifest, const VmId& from, Context& context);

/// \brief Applies the pending manifest if all its parts have been fetched and start-up need not wait for other
/// sources.
void tryApply(State& state, Context& context);

// --- Parts -----------------------------------------------------------------------------------------------------------

/// \brief Starts to fetch the missing parts of the pending manifest.
/// \param from first source; empty for the store
void startFetch(State& state, const VmId& from, Context& context);
void onFetchTick(State& state, Context& context);
/// \brief Adds a part if the pending manifest needs it and its SHA-256 matches.
/// \returns whether the part was added
bool addPart(State& state, const std::string& hash, const std::string& text);
/// \brief Handles the end of a part read at the store.
void onPartRead(State& state, StoreToken token, Context& context);

// --- Peers -----------------------------------------------------------------------------------------------------------

/// \brief If this daemon is a relay, pushes the active manifest to the trusted members of its failure domain that have
/// not reported it, and after a delay to the other relays that have not.
void pushActiveManifest(State& state, Context& context);
void onPeersTick(State& state, Context& context);

} // namespace arbutuscrank::configuration::detail
