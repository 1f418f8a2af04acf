#include "core/routing_internal.hpp"

#include <arbutuscrank/core/state.hpp>

#include <algorithm>
#include <set>

namespace arbutuscrank::routing {

namespace {

    /// A member that hears a smaller share of the region's other members counts as isolated.
    constexpr double minHeardShare = 0.5;

    // --- View of the region ------------------------------------------------------------------------------------------

    /// Members of this region that are not gone, including this one, sorted by name.
    std::vector<VmId> listRegionVms(const State& state)
    {
        std::vector<VmId> vms { state.self.process.vm };
        for (const auto& [vm, record] : state.membership.members) {
            if (record.member.region == state.self.region && !record.gone)
                vms.push_back(vm);
        }
        std::sort(vms.begin(), vms.end());
        return vms;
    }

    /// Computes the rendezvous order of a target.
    void computeRendezvousOrder(const RoutingState& own, RoutingTarget& target)
    {
        target.order.clear();
        for (const auto& vm : membership::rendezvousOrder(target.name, own.regionVms)) {
            const auto at = std::lower_bound(own.regionVms.begin(), own.regionVms.end(), vm);
            target.order.push_back(static_cast<std::uint16_t>(at - own.regionVms.begin()));
        }
    }

    /// Recomputes the rendezvous orders if the members changed. Suspicion of a member does not change them.
    void refreshRendezvousOrders(State& state)
    {
        auto& own = state.routing;
        auto vms = listRegionVms(state);
        const bool changed = vms != own.regionVms;
        own.regionVms = std::move(vms);
        for (auto& target : own.targets) {
            if (changed || target.order.empty())
                computeRendezvousOrder(own, target);
        }
    }

    /// Whether each VM of RoutingState::regionVms may own targets.
    std::vector<bool> activeVms(const State& state)
    {
        const auto& own = state.routing;
        std::vector<bool> active(own.regionVms.size(), false);
        for (const auto& member : membership::activeMembers(state, state.self.region)) {
            if (own.starting && member.process.vm == state.self.process.vm)
                continue;
            const auto at = std::lower_bound(own.regionVms.begin(), own.regionVms.end(), member.process.vm);
            if (at != own.regionVms.end() && *at == member.process.vm)
                active[static_cast<std::size_t>(at - own.regionVms.begin())] = true;
        }
        return active;
    }

    /// Whether a target stays with the member to which it was handed over. Suspicion of that member does not end the
    /// handover, because its query proved that it runs; the time limit does.
    bool isHandoverInForce(const State& state, const RoutingTarget& target, TimePoint now)
    {
        const auto* record = membership::find(state, target.handedOverTo.vm);
        if (record == nullptr || now >= target.handedOverUntil)
            return false;
        return !record->gone && !record->member.leaving
            && record->member.process.incarnation <= target.handedOverTo.incarnation;
    }

    // --- Take-over ---------------------------------------------------------------------------------------------------

    /// Finds the members that may still have requests in flight on a target that this entry takes over: the members
    /// before it in the order, which are suspected or leaving, and the owners within \ref formerOwnerTimeout.
    /// \param includeLowerRanked adds members after this entry in the order, up to the first active one and all trusted
    /// ones after it. One of them owned the target while this entry was unknown, and others may have owned it before.
    void findFormerOwners(
        State& state, RoutingTarget& target, const std::vector<bool>& active, bool includeLowerRanked, Context& context)
    {
        target.formerOwners.clear();
        target.nextOwnerQuery = context.now;
        bool ranksBeforeSelf = true;
        bool activeSuccessorFound = false;
        for (const auto index : target.order) {
            const auto& vm = state.routing.regionVms[index];
            if (vm == state.self.process.vm) {
                ranksBeforeSelf = false;
                continue;
            }
            const bool recent = target.recentOwners.contains(vm);
            const bool mayRankLower = includeLowerRanked && (!activeSuccessorFound || membership::isTrusted(state, vm));
            if (ranksBeforeSelf || recent || mayRankLower)
                target.formerOwners.push_back(
                    { membership::find(state, vm)->member.process, ranksBeforeSelf, context.now, std::nullopt });
            activeSuccessorFound = activeSuccessorFound || (!ranksBeforeSelf && active[index]);
        }
    }

