#include "core/routing_internal.hpp"

#include <arbutuscrank/core/state.hpp>

#include <algorithm>

namespace arbutuscrank::routing {

namespace {

    constexpr Duration minRetryAfter = std::chrono::milliseconds(10);
    constexpr Duration maxRetryAfter = std::chrono::seconds(5);

    void refuseQueued(RequestId id, std::string reason, Duration retryAfter, Context& context)
    {
        context.followUp(QueueRefused { id, std::move(reason), retryAfter });
    }

} // namespace

std::uint32_t usableSlots(const RoutingTarget& target) noexcept
{
    if (!target.owned || target.drained || target.health.isEjected())
        return 0;
    return std::min(target.allowedSlots, target.limit.value());
}

RoutingTarget* leastLoadedTarget(
    RoutingState& own, const RoutingService& service, TimePoint now, const std::set<std::string>* excluded)
{
    RoutingTarget* best = nullptr;
    double bestLoad = 0;
    for (const auto index : service.ownedTargets) {
        auto& target = own.targets[index];
        const auto slots = usableSlots(target);
        if (target.inFlight >= slots || (excluded != nullptr && excluded->contains(target.name)))
            continue;
        // A reported load can raise the estimate above this entry's own count but cannot lower it.
        const double counted = static_cast<double>(target.inFlight) / static_cast<double>(slots);
        const double load = std::max(counted, target.health.reportedLoad(now));
        if (best == nullptr || load < bestLoad) {
            best = &target;
            bestLoad = load;
        }
    }
    return best;
}

bool canQueue(const RoutingState& own, const RoutingService& service)
{
    return std::any_of(service.ownedTargets.begin(), service.ownedTargets.end(), [&own](std::uint32_t index) {
        const auto& target = own.targets[index];
        return !target.drained && !target.health.isEjected();
    });
}

OwnCapacity ownCapacity(const RoutingState& own, const RoutingService& service) noexcept
{
    OwnCapacity capacity;
    for (const auto index : service.ownedTargets) {
        capacity.slots += usableSlots(own.targets[index]);
        capacity.inFlight += own.targets[index].inFlight;
    }
    return capacity;
}

void dispatchQueue(State& state, RoutingService& service, Context& context)
{
    if (service.queue.empty())
        return;
    auto& own = state.routing;
    // The account of an expired request is no longer known, so the estimate is for the open routes.
    for (const auto id : service.queue.takeExpired(context.now))
        refuseQueued(id, "overloaded", estimateRetryAfter(own, service, {}), context);
    if (!canQueue(own, service)) {
        for (const auto id : service.queue.takeAll())
            refuseQueued(id, "no-target", minRefusalBackoff, context);
        return;
    }
    while (!service.queue.empty()) {
        auto* target = leastLoadedTarget(own, service, context.now);
        if (target == nullptr)
            return;
        const auto id = service.queue.pop();
        ++target->inFlight;
        context.followUp(SlotGranted { *id, target->name, target->address });
    }
}

void dispatchAllQueues(State& state, Context& context)
{
    for (auto& [name, service] : state.routing.services)
        dispatchQueue(state, service, context);
}

Duration estimateRetryAfter(const RoutingState& own, const RoutingService& service, std::string_view account)
{
    // The queue serves each account once per round, so a request behind n others of its account waits n + 1 rounds.
    const auto rounds = (service.queue.lengthOf(account) + 1) * std::max<std::size_t>(service.queue.accounts(), 1);
    const auto requestsAhead = std::min(rounds, service.queue.size() + 1);
    const auto slots = std::max<std::uint32_t>(ownCapacity(own, service).slots, 1);
    return std::clamp(
        service.meanRequestTime * static_cast<std::int64_t>(requestsAhead) / static_cast<std::int64_t>(slots),
        minRetryAfter, maxRetryAfter);
}

void requestIdleConnections(RoutingTarget& target, Context& context)
{
    const bool shouldKeep = target.owned && !target.drained && !target.health.isEjected();
    const auto idle = shouldKeep ? std::min(target.slots, target.maxConnections) : 0;
    if (idle == target.idleConnections)
        return;
    target.idleConnections = idle;
    context.effect(SetIdleConnections { target.name, target.address, idle, target.maxConnections });
}

void finishDrain(RoutingTarget& target, Context& context)
{
    if (target.drainingSince && target.inFlight == 0) {
        const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(context.now - *target.drainingSince);
        context.log(LogEvent::TargetDrained, "target=" + target.name + " ms=" + std::to_string(took.count()));
        target.drainingSince.reset();
    }
}

} // namespace arbutuscrank::routing
