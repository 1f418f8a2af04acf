#include "core/steering_internal.hpp"

#include <arbutuscrank/core/state.hpp>

#include <algorithm>
#include <sstream>

namespace arbutuscrank::steering {

namespace {

    // --- Store calls -------------------------------------------------------------------------------------------------

    StoreToken nextToken(SteeringState& own)
    {
        return ++own.lastTokenNumber << storeTopicBits | static_cast<StoreToken>(StoreTopic::Steering);
    }

    /// Adds jitter of up to a quarter, so that entries do not call the store at the same moment.
    Duration withJitter(State& state, Duration time)
    {
        return time + Duration(state.random.below(static_cast<std::uint64_t>(time.count()) / 4 + 1));
    }

    void startCall(SteeringState& own, PlanCall call, TimePoint now)
    {
        own.planCall = call;
        own.planToken = nextToken(own);
        own.planCallStartedAt = now;
    }

    void readPlan(State& state, Context& context)
    {
        auto& own = state.steering;
        startCall(own, PlanCall::Read, context.now);
        own.nextPlanCall = context.now + withJitter(state, planReadInterval);
        context.effect(ReadObject { own.planToken, std::string(planKey) });
    }

    void writePlan(State& state, Plan plan, Context& context)
    {
        auto& own = state.steering;
        startCall(own, PlanCall::Write, context.now);
        own.pendingPlan = std::move(plan);
        context.effect(
            WriteObject { own.planToken, std::string(planKey), planToJson(own.pendingPlan), own.planObjectVersion });
    }

    void watchPlan(SteeringState& own, Context& context)
    {
        own.watchToken = nextToken(own);
        own.watchOpenedAt = context.now;
        context.effect(WatchObject { own.watchToken, std::string(planKey), own.planObjectVersion });
    }

    void logStoreRecovery(SteeringState& own, Context& context)
    {
        if (own.storeFailing)
            context.log(LogEvent::StoreRecovered, "object=plan");
        own.storeFailing = false;
    }

    void logStoreFailure(SteeringState& own, const std::string& detail, Context& context)
    {
        if (!own.storeFailing)
            context.log(LogEvent::StoreFailed, "object=plan detail=" + detail);
        own.storeFailing = true;
    }

    // --- Steps -------------------------------------------------------------------------------------------------------

    /// Whether recorded progress belongs to this shift and not to another one of the same name.
    bool movesSameTraffic(const Shift& shift, const ShiftProgress& progress)
    {
        return progress.service == shift.service && progress.from == shift.from && progress.to == shift.to;
    }

    /// Percentage that a shift should move now. It grows one step at a time, and only if the destination region has
    /// headroom.
    double nextPercent(const State& state, const Shift& shift, double percent, TimePoint now)
    {
        if (percent >= shift.percent)
            return shift.percent;
        const auto steppedAt = state.steering.steppedAt.find(shift.name);
        const auto step = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(shift.stepSeconds));
        if (steppedAt != state.steering.steppedAt.end() && now - steppedAt->second < step)
            return percent;
        const auto& active = *configuration::active(state);
        if (active.isDrained(DrainKind::Region, shift.to) || !hasHeadroom(state, shift.service, shift.to))
            return percent;
        return std::min(shift.percent, percent + shift.stepPercent);
    }

    /// Progress that each configured shift should have now.
    std::map<std::string, ShiftProgress> nextShifts(const State& state, TimePoint now)
    {
        std::map<std::string, ShiftProgress> shifts;
        for (const auto& shift : configuration::active(state)->document().shifts) {
            const auto recorded = state.steering.plan.shifts.find(shift.name);
            ShiftProgress progress { shift.service, shift.from, shift.to, 0 };
            if (recorded != state.steering.plan.shifts.end() && movesSameTraffic(shift, recorded->second))
                progress.percent = recorded->second.percent;
            progress.percent = nextPercent(state, shift, progress.percent, now);
            shifts.emplace(shift.name, std::move(progress));
        }
        return shifts;
    }

