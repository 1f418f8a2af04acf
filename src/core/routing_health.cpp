#include "core/routing_internal.hpp"

#include <arbutuscrank/core/state.hpp>

#include <algorithm>

namespace arbutuscrank::routing {

namespace {

    constexpr Duration reviewInterval = std::chrono::seconds(1);
    /// A probe without an answer is abandoned after this time, so that its target is probed again.
    constexpr Duration probeTimeout = std::chrono::seconds(15);

    std::uint32_t countEjectedTargets(const RoutingState& own, const RoutingService& service)
    {
        return static_cast<std::uint32_t>(
            std::count_if(service.ownedTargets.begin(), service.ownedTargets.end(), [&own](std::uint32_t index) {
                return !own.targets[index].drained && own.targets[index].health.isEjected();
            }));
    }

    std::uint32_t countUndrainedTargets(const RoutingState& own, const RoutingService& service)
    {
        return static_cast<std::uint32_t>(std::count_if(service.ownedTargets.begin(), service.ownedTargets.end(),
            [&own](std::uint32_t index) { return !own.targets[index].drained; }));
    }

    /// Upper bound on the targets that other owners of the region have ejected. Every owner counts with at least the
    /// half of its targets that it may eject at any time, and with more if its reported slots suffice for fewer targets
    /// than the other half. Reported slots are rounded up to whole targets, because a reduced slot limit is not an
    /// ejection. If the limits or allowed slots of several targets are reduced, they may still count as ejections.
    std::uint32_t countEjectedElsewhere(const State& state, std::string_view name, const RoutingService& service)
    {
        const auto choices = service.owners.find(state.self.region);
        if (choices == service.owners.end())
            return 0;
        std::uint32_t ejected = 0;
        for (const auto& choice : choices->second) {
            std::uint32_t count = choice.targets / 2;
            const auto record = state.routing.ownerRecords.find(choice.vm);
            if (record != state.routing.ownerRecords.end()) {
                const auto load = record->second.loads.find(name);
                if (load != record->second.loads.end() && load->second.reported) {
                    const auto used = (load->second.slots + service.slotsPerTarget - 1) / service.slotsPerTarget;
                    count = std::max(count, choice.targets - std::min(choice.targets, used));
                }
            }
            ejected += count;
        }
        return ejected;
    }

    /// Whether one more own target may be ejected. Every owner may eject half of its targets, so that all owners
    /// together eject at most half of the region. An owner may eject more if the load reports of the others show that
    /// the total stays within that half.
    bool mayEjectAnother(const State& state, std::string_view name, const RoutingService& service)
    {
        const auto ejected = countEjectedTargets(state.routing, service) + 1;
        if (ejected <= countUndrainedTargets(state.routing, service) / 2)
            return true;
        return ejected + countEjectedElsewhere(state, name, service) <= service.regionTargets / 2;
    }

    void readmit(RoutingTarget& target, std::string_view reason, Context& context)
    {
        target.health.readmit();
        target.limit.startCold(context.now);
        context.log(LogEvent::TargetHealthy, "target=" + target.name + " reason=" + std::string(reason));
        requestIdleConnections(target, context);
    }

    /// Ejects failing targets that could not be ejected before. Readmits own targets while more than half of this
    /// entry's targets are ejected and, by the upper bound of \ref countEjectedElsewhere, more than half of the
    /// region's. That happens when several owners eject targets at the same time.
    void reviewEjections(State& state, Context& context)
    {
        for (auto& [name, service] : state.routing.services) {
            for (const auto index : service.ownedTargets) {
                auto& target = state.routing.targets[index];
                if (target.health.isFailing() && !target.health.isEjected()) {
                    applyHealth(state, target, context);
                    continue;
                }
                const auto ejected = countEjectedTargets(state.routing, service);
                if (target.health.isEjected() && ejected > countUndrainedTargets(state.routing, service) / 2
                    && ejected + countEjectedElsewhere(state, name, service) > service.regionTargets / 2)
                    readmit(target, "half-of-region-ejected", context);
            }
        }
    }

} // namespace

void applyHealth(State& state, RoutingTarget& target, Context& context)
{
    if (!target.owned || !target.health.isFailing() || target.health.isEjected())
        return;
    const auto service = state.routing.services.find(target.service);
    if (service == state.routing.services.end())
        return;
    if (mayEjectAnother(state, service->first, service->second)) {
        target.health.eject(context.now, target.probeInterval);
        target.nextProbe = std::min(target.nextProbe, context.now + target.probeInterval);
        context.log(LogEvent::TargetUnhealthy, "target=" + target.name);
        requestIdleConnections(target, context);
    } else {
        target.limit.startCold(context.now);
    }
}

void tickHealth(State& state, Context& context)
{
    for (auto& target : state.routing.targets) {
        if (!target.owned || target.drained)
            continue;
        if (target.probing && context.now - target.probeSentAt >= probeTimeout)
            target.probing = false;
        if (target.probing || context.now < target.nextProbe)
            continue;
        target.probing = true;
        target.probeSentAt = context.now;
        target.nextProbe = context.now + target.probeInterval;
        context.effect(ProbeTarget { target.name, target.address });
    }
    if (context.now >= state.routing.nextEjectionReview) {
        state.routing.nextEjectionReview = context.now + reviewInterval;
        reviewEjections(state, context);
    }
}

void onProbeEnded(State& state, const ProbeEnded& event, Context& context)
{
    checkForPause(state, context);
    const auto it = state.routing.targetIndex.find(event.target);
    if (it == state.routing.targetIndex.end())
        return;
    auto& target = state.routing.targets[it->second];
    target.probing = false;
    if (!target.owned)
        return;
    target.health.recordProbe(event.healthy, context.now, target.probeInterval);
    if (event.reportedLoad)
        target.health.recordLoad(*event.reportedLoad, context.now);
    if (target.health.isEjected()) {
        if (event.healthy && target.health.mayBeReadmitted(context.now))
            readmit(target, "probe", context);
    } else {
        applyHealth(state, target, context);
    }
    const auto service = state.routing.services.find(target.service);
    if (service != state.routing.services.end())
        dispatchQueue(state, service->second, context);
}

} // namespace arbutuscrank::routing
