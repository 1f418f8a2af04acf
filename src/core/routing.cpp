#include "core/routing_internal.hpp"

#include <arbutuscrank/core/state.hpp>

#include <algorithm>

namespace arbutuscrank::routing {

namespace {

    // --- Document ----------------------------------------------------------------------------------------------------

    /// Applies the configuration of a target and keeps its measured state.
    void applyTargetEntry(RoutingTarget& target, const Service& service, const TargetEntry& entry, bool drained,
        bool isNew, const RoutingState& own, Context& context)
    {
        if (!isNew && target.address != entry.address) {
            if (target.idleConnections != 0)
                context.effect(SetIdleConnections { target.name, target.address, 0, 0 });
            target.idleConnections = 0;
        }
        const bool returnsToService = !isNew && (target.drained || !target.isInDocument) && !drained;
        target.name = entry.name;
        target.service = service.name;
        target.address = entry.address;
        target.failureDomain = entry.failureDomain;
        target.slots = service.slotsPerTarget;
        target.maxConnections = service.connectionsPerTarget;
        target.probeInterval = std::chrono::milliseconds(service.probeIntervalMs);
        target.isInDocument = true;
        target.limit.resize(service.slotsPerTarget);
        if (isNew)
            target.limit.startWarm(service.slotsPerTarget);
        // Targets of the first document were in service before this process started, so they need no slow start.
        if ((isNew && own.hasConfiguration) || returnsToService) {
            target.inServiceSince = context.now;
            target.health.readmit();
            target.limit.startCold(context.now);
        }
        target.drained = drained;
    }

    void startDrain(RoutingTarget& target, Context& context)
    {
        target.drainingSince = context.now;
        context.log(
            LogEvent::TargetDraining, "target=" + target.name + " in-flight=" + std::to_string(target.inFlight));
    }

    void applyService(State& state, const Service& entry)
    {
        auto& service = state.routing.services[entry.name];
        service.slotsPerTarget = std::max<std::uint32_t>(entry.slotsPerTarget, 1);
        service.queueLimits = { entry.queuePerAccount, entry.queueTotal };
        service.retries.setPercent(entry.retryBudgetPercent);
    }

    /// Refuses the queued requests of a service that the document no longer contains.
    void refuseAllQueued(RoutingService& service, Context& context)
    {
        for (const auto id : service.queue.takeAll())
            context.followUp(QueueRefused { id, "no-target", {} });
    }

    // --- Attempts ----------------------------------------------------------------------------------------------------