    /// Weights from the latest load reports; 0 for a region that is drained or reports no slots.
    std::map<std::string, std::map<std::string, std::uint32_t>> currentWeights(const State& state)
    {
        std::map<std::string, std::map<std::string, std::uint32_t>> weights;
        const auto& active = *configuration::active(state);
        for (const auto& [service, regions] : state.steering.loads) {
            for (const auto& [region, load] : regions) {
                const bool usable = load.slots > 0 && !active.isDrained(DrainKind::Region, region);
                weights[service][region]
                    = usable ? static_cast<std::uint32_t>(std::uint64_t { load.freeSlots() } * 1000 / load.slots) : 0;
            }
        }
        return weights;
    }

    /// Whether the weights differ enough from those of the plan to be written.
    bool needsWeightUpdate(const Plan& plan, const std::map<std::string, std::map<std::string, std::uint32_t>>& weights)
    {
        if (plan.weights.size() != weights.size())
            return true;
        for (const auto& [service, regions] : weights) {
            const auto recorded = plan.weights.find(service);
            if (recorded == plan.weights.end() || recorded->second.size() != regions.size())
                return true;
            for (const auto& [region, weight] : regions) {
                const auto it = recorded->second.find(region);
                if (it == recorded->second.end())
                    return true;
                if (std::max(weight, it->second) - std::min(weight, it->second) >= minWeightChangeThousandths)
                    return true;
            }
        }
        return false;
    }

    /// Makes a plan current and records when each percentage was first seen. The interval before the next step starts
    /// there.
    void applyPlan(SteeringState& own, Plan plan, Context& context)
    {
        std::erase_if(own.steppedAt, [&plan](const auto& it) { return !plan.shifts.contains(it.first); });
        for (const auto& [name, progress] : plan.shifts) {
            const auto before = own.plan.shifts.find(name);
            const bool changed = before == own.plan.shifts.end() || !(before->second == progress);
            // The first step, from 0, waits for headroom only and for no interval.
            if (progress.percent <= 0)
                own.steppedAt.erase(name);
            else if (changed || !own.steppedAt.contains(name))
                own.steppedAt[name] = context.now;
            if (changed) {
                std::ostringstream text;
                text << "shift=" << name << " percent=" << progress.percent << " version=" << plan.version;
                context.log(LogEvent::ShiftStepped, text.str());
            }
        }
        if (own.plan.version != plan.version)
            context.log(LogEvent::PlanApplied, "version=" + std::to_string(plan.version));
        own.plan = std::move(plan);
    }

    // --- Roles -------------------------------------------------------------------------------------------------------

    /// Whether a shift moves traffic out of this daemon's region.
    bool hasOutgoingShift(const State& state)
    {
        const auto& shifts = configuration::active(state)->document().shifts;
        return std::any_of(
            shifts.begin(), shifts.end(), [&state](const Shift& it) { return it.from == state.self.region; });
    }

    /// Reads, writes or watches the plan in the role of the planner.
    void advancePlan(State& state, Context& context)
    {
        auto& own = state.steering;
        const bool hasShifts = !configuration::active(state)->document().shifts.empty();
        if (!own.isPlanCurrent) {
            if (context.now >= own.nextPlanCall)
                readPlan(state, context);
            return;
        }
        auto shifts = nextShifts(state, context.now);
        auto weights = currentWeights(state);
        const bool outdated = configuration::version(state) < own.plan.manifestVersion;
        const bool weightsDue = hasShifts && context.now - own.planWrittenAt >= weightWriteInterval
            && needsWeightUpdate(own.plan, weights);
        if (!outdated && (shifts != own.plan.shifts || weightsDue)) {
            if (context.now >= own.nextPlanCall)
                writePlan(state,
                    Plan { own.plan.version + 1, configuration::version(state), std::move(weights), std::move(shifts) },
                    context);
            return;
        }
        if (hasShifts && own.watchToken == 0 && context.now >= own.nextWatch)
            watchPlan(own, context);
    }

    /// Gives up store calls without an answer.
    void expireLostCalls(SteeringState& own, TimePoint now)
    {
        if (own.planCall != PlanCall::None && now - own.planCallStartedAt > planCallTimeout) {
            own.isPlanCurrent = false; // a write without an answer may have taken effect
            own.planCall = PlanCall::None;
        }
        if (own.watchToken != 0 && now - own.watchOpenedAt > planWatchTimeout)
            own.watchToken = 0;
    }

} // namespace

