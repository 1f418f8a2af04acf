#include "core/routing_internal.hpp"

#include <arbutuscrank/core/state.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace arbutuscrank::routing {

namespace {

    /// Age at which a load report no longer describes the current load: a few times the duration of a request.
    constexpr Duration reportLifetime = std::chrono::milliseconds(200);
    constexpr double noWait = 0;
    constexpr double infiniteWait = std::numeric_limits<double>::infinity();

    /// An owner with its estimated load.
    struct Candidate {
        const OwnerChoice* choice = nullptr;
        double freeSlots = 0;
        double wait = infiniteWait; ///< in mean request durations
    };

    /// Expected wait for a slot, in mean request durations.
    double expectedWait(double slots, double busy)
    {
        if (slots <= 0)
            return infiniteWait;
        return std::max(noWait, (busy + 1 - slots) / slots);
    }

    /// Estimates the load of an owner. Reports arrive every one or two seconds, but the requests that they count end
    /// within tens of milliseconds. If a report kept its full weight until the next one, all entries would forward to
    /// the owners that were idle when they reported. The weight of a report therefore decays with its age in favour of
    /// the outstanding forwards of this entry and the mean busy share of the owners in this entry's region, which is
    /// also used for an owner in another region.
    Candidate estimateLoad(const RoutingState& own, const RoutingService& service, const OwnerChoice& choice,
        std::string_view name, TimePoint now)
    {
        double slots = static_cast<double>(choice.targets) * service.slotsPerTarget;
        double busy = 0;
        const auto record = own.ownerRecords.find(choice.vm);
        if (record != own.ownerRecords.end()) {
            const auto load = record->second.loads.find(name);
            if (load != record->second.loads.end()) {
                const auto& it = load->second;
                if (it.reported)
                    slots = it.slots;
                const double age = record->second.heartbeatCount == 0
                    ? 0
                    : static_cast<double>((now - record->second.lastHeartbeatAt).count());
                const double weight = std::max(0.0, 1 - age / static_cast<double>(reportLifetime.count()));
                busy = weight * it.busy + (1 - weight) * (slots * service.meanBusyShare + it.forwardsBeforeHeartbeat)
                    + it.forwardsSinceHeartbeat;
            }
        }
        return { &choice, slots - busy, expectedWait(slots, busy) };
    }

    /// Time until which an owner is avoided for the account of a request.
    TimePoint avoidanceEnd(const RoutingState& own, const OwnerChoice& choice, const Query& query)
    {
        const auto record = own.ownerRecords.find(choice.vm);
        if (record == own.ownerRecords.end())
            return TimePoint::min();
        auto until = record->second.unreachableUntil;
        const auto load = record->second.loads.find(query.service);
        if (load != record->second.loads.end()) {
            const auto refused = load->second.refusedUntil.find(query.account);
            if (refused != load->second.refusedUntil.end())
                until = std::max(until, refused->second);
        }
        return until;
    }

    bool isExcluded(const OwnerChoice& choice, const Query& query)
    {
        return query.excludedOwners != nullptr && query.excludedOwners->contains(choice.vm);
    }

    /// Draws a random owner with a probability proportional to the number of its targets, so that an owner of one
    /// target gets fewer forwards than an owner of four.
    const OwnerChoice& drawWeightedOwner(const std::vector<OwnerChoice>& choices, Random& random)
    {
        const auto drawn = random.below(choices.back().precedingTargets + choices.back().targets);
        const auto after = std::upper_bound(choices.begin(), choices.end(), drawn,
            [](std::uint64_t value, const OwnerChoice& choice) { return value < choice.precedingTargets; });
        return *std::prev(after);
    }

    /// Fills in OwnerChoice::precedingTargets, which \ref drawWeightedOwner needs.
    void computePrecedingTargets(std::vector<OwnerChoice>& choices)
    {
        std::uint32_t sum = 0;
        for (auto& choice : choices) {
            choice.precedingTargets = sum;
            sum += choice.targets;
        }
    }

    /// Result of \ref pickOwner.
    struct OwnerPick {
        Candidate best;
        std::optional<TimePoint> earliestAvoidanceEnd; ///< of the owners that the full scan found avoided
    };

