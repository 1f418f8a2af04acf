#include "daemon/state_dump.hpp"

#include <nlohmann/json.hpp>

namespace arbutuscrank {

namespace {

    using Json = nlohmann::json;

    Json ageInMs(const std::optional<TimePoint>& since, TimePoint now)
    {
        if (!since)
            return nullptr;
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - *since).count();
    }

    Json dumpSelf(const State& state)
    {
        const auto& self = state.self;
        return { { "vm", self.process.vm }, { "incarnation", self.process.incarnation }, { "region", self.region },
            { "failureDomain", self.failureDomain }, { "callerAddress", self.callerAddress },
            { "peerAddress", self.peerAddress }, { "leaving", state.membership.selfLeaving } };
    }

    Json dumpConfiguration(const State& state, TimePoint now)
    {
        const auto& configurationState = state.configuration;
        Json tree { { "version", configuration::version(state) }, { "changeId", configurationState.manifest.changeId },
            { "freshAgeMs", ageInMs(configurationState.confirmedAt, now) },
            { "keyedRequestsAllowed", configuration::keyedRequestsAllowed(state, now) } };
        tree["pendingVersion"] = configurationState.pending ? Json(configurationState.pending->version) : Json();
        return tree;
    }

    Json dumpMembers(const State& state, TimePoint now)
    {
        auto list = Json::array();
        for (const auto& [vm, record] : state.membership.members) {
            list.push_back({ { "vm", vm }, { "incarnation", record.member.process.incarnation },
                { "region", record.member.region }, { "failureDomain", record.member.failureDomain },
                { "heardMsAgo", ageInMs(record.lastHeartbeatAt, now) }, { "suspected", record.suspected },
                { "leaving", record.member.leaving }, { "gone", record.gone },
                { "relay", membership::isRelay(state, vm) } });
        }
        return list;
    }

    Json dumpRequests(const State& state)
    {
        std::map<std::string, std::uint64_t> phases;
        constexpr std::array phaseNames { "admission", "reservation", "region-quota", "queued", "running" };
        for (const auto& [id, request] : state.requests.requests)
            ++phases[phaseNames.at(static_cast<std::size_t>(request.phase))];
        return { { "inFlight", requests::inFlight(state) }, { "finished", state.requests.finished },
            { "byPhase", phases } };
    }

    Json dumpAccounts(const State& state, TimePoint now)
    {
        auto tree = Json::object();
        for (const auto& [name, traffic] : state.proof.accounts) {
            tree[name]
                = { { "inFlight", traffic.inFlight }, { "lastRequestMsAgo", ageInMs(traffic.lastRequestAt, now) },
                      { "lastAnswerMsAgo", ageInMs(traffic.lastAnswerAt, now) },
                      { "refusingForMs", ageInMs(traffic.refusingSince, now) },
                      { "quotaHolders", quota::holders(state, quota::accountKey(name)) } };
        }
        return tree;
    }

    Json dumpLoads(const State& state)
    {
        auto tree = Json::object();
        for (const auto& it : routing::ownLoads(state))
            tree[it.service] = { { "slots", it.slots }, { "inFlight", it.inFlight }, { "queued", it.queued } };
        return tree;
    }

    Json dumpTargets(const State& state)
    {
        auto list = Json::array();
        for (const auto& it : state.routing.targets) {
            list.push_back({ { "target", it.name }, { "service", it.service }, { "owner", it.owner },
                { "ownedHere", it.owned }, { "slots", it.slots }, { "slotsUsable", it.allowedSlots },
                { "inFlight", it.inFlight }, { "formerOwners", it.formerOwners.size() },
                { "ejected", it.health.isEjected() }, { "drained", it.drained } });
        }
        return list;
    }

} // namespace

std::string dumpState(const State& state, TimePoint now)
{
    const Json tree { { "self", dumpSelf(state) }, { "configuration", dumpConfiguration(state, now) },
        { "members", dumpMembers(state, now) }, { "requests", dumpRequests(state) },
        { "accounts", dumpAccounts(state, now) }, { "ownLoads", dumpLoads(state) }, { "targets", dumpTargets(state) },
        { "stopping", draining::isStopping(state) } };
    return tree.dump(2, ' ', false, Json::error_handler_t::replace);
}

} // namespace arbutuscrank
