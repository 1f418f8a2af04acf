#include "core/steering_internal.hpp"

#include <arbutuscrank/core/state.hpp>

namespace arbutuscrank::steering {

void onTick(State& state, Context& context)
{
    auto& own = state.steering;
    if (configuration::active(state) == nullptr)
        return;
    if (context.now >= own.nextLoadRefresh) {
        own.nextLoadRefresh = context.now + loadRefreshInterval;
        refreshLoads(state);
    }
    refreshHolders(state, holderChecksPerTick);
    if (own.isPublicationPending || own.holdersChanged || context.now >= own.nextTableCheck)
        refreshTable(state, context);
    tickPlan(state, context);
}

void onConfigurationApplied(State& state, const ConfigurationApplied& /*event*/, Context& context)
{
    refreshClients(state);
    refreshLoads(state);
    state.steering.nextPlannerCheck = context.now;
    refreshTable(state, context);
}

void onMemberChanged(State& state, const MemberChanged& /*event*/, Context& context)
{
    state.steering.nextPlannerCheck = context.now;
    refreshTable(state, context);
}

void onObjectRead(State& state, const ObjectRead& event, Context& context) { handlePlanRead(state, event, context); }

void onObjectWritten(State& state, const ObjectWritten& event, Context& context)
{
    handlePlanWritten(state, event, context);
}

void onStoreCallFailed(State& state, const StoreCallFailed& event, Context& context)
{
    handlePlanCallFailed(state, event, context);
}

} // namespace arbutuscrank::steering
