#include <arbutuscrank/core/state.hpp>

namespace arbutuscrank::routing {

Decision route(State& state, const Query& query, Context& /*context*/)
{
    RoutingState::Target* best = nullptr;
    std::string_view name;
    for (auto& [it, target] : state.routing.targets) {
        if (target.service == query.service && target.inFlight < target.slots
            && (best == nullptr || target.inFlight < best->inFlight)) {
            best = &target;
            name = it;
        }
    }
    if (best == nullptr)
        return NoRoute { "overloaded", std::chrono::seconds(1) };
    ++best->inFlight;
    return RunHere { std::string(name), best->address };
}

void cancelQueued(State& /*state*/, RequestId /*id*/, Context& /*context*/) { }

void attemptEnded(
    State& state, std::string_view target, const AttemptEnded& /*event*/, Duration /*took*/, Context& /*context*/)
{
    const auto it = state.routing.targets.find(target);
    if (it != state.routing.targets.end())
        --it->second.inFlight;
}

void forwardEnded(State& /*state*/, std::string_view /*owner*/, std::string_view /*service*/,
    const AttemptEnded& /*event*/, Context& /*context*/)
{
}

std::vector<ServiceLoad> ownLoads(const State& /*state*/) { return {}; }

bool takeRetry(State& /*state*/, std::string_view /*service*/) { return true; }

void countFirstTry(State& /*state*/, std::string_view /*service*/) { }
void startLeaving(State& /*state*/, Context& /*context*/) { }
void onTick(State& /*state*/, Context& /*context*/) { }

void onConfigurationApplied(State& state, const ConfigurationApplied& /*event*/, Context& /*context*/)
{
    std::map<std::string, RoutingState::Target, std::less<>> targets;
    for (const auto& service : configuration::active(state)->document().services) {
        for (const auto& target : service.targets) {
            if (target.region != state.self.region || target.draining)
                continue;
            const auto it = state.routing.targets.find(target.name);
            const auto inFlight = it == state.routing.targets.end() ? 0 : it->second.inFlight;
            targets[target.name] = { service.name, target.address, service.slotsPerTarget, inFlight };
        }
    }
    state.routing.targets = std::move(targets);
}

void onMemberChanged(State& /*state*/, const MemberChanged& /*event*/, Context& /*context*/) { }
void onHeartbeat(State& /*state*/, const Heartbeat& /*message*/, Context& /*context*/) { }
void onOwnerQuery(State& /*state*/, const ProcessId& /*from*/, const OwnerQuery& /*message*/, Context& /*context*/) { }
void onOwnerReply(State& /*state*/, const ProcessId& /*from*/, const OwnerReply& /*message*/, Context& /*context*/) { }
void onProbeEnded(State& /*state*/, const ProbeEnded& /*event*/, Context& /*context*/) { }

} // namespace arbutuscrank::routing
