#pragma once

#include <arbutuscrank/core/configuration.hpp>
#include <arbutuscrank/core/routing.hpp>

#include <string_view>

/// \file
/// \brief Functions that the sources of the routing topic share.

namespace arbutuscrank::routing {

/// Whether a target gets no new work by the document: its own flag, or a drain of it, its failure domain or its region.
[[nodiscard]] bool isDrained(const ActiveDocument& active, const TargetEntry& target);

// --- Ownership (routing_ownership.cpp) -------------------------------------------------------------------------------

/// Recomputes who owns which target, starts and ends take-overs, and refreshes the shares.
void syncOwnership(State& state, Context& context);

/// Notices a pause of this process, which may have cost it its targets.
void notePause(State& state, Context& context);

/// Time-dependent part: end of the start, isolation, yields, holds and questions to former owners.
void tickOwnership(State& state, Context& context);

// --- Slots (routing_slots.cpp) ---------------------------------------------------------------------------------------

/// Requests that an own target may run now, all in all.
[[nodiscard]] std::uint32_t usableSlots(const RoutingTarget& target) noexcept;

/// Least loaded own target with a free slot, or null.
[[nodiscard]] RoutingTarget* bestTarget(
    RoutingState& own, const RoutingService& service, TimePoint now, const std::set<std::string>* excluded = nullptr);

/// Whether an own target can be expected to take work within the time a request may wait.
[[nodiscard]] bool canQueue(const RoutingState& own, const RoutingService& service);

/// Usable slots and requests in flight of the own targets of a service.
struct OwnCapacity {
    std::uint32_t slots = 0;
    std::uint32_t inFlight = 0;
};
[[nodiscard]] OwnCapacity ownCapacity(const RoutingState& own, const RoutingService& service) noexcept;

/// Grants free slots to the queue in turn and refuses requests that waited too long or cannot be served here.
void dispatch(State& state, RoutingService& service, Context& context);

/// Dispatches every service.
void dispatchAll(State& state, Context& context);

/// Time after which an account's next request can be expected to find a place.
[[nodiscard]] Duration retryAfter(const RoutingState& own, const RoutingService& service, std::string_view account);

/// Asks for the warm connections that the target should have.
void keepConnections(RoutingTarget& target, Context& context);

/// Logs the progress of a drain.
void noteDrain(RoutingTarget& target, Context& context);

// --- Health (routing_health.cpp) -------------------------------------------------------------------------------------

/// Acts on what was learned: takes a failing target out of use if the region can bear it.
void applyHealth(State& state, RoutingTarget& target, Context& context);

/// Sends due probes and reviews ejections.
void tickHealth(State& state, Context& context);

// --- Choice of owner (routing_owners.cpp) ----------------------------------------------------------------------------

/// Recomputes the owners of every service in the own region.
void rebuildOwners(State& state);

/// Chooses among this entry's queue and other owners once no own slot is free.
[[nodiscard]] Decision chooseOwner(State& state, RoutingService& service, const Query& query, Context& context);

/// Puts a request into the own queue.
[[nodiscard]] Decision enqueue(State& state, RoutingService& service, const Query& query, Context& context);

} // namespace arbutuscrank::routing
