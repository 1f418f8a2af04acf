#include "membership_detail.hpp"

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
    return record != nullptr && process.incarnation != 0 && process.incarnation <= record->goneThrough;
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
    bool selfAdded = false;
    for (const auto& [vm, record] : state.membership.members) {
        if (!selfAdded && state.self.process.vm < vm) {
            addSelf();
            selfAdded = true;
        }
        if (!record.suspected && !record.member.leaving && (region.empty() || region == record.member.region))
            members.push_back(record.member);
    }
    if (!selfAdded)
        addSelf();
    return members;
}

bool isRelay(const State& state, std::string_view vm) { return state.membership.relays.contains(vm); }

bool hearsMajorityOfRegions(const State& state, TimePoint now)
{
    const auto* active = configuration::active(state);
    if (active == nullptr)
        return false;
    const auto& regions = active->document().regions;
    const auto& regionHeard = state.membership.regionHeard;
    const auto heard = std::count_if(regions.begin(), regions.end(), [&](const Region& region) {
        const auto it = regionHeard.find(region.name);
        return region.name == state.self.region || (it != regionHeard.end() && now - it->second <= suspicionTime);
    });
    return 2 * static_cast<std::size_t>(heard) > regions.size();
}

double heardShareOfRegion(const State& state)
{
    std::size_t known = 0;
    std::size_t heard = 0;
    for (const auto& [vm, record] : state.membership.members) {
        if (record.member.region != state.self.region || record.gone || record.member.leaving)
            continue;
        ++known;
        heard += record.suspected ? 0 : 1;
    }
    return known == 0 ? 1.0 : static_cast<double>(heard) / static_cast<double>(known);
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

void report(State& state, const MemberRecord& record, MemberChange change, Context& context)
{
    state.membership.rolesChanged = true;
    const auto& process = record.member.process;
    context.log(logEventOf(change),
        "vm=" + process.vm + " incarnation=" + std::to_string(process.incarnation) + " region=" + record.member.region);
    context.followUp(MemberChanged { process, change });
}

MemberRecord& ensure(State& state, const VmId& vm)
{
    const auto [it, added] = state.membership.members.try_emplace(vm);
    if (added) {
        it->second.member.process.vm = vm;
        state.membership.rolesChanged = true;
    }
    return it->second;
}

void startIncarnation(State& state, MemberRecord& record, Incarnation incarnation, Context& context)
{
    record.member.process.incarnation = incarnation;
    record.lastHeard.reset();
    record.missingSince.reset();
    record.goneSince.reset();
    record.recoveryFrom.reset();
    record.heartbeatsSinceSuspicion = 0;
    record.suspected = true;
    record.gone = false;
    record.announcedLeaving = false;
    record.avoidUntil = {};
    record.introducedAt = {};
    record.member.leaving = record.listedLeaving;
    report(state, record, MemberChange::Joined, context);
}

void updateLeaving(State& state, MemberRecord& record, Context& context)
{
    const bool leaving = record.announcedLeaving || record.listedLeaving;
    if (leaving == record.member.leaving)
        return;
    record.member.leaving = leaving;
    state.membership.rolesChanged = true;
    if (leaving)
        report(state, record, MemberChange::Leaving, context);
    else if (!record.suspected)
        report(state, record, MemberChange::Trusted, context);
}

void updatePlace(State& state, MemberRecord& record, const Member& member)
{
    const auto set = [&state](std::string& own, const std::string& given) {
        if (given.empty() || own == given)
            return;
        own = given;
        state.membership.rolesChanged = true;
    };
    set(record.member.region, member.region);
    if (!member.failureDomain.empty() && member.failureDomain != record.member.failureDomain)
        record.relayWeight = 0;
    set(record.member.failureDomain, member.failureDomain);
    set(record.member.callerAddress, member.callerAddress);
    set(record.member.peerAddress, member.peerAddress);
}

} // namespace arbutuscrank::membership::detail