bool isPlanner(const State& state)
{
    if (state.membership.selfLeaving)
        return false;
    std::vector<VmId> vms;
    for (const auto& it : membership::activeMembers(state, {}))
        vms.push_back(it.process.vm);
    const auto order = membership::rendezvousOrder(planKey, vms);
    return !order.empty() && order.front() == state.self.process.vm;
}

void tickPlan(State& state, Context& context)
{
    auto& own = state.steering;
    expireLostCalls(own, context.now);
    if (context.now >= own.nextPlannerCheck) {
        own.nextPlannerCheck = context.now + plannerInterval;
        const bool wasPlanner = std::exchange(own.hasPlannerRole, isPlanner(state));
        if (own.hasPlannerRole && !wasPlanner)
            own.isPlanCurrent = false; // the former planner may have written since the last read
        if (own.hasPlannerRole && own.planCall == PlanCall::None)
            return advancePlan(state, context);
    }
    if (!own.hasPlannerRole && own.planCall == PlanCall::None && context.now >= own.nextPlanCall
        && hasOutgoingShift(state))
        readPlan(state, context);
}

// --- Answers of the store --------------------------------------------------------------------------------------------

void handlePlanRead(State& state, const ObjectRead& event, Context& context)
{
    auto& own = state.steering;
    const bool fromWatch = event.token == own.watchToken;
    const bool fromRead = own.planCall == PlanCall::Read && event.token == own.planToken;
    if (!fromWatch && !fromRead)
        return;
    if (fromWatch)
        own.watchToken = 0;
    else
        own.planCall = PlanCall::None;
    logStoreRecovery(own, context);
    if (event.version < own.planObjectVersion && event.version != 0)
        return; // the answer to a later call arrived first
    own.planObjectVersion = event.version;
    // While a write is outstanding, only its answer tells which plan the store holds.
    own.isPlanCurrent = own.planCall != PlanCall::Write;
    // The planner acts on the answer without waiting for the next interval.
    own.nextPlanCall = own.hasPlannerRole ? context.now : own.nextPlanCall;
    own.nextPlannerCheck = own.hasPlannerRole ? context.now : own.nextPlannerCheck;
    if (event.version == 0)
        return;
    auto plan = planFromJson(event.value);
    if (!plan) {
        // The next write replaces the unreadable plan. Its plan version was at most the version of the object, so plan
        // versions keep increasing.
        own.plan.version = std::max(own.plan.version, event.version);
        logStoreFailure(own, "unreadable", context);
        return;
    }
    if (plan->version > own.plan.version)
        applyPlan(own, std::move(*plan), context);
}

void handlePlanWritten(State& state, const ObjectWritten& event, Context& context)
{
    auto& own = state.steering;
    if (own.planCall != PlanCall::Write || event.token != own.planToken)
        return;
    own.planCall = PlanCall::None;
    logStoreRecovery(own, context);
    if (event.version < own.planObjectVersion) {
        own.isPlanCurrent = false;
        return;
    }
    own.planObjectVersion = event.version;
    own.isPlanCurrent = true;
    own.planWrittenAt = context.now;
    if (own.pendingPlan.version > own.plan.version)
        applyPlan(own, std::move(own.pendingPlan), context);
}

void handlePlanCallFailed(State& state, const StoreCallFailed& event, Context& context)
{
    auto& own = state.steering;
    const bool watchTimedOut = event.failure == StoreFailure::TimedOut;
    if (event.token == own.watchToken) {
        own.watchToken = 0;
        own.nextWatch = watchTimedOut ? context.now : context.now + withJitter(state, planRetryInterval);
        if (!watchTimedOut)
            logStoreFailure(own, event.detail, context);
        return;
    }
    if (own.planCall == PlanCall::None || event.token != own.planToken)
        return;
    const bool write = own.planCall == PlanCall::Write;
    own.planCall = PlanCall::None;
    if (write)
        own.isPlanCurrent = false; // after a conflict or an unknown outcome, read the plan before the next step
    if (event.failure == StoreFailure::Conflict) {
        own.nextPlanCall = context.now;
        return;
    }
    own.nextPlanCall = context.now + withJitter(state, planRetryInterval);
    logStoreFailure(own, event.detail, context);
}

} // namespace arbutuscrank::steering
