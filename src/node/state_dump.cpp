#include "node/state_dump.hpp"

#include <nlohmann/json.hpp>

namespace arbutuscrank::node {

namespace {

    using Json = nlohmann::json;

    std::int64_t ageMs(TimePoint at, TimePoint now) { return (now - at) / std::chrono::milliseconds(1); }

    Json dumpTarget(const entry::Target& target, TimePoint now)
    {
        return {
            { "id", target.record.id },
            { "service", target.record.service },
            { "address", target.record.address },
            { "failureDomain", target.record.failureDomain },
            { "slots", target.record.slots },
            { "draining", target.record.draining },
            { "lapsed", target.isAwaitingRemoval },
            { "leaving", target.isLeaving },
            { "paused", target.isPaused(now) },
            { "cold", target.isCold(now) },
            { "rateLimit", target.rateLimit(now) ? Json(*target.rateLimit(now)) : Json() },
            { "inFlight", target.inFlight },
            { "load", target.load(now) },
            { "ejection", entry::toString(target.ejection) },
            { "failureShare", target.failureShare },
            { "slowness", target.slowness },
        };
    }

    Json dumpMember(const entry::Member& member, TimePoint now)
    {
        Json out {
            { "vm", member.record.process.vm },
            { "failureDomain", member.record.failureDomain },
            { "callerAddress", member.record.callerAddress },
            { "ready", member.ready },
            { "leaving", member.leaving },
        };
        if (member.lastSeenAt)
            out["heardMsAgo"] = ageMs(*member.lastSeenAt, now);
        return out;
    }

} // namespace

std::string dumpState(const entry::EntryState& state, TimePoint now)
{
    Json out {
        { "vm", state.members.self().process.vm },
        { "incarnation", state.members.self().process.incarnation },
        { "ready", isReady(state) },
        { "configurationVersion", state.policy.policy().version },
        { "configurationFresh", isPolicyFresh(state, now) },
        { "storeAway", state.isStoreUnavailable },
        { "coordinator",
            state.coordination.isCoordinator() ? state.members.self().process.vm
                                               : state.coordination.followedCoordinator() },
        { "requests", state.requests.size() },
        { "evacuated", state.targets.evacuated() },
        { "targets", Json::array() },
        { "members", Json::array() },
        { "regionSplits", Json::object() },
        { "regionSplitsByClass", Json::array() },
    };
    if (state.policyConfirmedAt)
        out["configurationConfirmedMsAgo"] = ageMs(*state.policyConfirmedAt, now);
    for (const auto& [id, target] : state.targets.all())
        out["targets"].push_back(dumpTarget(target, now));
    for (const auto& [vm, member] : state.members.others())
        out["members"].push_back(dumpMember(member, now));
    for (const auto& [service, split] : state.selection.splits()) {
        out["regionSplits"][service] = split.fractions;
        for (const auto& [slack, fractions] : split.fractionsByClass) {
            const auto objective = entry::leastObjectiveMs(slack);
            out["regionSplitsByClass"].push_back({ { "service", service },
                { "leastObjectiveMs", objective ? Json(*objective) : Json() }, { "regions", fractions } });
        }
    }
    return out.dump(1);
}

} // namespace arbutuscrank::node
