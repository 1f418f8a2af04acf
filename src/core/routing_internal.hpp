#pragma once

#include <arbutuscrank/core/configuration.hpp>
#include <arbutuscrank/core/routing.hpp>

#include <string_view>

/// \file
/// \brief Functions shared by the source files of the routing topic.

namespace arbutuscrank::routing {

/// Whether the document drains a target, by the target's flag or by a drain of the target, its failure domain or
/// region.
[[nodiscard]] bool isDrained(const ActiveDocument& active, const TargetEntry& target);

// --- Ownership (routing_ownership.cpp) -------------------------------------------------------------------------------

/// Recomputes the owner of each target, acquires and releases targets, and updates their allowed slots.
void syncOwnership(State& state, Context& context);

/// Restarts the take-over of all owned targets after a pause of this process, because other members may have taken them
/// over meanwhile. Every event handler of the topic that acts on targets calls it first.
void checkForPause(State& state, Context& context);

/// Handles everything that depends on time: the startup delay, isolation, the expiry of handovers and of former owners,
/// and queries to former owners.
void tickOwnership(State& state, Context& context);

// --- Slots (routing_slots.cpp) ---------------------------------------------------------------------------------------

/// Number of requests that may be in flight on a target; 0 if this entry does not own it or must not use it.
[[nodiscard]] std::uint32_t usableSlots(const RoutingTarget& target) noexcept;

/// The least loaded own target with a free slot, or null.
[[nodiscard]] RoutingTarget* leastLoadedTarget(
    RoutingState& own, const RoutingService& service, TimePoint now, const std::set<std::string>* excluded = nullptr);

/// Whether this entry owns a target that is neither drained nor ejected, so that a queued request may get a slot.
[[nodiscard]] bool canQueue(const RoutingState& own, const RoutingService& service);

/// Usable slots and requests in flight, summed over the own targets of a service.
struct OwnCapacity {
    std::uint32_t slots = 0;
    std::uint32_t inFlight = 0;
};
[[nodiscard]] OwnCapacity ownCapacity(const RoutingState& own, const RoutingService& service) noexcept;

/// Grants free slots to queued requests in fair order and refuses requests that expired or cannot be served here.
void dispatchQueue(State& state, RoutingService& service, Context& context);

/// Dispatches the queue of every service.
void dispatchAllQueues(State& state, Context& context);

/// Estimated time until one more request of an account would get a slot, from 10 ms to 5 s.
[[nodiscard]] Duration estimateRetryAfter(
    const RoutingState& own, const RoutingService& service, std::string_view account);

/// Requests the number of idle connections that the target should have, if it changed.
void requestIdleConnections(RoutingTarget& target, Context& context);

/// Logs the end of a drain once no request is in flight on the target.
void finishDrain(RoutingTarget& target, Context& context);

// --- Health (routing_health.cpp) -------------------------------------------------------------------------------------

/// Ejects a failing target, or limits it to one request if too many targets of the region are ejected already.
void applyHealth(State& state, RoutingTarget& target, Context& context);

/// Sends probes that are due and reviews ejections.
void tickHealth(State& state, Context& context);

// --- Choice of owner (routing_owner_choice.cpp) ----------------------------------------------------------------------

/// Recomputes the owners of every service in this entry's region and drops the cached owners of other regions.
void rebuildOwners(State& state);

/// Chooses between this entry's queue and other owners for a request that gets no free own slot.
[[nodiscard]] Decision chooseOwner(State& state, RoutingService& service, const Query& query, Context& context);

/// Adds a request to this entry's queue. If the queue is full, this request or the newest one of the account with the
/// longest queue is refused (see FairQueue::push).
[[nodiscard]] Decision enqueue(State& state, RoutingService& service, const Query& query, Context& context);

} // namespace arbutuscrank::routing
