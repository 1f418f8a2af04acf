#include <arbutuscrank/core/state.hpp>

namespace arbutuscrank::steering {

namespace {

    void publish(State& state, Context& context)
    {
        const auto* active = configuration::active(state);
        if (active == nullptr)
            return;
        LookupTable::Content content { active->document().steering.lookupTtlSeconds, {} };
        for (const auto& it : membership::activeMembers(state, {}))
            content.entries.push_back({ it.callerAddress, it.region });
        state.steering.table = std::make_shared<LookupTable>(std::move(content));
        context.effect(PublishLookup { state.steering.table });
    }

} // namespace

std::vector<RegionChoice> chooseRegions(
    State& state, std::string_view /*service*/, std::string_view /*account*/, Context& /*context*/)
{
    return { RegionChoice { state.self.region, {} } };
}

void onTick(State& /*state*/, Context& /*context*/) { }

void onConfigurationApplied(State& state, const ConfigurationApplied& /*event*/, Context& context)
{
    publish(state, context);
}

void onMemberChanged(State& state, const MemberChanged& /*event*/, Context& context) { publish(state, context); }

void onObjectRead(State& /*state*/, const ObjectRead& /*event*/, Context& /*context*/) { }
void onObjectWritten(State& /*state*/, const ObjectWritten& /*event*/, Context& /*context*/) { }
void onStoreCallFailed(State& /*state*/, const StoreCallFailed& /*event*/, Context& /*context*/) { }

} // namespace arbutuscrank::steering