    /// Updates the health and slot limit of a target from the outcome of an attempt. A complete attempt also updates
    /// the mean request time of the target's service.
    void recordOutcome(State& state, RoutingTarget& target, const AttemptEnded& event, Duration took, Context& context)
    {
        if (event.reportedLoad)
            target.health.recordLoad(*event.reportedLoad, context.now);
        // An unused slot grant and an attempt cancelled by this daemon say nothing about the target.
        if (event.attempt == 0 || event.cancelled)
            return;
        if (event.outcome == AttemptOutcome::Complete) {
            target.health.recordSuccess(context.now);
            target.limit.recordSuccess(context.now);
            constexpr int samplesInAverage = 16;
            auto& service = state.routing.services.find(target.service)->second;
            service.meanRequestTime += (took - service.meanRequestTime) / samplesInAverage;
            return;
        }
        target.limit.recordFailure(context.now, context.now - took);
        if (event.shed)
            target.health.recordShed();
        else
            target.health.recordFailure(event.outcome == AttemptOutcome::NotRun && event.status == 0);
        applyHealth(state, target, context);
    }

} // namespace

bool isDrained(const ActiveDocument& active, const TargetEntry& target)
{
    return target.draining || active.isDrained(DrainKind::Target, target.name)
        || active.isDrained(DrainKind::FailureDomain, target.failureDomain)
        || active.isDrained(DrainKind::Region, target.region);
}

// --- Requests --------------------------------------------------------------------------------------------------------

Decision route(State& state, const Query& query, Context& context)
{
    checkForPause(state, context);
    auto& own = state.routing;
    const auto service = own.services.find(query.service);
    if (service == own.services.end())
        return NoRoute { "no-target", {} };
    // Free slots go to queued requests first.
    if (query.region == state.self.region && service->second.queue.empty()) {
        auto* target = leastLoadedTarget(own, service->second, context.now, query.excludedTargets);
        if (target != nullptr) {
            ++target->inFlight;
            return RunHere { target->name, target->address };
        }
    }
    return chooseOwner(state, service->second, query, context);
}

void cancelQueued(State& state, RequestId id, Context& /*context*/)
{
    for (auto& [name, service] : state.routing.services) {
        if (service.queue.remove(id))
            return;
    }
}

void recordAttemptEnd(State& state, std::string_view target, const AttemptEnded& event, Duration took, Context& context)
{
    checkForPause(state, context);
    auto& own = state.routing;
    const auto it = own.targetIndex.find(target);
    if (it == own.targetIndex.end())
        return;
    auto& entry = own.targets[it->second];
    entry.inFlight -= std::min<std::uint32_t>(entry.inFlight, 1);
    finishDrain(entry, context);
    const auto service = own.services.find(entry.service);
    if (service == own.services.end())
        return;
    recordOutcome(state, entry, event, took, context);
    dispatchQueue(state, service->second, context);
}

std::vector<ServiceLoad> ownLoads(const State& state)
{
    std::vector<ServiceLoad> loads;
    for (const auto& [name, service] : state.routing.services) {
        if (service.ownedTargets.empty())
            continue;
        const auto capacity = ownCapacity(state.routing, service);
        loads.push_back({ name, capacity.slots, capacity.inFlight, static_cast<std::uint32_t>(service.queue.size()) });
    }
    return loads;
}

bool tryTakeRetry(State& state, std::string_view service)
{
    const auto it = state.routing.services.find(service);
    return it != state.routing.services.end() && it->second.retries.tryTake();
}

void countFirstTry(State& state, std::string_view service)
{
    const auto it = state.routing.services.find(service);
    if (it != state.routing.services.end())
        it->second.retries.countFirstTry();
}

// --- Time and configuration ------------------------------------------------------------------------------------------

void onTick(State& state, Context& context)
{
    checkForPause(state, context);
    tickOwnership(state, context);
    tickHealth(state, context);
    // Targets that were removed from the document are erased once their last request has ended.
    auto& own = state.routing;
    const auto erased = std::erase_if(
        own.targets, [](const RoutingTarget& target) { return !target.isInDocument && target.inFlight == 0; });
    if (erased == 0)
        return;
    own.targetIndex.clear();
    for (std::size_t n = 0; n < own.targets.size(); ++n)
        own.targetIndex[own.targets[n].name] = static_cast<std::uint32_t>(n);
    rebuildOwners(state);
}

void onConfigurationApplied(State& state, const ConfigurationApplied& /*event*/, Context& context)
{
    checkForPause(state, context);
    auto& own = state.routing;
    const auto& active = *configuration::active(state);
    for (auto& target : own.targets)
        target.isInDocument = false;
    for (const auto& service : active.document().services) {
        applyService(state, service);
        for (const auto& entry : service.targets) {
            if (entry.region != state.self.region)
                continue;
            const auto [it, isNew]
                = own.targetIndex.try_emplace(entry.name, static_cast<std::uint32_t>(own.targets.size()));
            if (isNew)
                own.targets.emplace_back();
            applyTargetEntry(own.targets[it->second], service, entry, isDrained(active, entry), isNew, own, context);
        }
    }
    for (auto it = own.services.begin(); it != own.services.end();) {
        if (active.findService(it->first) != nullptr) {
            ++it;
            continue;
        }
        refuseAllQueued(it->second, context);
        it = own.services.erase(it);
    }
    own.hasConfiguration = true;
    for (auto& target : own.targets)
        target.drained = target.drained || !target.isInDocument;
    syncOwnership(state, context);
    for (auto& target : own.targets) {
        if (!target.drained) {
            target.drainingSince.reset();
            target.isDrainStartLogged = false;
        } else if (!target.isDrainStartLogged && (target.owned || target.inFlight > 0)) {
            target.isDrainStartLogged = true;
            startDrain(target, context);
            finishDrain(target, context);
        }
    }
}

} // namespace arbutuscrank::routing