    /// Records the previous owner, in this process's view, for as long as its requests may be in flight.
    void recordOwnerChange(RoutingTarget& target, const VmId& owner, TimePoint now)
    {
        std::erase_if(target.recentOwners, [now](const auto& it) { return now - it.second >= formerOwnerTimeout; });
        if (!target.owner.empty() && target.owner != owner)
            target.recentOwners[target.owner] = now;
    }

    /// Starts the take-over of a target by this entry.
    void acquire(
        State& state, RoutingTarget& target, const std::vector<bool>& active, bool includeLowerRanked, Context& context)
    {
        target.owned = true;
        target.mayKeepHalf = false;
        target.handedOverTo = {};
        target.probing = false;
        target.nextProbe = context.now
            + Duration(static_cast<std::int64_t>(state.random.below(
                static_cast<std::uint64_t>(std::max<std::int64_t>(target.probeInterval.count(), 1)))));
        // Health recorded before another member owned the target is out of date.
        target.health.readmit();
        // A target that came into service within this time may still have cold caches.
        constexpr Duration warmUpTime = 4 * SlotLimit::coldStartStep;
        if (target.inServiceSince && context.now - *target.inServiceSince < warmUpTime)
            target.limit.startCold(context.now);
        else
            target.limit.startWarm(target.slots);
        findFormerOwners(state, target, active, includeLowerRanked, context);
        context.log(LogEvent::TargetOwned,
            "target=" + target.name + " former-owners=" + std::to_string(target.formerOwners.size()));
    }

    void release(RoutingTarget& target, Context& context)
    {
        target.owned = false;
        target.allowedSlots = 0;
        target.formerOwners.clear();
        context.log(
            LogEvent::TargetReleased, "target=" + target.name + " in-flight=" + std::to_string(target.inFlight));
        requestIdleConnections(target, context);
    }

    /// Whether a former owner can have no requests in flight: there is evidence that its process ended, it replied that
    /// none is left, or \ref formerOwnerTimeout has passed.
    bool hasNoRequestsLeft(const State& state, FormerOwner& former, TimePoint now)
    {
        const auto* record = membership::find(state, former.process.vm);
        if (record == nullptr || record->gone || membership::isGone(state, former.process))
            return true;
        if (former.process.incarnation == 0)
            former.process = record->member.process;
        if (record->member.process.incarnation > former.process.incarnation)
            return true;
        return former.inFlight == 0U || now - former.unansweredSince >= formerOwnerTimeout;
    }

    /// Whether this entry may use half of the slots of an owner that it does not hear. It may not if the members that
    /// it does not hear could be a majority that hear each other: their owner may then use all slots.
    bool mayTakeHalf(const State& state)
    {
        if (!state.routing.isolatedSince)
            return true;
        const auto others = static_cast<double>(state.routing.regionVms.size() - 1);
        const double unheard = (1 - membership::trustedShareOfRegion(state)) * others;
        constexpr double tolerance = 1e-6;
        return unheard - 1 < others * minHeardShare - tolerance;
    }

    /// Slots of an own target that the ownership rules (section 9 of docs/design.md) let this entry use.
    std::uint32_t computeAllowedSlots(const State& state, const RoutingTarget& target, TimePoint now)
    {
        const auto floorHalf = target.slots / 2;
        const auto& isolatedSince = state.routing.isolatedSince;
        std::uint32_t allowed = target.slots;
        std::uint32_t reserved = 0;
        bool takesHalf = false;
        for (const auto& former : target.formerOwners) {
            if (former.inFlight) {
                reserved += *former.inFlight;
                continue;
            }
            const bool reachable
                = membership::isTrusted(state, former.process.vm) && now - former.unansweredSince < ownerQueryTimeout;
            if (reachable) {
                allowed = std::min(allowed, target.mayKeepHalf ? floorHalf : 0);
            } else if (!former.ranksBeforeSelf) {
                allowed = std::min(allowed, floorHalf);
            } else {
                // In a partition into two sides, the owner on the other side is isolated if this entry is not, and both
                // may be. An isolated owner rounds its half down, so this entry rounds up. It is possible
                // that neither is isolated, if only the link between the two failed or the former owner is trusted but
                // does not reply. Together they may then use more than the target's slots.
                takesHalf = true;
                allowed = std::min(allowed, mayTakeHalf(state) ? target.slots - floorHalf : 0);
            }
        }
        if (isolatedSince && !takesHalf) {
            // After the timeout the other side may use all slots by the ownership rules. This entry then uses at least
            // one, so that a target with one slot does not stay idle.
            const bool timeoutOver = now - *isolatedSince >= formerOwnerTimeout;
            allowed = std::min(allowed, timeoutOver ? std::max<std::uint32_t>(floorHalf, 1) : floorHalf);
        }
        return reserved >= target.slots ? 0 : std::min(allowed, target.slots - reserved);
    }

