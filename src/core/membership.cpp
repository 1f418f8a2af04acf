#include "membership_updates.hpp"

#include <algorithm>

namespace arbutuscrank::membership {

// --- Queries ---------------------------------------------------------------------------------------------------------

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
    if (process.vm == state.self.process.vm)
        return process.incarnation < state.self.process.incarnation;
    const auto* record = find(state, process.vm);
    return record != nullptr && process.incarnation != 0 && process.incarnation <= record->lastGoneIncarnation;
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
    const auto addSelf = [&] {
        if (!state.membership.selfLeaving && (region.empty() || region == state.self.region))
            members.push_back(selfMember(state));
    };
    bool isSelfAdded = false;
    for (const auto& [vm, record] : state.membership.members) {
        if (!isSelfAdded && state.self.process.vm < vm) {
            addSelf();
            isSelfAdded = true;
        }
        if (!record.suspected && !record.member.leaving && (region.empty() || region == record.member.region))
            members.push_back(record.member);
    }
    if (!isSelfAdded)
        addSelf();
    return members;
}

bool isRelay(const State& state, std::string_view vm) { return state.membership.relays.contains(vm); }

bool reachesMajorityOfRegions(const State& state, TimePoint now)
{
    const auto* active = configuration::active(state);
    if (active == nullptr)
        return false;
    const auto& regions = active->document().regions;
    const auto& lastHeartbeatByRegion = state.membership.lastHeartbeatByRegion;
    const auto reached = std::count_if(regions.begin(), regions.end(), [&](const Region& region) {
        const auto it = lastHeartbeatByRegion.find(region.name);
        return region.name == state.self.region
            || (it != lastHeartbeatByRegion.end() && now - it->second <= suspicionTime);
    });
    return 2 * static_cast<std::size_t>(reached) > regions.size();
}

double trustedShareOfRegion(const State& state)
{
    std::size_t total = 0;
    std::size_t trusted = 0;
    for (const auto& [vm, record] : state.membership.members) {
        if (record.member.region != state.self.region || record.gone || record.member.leaving)
            continue;
        ++total;
        trusted += record.suspected ? 0 : 1;
    }
    return total == 0 ? 1.0 : static_cast<double>(trusted) / static_cast<double>(total);
}

} // namespace arbutuscrank::membership

namespace arbutuscrank::membership::detail {

// --- Records ---------------------------------------------------------------------------------------------------------

namespace {

    LogEvent logEventOf(MemberChange change)
    {
        switch (change) {
        case MemberChange::Joined:
            return LogEvent::MemberJoined;
        case MemberChange::Trusted:
            return LogEvent::MemberTrusted;
        case MemberChange::Suspected:
            return LogEvent::MemberSuspected;
        case MemberChange::Leaving:
            return LogEvent::MemberLeaving;
        case MemberChange::Gone:
            break;
        }
        return LogEvent::MemberGone;
    }

} // namespace

void publishChange(State& state, const MemberRecord& record, MemberChange change, Context& context)
{
    state.membership.areRolesOutdated = true;
    const auto& process = record.member.process;
    context.log(logEventOf(change),
        "vm=" + process.vm + " incarnation=" + std::to_string(process.incarnation) + " region=" + record.member.region);
    context.followUp(MemberChanged { process, change });
}

MemberRecord& findOrAddRecord(State& state, const VmId& vm)
{
    const auto [it, added] = state.membership.members.try_emplace(vm);
    if (added) {
        it->second.member.process.vm = vm;
        state.membership.areRolesOutdated = true;
    }
    return it->second;
}

void resetForIncarnation(State& state, MemberRecord& record, Incarnation incarnation, Context& context)
{
    record.member.process.incarnation = incarnation;
    record.lastHeartbeatAt.reset();
    record.unlistedSince.reset();
    record.goneSince.reset();
    record.recoveryStartedAt.reset();
    record.heartbeatsSinceSuspicion = 0;
    record.suspected = true;
    record.gone = false;
    record.announcedLeaving = false;
    record.avoidUntil = {};
    record.lastFullHeartbeatSentAt = {};
    record.member.leaving = record.listedLeaving;
    publishChange(state, record, MemberChange::Joined, context);
}

void updateLeaving(State& state, MemberRecord& record, Context& context)
{
    const bool leaving = record.announcedLeaving || record.listedLeaving;
    if (leaving == record.member.leaving)
        return;
    record.member.leaving = leaving;
    state.membership.areRolesOutdated = true;
    if (leaving)
        publishChange(state, record, MemberChange::Leaving, context);
    else if (!record.suspected)
        publishChange(state, record, MemberChange::Trusted, context);
}

void updateLocation(State& state, MemberRecord& record, const Member& member)
{
    const auto set = [&state](std::string& field, const std::string& value) {
        if (value.empty() || field == value)
            return;
        field = value;
        state.membership.areRolesOutdated = true;
    };
    set(record.member.region, member.region);
    if (!member.failureDomain.empty() && member.failureDomain != record.member.failureDomain)
        record.relayWeight = 0;
    set(record.member.failureDomain, member.failureDomain);
    set(record.member.callerAddress, member.callerAddress);
    set(record.member.peerAddress, member.peerAddress);
}

} // namespace arbutuscrank::membership::detail