    /// Picks the less loaded of two random owners (power of two choices). With more than two, all entries would pick
    /// the same owner while its load report is out of date.
    OwnerPick pickOwner(State& state, const RoutingService& service, const std::vector<OwnerChoice>& choices,
        const Query& query, TimePoint now)
    {
        OwnerPick pick;
        const auto consider = [&](const OwnerChoice& choice) {
            const auto candidate = estimateLoad(state.routing, service, choice, query.service, now);
            if (pick.best.choice == nullptr || candidate.wait < pick.best.wait
                || (candidate.wait == pick.best.wait && candidate.freeSlots > pick.best.freeSlots))
                pick.best = candidate;
        };
        // The scan of all owners below is needed only if no random draw finds an owner that may be used.
        constexpr int maxDraws = 6;
        constexpr int ownersToCompare = 2;
        int found = 0;
        const OwnerChoice* first = nullptr;
        for (int n = 0; n < maxDraws && found < ownersToCompare && !choices.empty(); ++n) {
            const auto& choice = drawWeightedOwner(choices, state.random);
            if (&choice == first || isExcluded(choice, query) || avoidanceEnd(state.routing, choice, query) > now)
                continue;
            first = &choice;
            ++found;
            consider(choice);
        }
        if (found > 0)
            return pick;
        for (const auto& choice : choices) {
            if (isExcluded(choice, query))
                continue;
            const auto until = avoidanceEnd(state.routing, choice, query);
            if (until <= now)
                consider(choice);
            else
                pick.earliestAvoidanceEnd = std::min(until, pick.earliestAvoidanceEnd.value_or(until));
        }
        return pick;
    }

    /// Records a forward to the owner and returns the decision for it.
    Decision startForward(State& state, const Query& query, const OwnerChoice& choice)
    {
        auto& record = state.routing.ownerRecords[choice.vm];
        auto load = record.loads.find(query.service);
        if (load == record.loads.end())
            load = record.loads.emplace(std::string(query.service), OwnerLoad {}).first;
        ++load->second.forwardsSinceHeartbeat;
        state.routing.forwards[query.id] = { choice.vm, std::string(query.account), record.heartbeatCount };
        return ForwardTo { choice.vm, choice.address };
    }

    /// Refusal with the time until the first owner is no longer avoided, at least \ref minRefusalBackoff, or with
    /// \p fallback if no owner is avoided.
    Decision overloadedDecision(const OwnerPick& pick, Duration fallback, TimePoint now)
    {
        return NoRoute { "overloaded",
            pick.earliestAvoidanceEnd ? std::max(*pick.earliestAvoidanceEnd - now, minRefusalBackoff) : fallback };
    }

    /// Counts one more target for an owner; \p choices stay sorted by VM name.
    void addOwner(std::vector<OwnerChoice>& choices, const VmId& vm, const std::string& address)
    {
        const auto at = std::lower_bound(choices.begin(), choices.end(), vm,
            [](const OwnerChoice& choice, const VmId& name) { return choice.vm < name; });
        if (at != choices.end() && at->vm == vm)
            ++at->targets;
        else
            choices.insert(at, OwnerChoice { vm, address, 1, 0 });
    }

    /// Owners in another region, computed from its known members. This entry receives heartbeats from few of them, so
    /// every member that is neither gone nor leaving counts as a possible owner. A forward to the wrong member ends as
    /// not run and another owner is tried.
    const std::vector<OwnerChoice>& ownersInOtherRegion(State& state, RoutingService& service, const Query& query)
    {
        const auto cached = service.owners.find(query.region);
        if (cached != service.owners.end())
            return cached->second;
        std::vector<OwnerChoice> choices;
        std::vector<VmId> vms;
        for (const auto& [vm, record] : state.membership.members) {
            if (record.member.region == query.region && !record.gone && !record.member.leaving)
                vms.push_back(vm);
        }
        const auto* active = configuration::active(state);
        const auto* entry = active == nullptr ? nullptr : active->findService(query.service);
        if (entry != nullptr && !vms.empty()) {
            for (const auto& target : entry->targets) {
                if (target.region != query.region || isDrained(*active, target))
                    continue;
                const auto owner = membership::rendezvousOrder(target.name, vms).front();
                addOwner(choices, owner, membership::find(state, owner)->member.peerAddress);
            }
        }
        computePrecedingTargets(choices);
        return service.owners.emplace(std::string(query.region), std::move(choices)).first->second;
    }

    /// Recomputes the mean busy share of slots from the last reports of the region's owners.
    void updateMeanBusyShare(
        const RoutingState& own, std::string_view name, RoutingService& service, const std::string& region)
    {
        std::uint64_t slots = 0;
        std::uint64_t busy = 0;
        for (const auto& choice : service.owners[region]) {
            const auto record = own.ownerRecords.find(choice.vm);
            if (record == own.ownerRecords.end())
                continue;
            const auto load = record->second.loads.find(name);
            if (load == record->second.loads.end() || !load->second.reported)
                continue;
            slots += load->second.slots;
            busy += load->second.busy;
        }
        service.meanBusyShare = slots == 0 ? 0 : static_cast<double>(busy) / static_cast<double>(slots);
    }

} // namespace

void rebuildOwners(State& state)
{
    auto& own = state.routing;
    for (auto& [name, service] : own.services) {
        service.ownedTargets.clear();
        service.owners.clear();
        service.owners[state.self.region];
        service.regionTargets = 0;
    }
    for (std::size_t n = 0; n < own.targets.size(); ++n) {
        const auto& target = own.targets[n];
        const auto service = own.services.find(target.service);
        if (service == own.services.end() || !target.isInDocument)
            continue;
        if (!target.drained)
            ++service->second.regionTargets;
        if (target.owned)
            service->second.ownedTargets.push_back(static_cast<std::uint32_t>(n));
        else if (!target.drained && !target.owner.empty() && target.owner != state.self.process.vm) {
            const auto* record = membership::find(state, target.owner);
            if (record != nullptr)
                addOwner(service->second.owners[state.self.region], target.owner, record->member.peerAddress);
        }
    }
    for (auto& [name, service] : own.services)
        computePrecedingTargets(service.owners[state.self.region]);
}