    /// Drops former owners without requests and recomputes the allowed slots of a target.
    void refreshAllowedSlots(State& state, RoutingTarget& target, TimePoint now)
    {
        std::erase_if(target.formerOwners, [&](FormerOwner& former) { return hasNoRequestsLeft(state, former, now); });
        target.mayKeepHalf = target.mayKeepHalf && !target.formerOwners.empty();
        target.allowedSlots = target.owned ? computeAllowedSlots(state, target, now) : 0;
    }

    /// Sends the owner queries that are due, one message for each member.
    void queryFormerOwners(State& state, Context& context)
    {
        std::map<VmId, OwnerQuery> queries;
        for (auto& target : state.routing.targets) {
            if (!target.owned || target.formerOwners.empty() || context.now < target.nextOwnerQuery)
                continue;
            target.nextOwnerQuery = context.now + ownerQueryInterval;
            for (const auto& former : target.formerOwners)
                queries[former.process.vm].targets.push_back(target.name);
        }
        for (auto& [vm, query] : queries)
            context.send(vm, std::move(query));
    }

    void refreshOwnedTargets(State& state, Context& context)
    {
        for (auto& target : state.routing.targets) {
            if (!target.owned)
                continue;
            refreshAllowedSlots(state, target, context.now);
            requestIdleConnections(target, context);
        }
        queryFormerOwners(state, context);
        dispatchAllQueues(state, context);
    }

    /// Restarts the take-over of all own targets, because another member may have owned them meanwhile.
    void restartTakeOvers(State& state, bool mayKeepHalf, Context& context)
    {
        const auto active = activeVms(state);
        for (auto& target : state.routing.targets) {
            if (!target.owned)
                continue;
            findFormerOwners(state, target, active, true, context);
            target.mayKeepHalf = mayKeepHalf;
        }
    }

