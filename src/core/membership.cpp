#include <arbutuscrank/core/state.hpp>

#include <algorithm>

#include <xxhash.h>

namespace arbutuscrank::membership {

const MemberRecord* find(const State& state, std::string_view vm)
{
    const auto it = state.membership.members.find(vm);
    return it == state.membership.members.end() ? nullptr : &it->second;
}

bool isTrusted(const State& state, std::string_view vm)
{
    if (vm == state.self.process.vm)
        return true;
    const auto* record = find(state, vm);
    return record != nullptr && !record->suspected;
}

bool isGone(const State& state, const ProcessId& process)
{
    const auto* record = find(state, process.vm);
    return record != nullptr && record->member.process.incarnation == process.incarnation && record->gone;
}

Member selfMember(const State& state)
{
    const auto& self = state.self;
    return { self.process, self.region, self.failureDomain, self.callerAddress, self.peerAddress,
        state.membership.selfLeaving };
}

std::vector<Member> activeMembers(const State& state, std::string_view region)
{
    std::vector<Member> members;
    if (!state.membership.selfLeaving && (region.empty() || region == state.self.region))
        members.push_back(selfMember(state));
    for (const auto& [vm, record] : state.membership.members) {
        if (!record.suspected && !record.member.leaving && (region.empty() || region == record.member.region))
            members.push_back(record.member);
    }
    std::sort(
        members.begin(), members.end(), [](const Member& a, const Member& b) { return a.process.vm < b.process.vm; });
    return members;
}

bool isRelay(const State& /*state*/, std::string_view /*vm*/) { return true; }

bool hearsMajorityOfRegions(const State& /*state*/, TimePoint /*now*/) { return true; }

double heardShareOfRegion(const State& /*state*/) { return 1.0; }

std::vector<VmId> rendezvousOrder(std::string_view key, std::span<const VmId> vms)
{
    const auto seed = XXH3_64bits(key.data(), key.size());
    std::vector<std::pair<std::uint64_t, VmId>> weights;
    weights.reserve(vms.size());
    for (const auto& it : vms)
        weights.emplace_back(XXH3_64bits_withSeed(it.data(), it.size(), seed), it);
    std::sort(weights.begin(), weights.end(), std::greater<>());
    std::vector<VmId> order;
    order.reserve(weights.size());
    for (auto& [weight, vm] : weights)
        order.push_back(std::move(vm));
    return order;
}

void onTick(State& /*state*/, Context& /*context*/) { }
void onVmListRead(State& /*state*/, const VmListRead& /*event*/, Context& /*context*/) { }
void onVmListFailed(State& /*state*/, const VmListFailed& /*event*/, Context& /*context*/) { }
void onHeartbeat(State& /*state*/, const Heartbeat& /*message*/, Context& /*context*/) { }
void onPeerConnectionLost(State& /*state*/, const PeerConnectionLost& /*event*/, Context& /*context*/) { }
void onConfigurationApplied(State& /*state*/, const ConfigurationApplied& /*event*/, Context& /*context*/) { }

void startLeaving(State& state, Context& /*context*/) { state.membership.selfLeaving = true; }

} // namespace arbutuscrank::membership