Decision enqueue(State& state, RoutingService& service, const Query& query, Context& context)
{
    const auto expires = std::min(query.deadline, context.now + maxQueueWait);
    const auto result = service.queue.push(query.account, query.id, expires, service.queueLimits);
    if (!result.queued)
        return NoRoute { "overloaded", estimateRetryAfter(state.routing, service, query.account) };
    if (result.displaced)
        context.followUp(QueueRefused {
            *result.displaced, "overloaded", estimateRetryAfter(state.routing, service, query.account) });
    return Queued {};
}

Decision chooseOwner(State& state, RoutingService& service, const Query& query, Context& context)
{
    const bool local = query.region == state.self.region;
    const bool canQueueHere = local && canQueue(state.routing, service);
    if (query.ownTargetsOnly) {
        if (canQueueHere)
            return enqueue(state, service, query, context);
        return NoRoute { "no-target", minRefusalBackoff };
    }
    const auto& choices
        = local ? service.owners.find(query.region)->second : ownersInOtherRegion(state, service, query);
    const auto pick = pickOwner(state, service, choices, query, context.now);
    if (pick.best.choice != nullptr && pick.best.wait <= noWait)
        return startForward(state, query, *pick.best.choice);
    if (canQueueHere) {
        const auto capacity = ownCapacity(state.routing, service);
        const auto busy = static_cast<double>(capacity.inFlight + service.queue.size());
        const bool isOwnQueueBest = pick.best.choice == nullptr || expectedWait(capacity.slots, busy) <= pick.best.wait;
        if (isOwnQueueBest) {
            auto decision = enqueue(state, service, query, context);
            if (std::holds_alternative<Queued>(decision) || pick.best.choice == nullptr)
                return decision;
        }
    }
    if (pick.best.choice != nullptr)
        return startForward(state, query, *pick.best.choice);
    if (pick.earliestAvoidanceEnd)
        return overloadedDecision(pick, minRefusalBackoff, context.now);
    return NoRoute { "no-target", minRefusalBackoff };
}

void recordForwardEnd(
    State& state, std::string_view owner, std::string_view service, const AttemptEnded& event, Context& context)
{
    const auto forward = state.routing.forwards.find(event.id);
    if (forward == state.routing.forwards.end())
        return;
    const auto ended = std::move(forward->second);
    state.routing.forwards.erase(forward);
    const auto record = state.routing.ownerRecords.find(owner);
    if (record == state.routing.ownerRecords.end())
        return;
    const auto it = record->second.loads.find(service);
    if (it == record->second.loads.end())
        return;
    auto& load = it->second;
    // The load in the last heartbeat includes forwards that were sent before it. Later ones are counted separately.
    if (ended.heartbeatCountAtSend == record->second.heartbeatCount) {
        load.forwardsSinceHeartbeat -= std::min<std::uint32_t>(load.forwardsSinceHeartbeat, 1);
    } else {
        load.busy -= std::min<std::uint32_t>(load.busy, 1);
        load.forwardsBeforeHeartbeat -= std::min<std::uint32_t>(load.forwardsBeforeHeartbeat, 1);
    }
    if (event.cancelled || event.outcome != AttemptOutcome::NotRun)
        return;
    if (event.shed || event.status != 0)
        load.refusedUntil[ended.account] = context.now + std::max(event.retryAfter, minRefusalBackoff);
    else
        record->second.unreachableUntil = context.now + unreachableBackoff;
}

void onHeartbeat(State& state, const Heartbeat& message, Context& context)
{
    if (message.sender.process.vm == state.self.process.vm)
        return;
    auto& record = state.routing.ownerRecords[message.sender.process.vm];
    ++record.heartbeatCount;
    record.lastHeartbeatAt = context.now;
    for (auto& [name, load] : record.loads) {
        load.reported = false;
        load.slots = 0;
        load.busy = 0;
        load.forwardsBeforeHeartbeat += load.forwardsSinceHeartbeat;
        load.forwardsSinceHeartbeat = 0;
        std::erase_if(load.refusedUntil, [&context](const auto& it) { return it.second <= context.now; });
    }
    for (const auto& it : message.loads) {
        auto& load = record.loads[it.service];
        load.reported = true;
        load.slots = it.slots;
        load.busy = it.inFlight + it.queued;
        const auto service = state.routing.services.find(it.service);
        if (service != state.routing.services.end())
            updateMeanBusyShare(state.routing, service->first, service->second, state.self.region);
    }
}

} // namespace arbutuscrank::routing