    /// Detects the start and the end of this entry's isolation from its region.
    void updateIsolation(State& state, Context& context)
    {
        auto& isolatedSince = state.routing.isolatedSince;
        const bool isolated = membership::trustedShareOfRegion(state) < minHeardShare;
        if (isolated && !isolatedSince) {
            isolatedSince = context.now;
        } else if (!isolated && isolatedSince) {
            isolatedSince.reset();
            restartTakeOvers(state, true, context);
        }
    }

} // namespace

void syncOwnership(State& state, Context& context)
{
    auto& own = state.routing;
    refreshRendezvousOrders(state);
    updateIsolation(state, context);
    const auto active = activeVms(state);
    const auto& self = state.self.process.vm;
    std::map<VmId, OwnerReply> released;
    for (auto& target : own.targets) {
        const auto first = std::find_if(
            target.order.begin(), target.order.end(), [&active](std::uint16_t index) { return active[index]; });
        auto owner = first == target.order.end() ? VmId() : own.regionVms[*first];
        bool includeLowerRanked = own.startedAt && context.now - *own.startedAt < maxStartupDelay + handoverDuration;
        if (!target.handedOverTo.vm.empty()) {
            if (owner == self && isHandoverInForce(state, target, context.now)) {
                owner = target.handedOverTo.vm;
            } else {
                target.handedOverTo = {};
                includeLowerRanked = true;
            }
        }
        recordOwnerChange(target, owner, context.now);
        target.owner = std::move(owner);
        const bool shouldOwn = target.isInDocument && target.owner == self;
        if (shouldOwn && !target.owned)
            acquire(state, target, active, includeLowerRanked, context);
        else if (!shouldOwn && target.owned) {
            release(target, context);
            if (target.isInDocument && !target.owner.empty() && target.handedOverTo.vm.empty())
                released[target.owner].inFlight[target.name] = target.inFlight;
        }
    }
    // Each new owner gets the reply without a query. If it had handed the target over to this entry, the reply ends the
    // handover at once; otherwise the reply saves its first query.
    for (auto& [vm, reply] : released)
        context.send(vm, std::move(reply));
    rebuildOwners(state);
    refreshOwnedTargets(state, context);
}

void checkForPause(State& state, Context& context)
{
    auto& own = state.routing;
    const bool paused = own.lastEventAt != TimePoint::min() && context.now - own.lastEventAt > pauseThreshold;
    own.lastEventAt = context.now;
    if (!paused || own.targets.empty())
        return;
    restartTakeOvers(state, false, context);
    refreshOwnedTargets(state, context);
}

void tickOwnership(State& state, Context& context)
{
    auto& own = state.routing;
    if (!own.startedAt) {
        own.startedAt = context.now;
        own.starting = own.targets.empty();
    }
    const bool hearsEnough = own.regionVms.size() > 1 && membership::trustedShareOfRegion(state) >= minHeardShare;
    const bool started = own.starting && (hearsEnough || context.now - *own.startedAt >= maxStartupDelay);
    own.starting = own.starting && !started;
    const bool handoverExpired = std::any_of(own.targets.begin(), own.targets.end(), [&](const RoutingTarget& target) {
        return !target.handedOverTo.vm.empty() && context.now >= target.handedOverUntil;
    });
    const bool isolated = membership::trustedShareOfRegion(state) < minHeardShare;
    if (started || handoverExpired || isolated != own.isolatedSince.has_value())
        return syncOwnership(state, context);
    refreshOwnedTargets(state, context);
}

void onOwnerQuery(State& state, const ProcessId& from, const OwnerQuery& message, Context& context)
{
    checkForPause(state, context);
    auto& own = state.routing;
    const auto* record = membership::find(state, from.vm);
    if (record != nullptr && record->member.process.incarnation > from.incarnation)
        return;
    OwnerReply reply;
    bool handedOver = false;
    for (const auto& name : message.targets) {
        const auto it = own.targetIndex.find(name);
        if (it == own.targetIndex.end()) {
            reply.inFlight[name] = 0;
            continue;
        }
        auto& target = own.targets[it->second];
        // If two owners query each other at the same time, the one later in the rendezvous order gives up the target.
        const bool queriedEachOther = target.owned
            && std::any_of(target.formerOwners.begin(), target.formerOwners.end(),
                [&from](const FormerOwner& former) { return former.process.vm == from.vm && !former.ranksBeforeSelf; });
        if (queriedEachOther)
            continue;
        if (target.owned) {
            target.handedOverTo = from;
            target.handedOverUntil = context.now + handoverDuration;
            handedOver = true;
        }
        reply.inFlight[name] = target.inFlight;
    }
    if (handedOver)
        syncOwnership(state, context);
    context.send(from.vm, std::move(reply));
}

void onOwnerReply(State& state, const ProcessId& from, const OwnerReply& message, Context& context)
{
    checkForPause(state, context);
    auto& own = state.routing;
    bool handoverEnded = false;
    for (const auto& [name, count] : message.inFlight) {
        const auto it = own.targetIndex.find(name);
        if (it == own.targetIndex.end())
            continue;
        auto& target = own.targets[it->second];
        if (!target.owned) {
            if (target.handedOverTo.vm != from.vm)
                continue;
            target.handedOverUntil = context.now;
            handoverEnded = true;
            continue;
        }
        for (auto& former : target.formerOwners) {
            if (former.process.vm != from.vm || from.incarnation < former.process.incarnation)
                continue;
            former.process = from;
            former.inFlight = count;
            former.unansweredSince = context.now;
        }
    }
    if (handoverEnded)
        return syncOwnership(state, context);
    refreshOwnedTargets(state, context);
}

void onMemberChanged(State& state, const MemberChanged& event, Context& context)
{
    checkForPause(state, context);
    if (event.change == MemberChange::Gone)
        state.routing.ownerRecords.erase(event.process.vm);
    syncOwnership(state, context);
}

void startLeaving(State& state, Context& context) { syncOwnership(state, context); }

} // namespace arbutuscrank::routing
