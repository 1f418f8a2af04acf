#include "membership_detail.hpp"

#include <algorithm>
#include <set>

namespace arbutuscrank::membership {

using namespace detail;

namespace {

    /// A list call without an answer for this long is given up.
    constexpr Duration listTimeout = std::chrono::seconds(10);
    /// An answer to a call that was given up may still come for this long; it cannot be told from the next answer.
    constexpr Duration lateAnswerTime = std::chrono::seconds(60);
    /// Pause between list calls.
    constexpr Duration listInterval = std::chrono::seconds(2);
    /// Added for each known member, so that the reads of the whole fleet stay near 110 a second however large it is.
    constexpr Duration listIntervalPerMember = std::chrono::milliseconds(8);

    /// A heartbeat that follows the one before within this time is a probe, which is answered at once.
    constexpr Duration probeGap = std::chrono::milliseconds(700);
    /// Shortest time between heartbeats to one member, probes and their answers included.
    constexpr Duration minHeartbeatGap = std::chrono::milliseconds(200);

    /// Takes what a daemon says about another one that it hears.
    void learnRelayed(State& state, const Member& member, Context& context)
    {
        const auto& process = member.process;
        if (process.vm.empty() || process.vm == state.self.process.vm || process.incarnation == 0)
            return;
        auto& record = ensure(state, process.vm);
        if (process.incarnation < record.member.process.incarnation || process.incarnation <= record.goneThrough)
            return;
        const bool newer = process.incarnation > record.member.process.incarnation;
        if (newer || !record.lastHeard)
            updatePlace(state, record, member);
        if (newer)
            startIncarnation(state, record, process.incarnation, context);
        record.missingSince.reset();
        record.announcedLeaving = record.announcedLeaving || member.leaving;
        updateLeaving(state, record, context);
    }

    /// Counts a directly received heartbeat, dated to when it was certainly sent.
    void countHeard(State& state, MemberRecord& record, Context& context)
    {
        const auto at = evidenceTime(state, context.now);
        const bool buffered = context.now - at > suspicionTime;
        const bool first = !record.lastHeard;
        record.lastHeard = std::max(record.lastHeard.value_or(at), at);
        record.missingSince.reset();
        record.avoidUntil = {};
        if (!record.member.region.empty()) {
            auto& region = state.membership.regionHeard[record.member.region];
            region = std::max(region, at);
        }
        if (!record.suspected || buffered)
            return;
        if (!record.recoveryFrom || at - *record.recoveryFrom > suspicionTime) {
            record.recoveryFrom = at;
            record.heartbeatsSinceSuspicion = 0;
        }
        ++record.heartbeatsSinceSuspicion;
        if (!first && record.heartbeatsSinceSuspicion < heartbeatsToTrust)
            return;
        record.suspected = false;
        record.recoveryFrom.reset();
        record.heartbeatsSinceSuspicion = 0;
        report(state, record, MemberChange::Trusted, context);
    }

    /// Takes one line of the VM list.
    void learnListed(State& state, const VmListEntry& entry, Context& context)
    {
        const bool known = state.membership.members.contains(entry.vm);
        auto& record = ensure(state, entry.vm);
        record.missingSince.reset();
        // Heartbeats are newer than the list, unless the VM was replaced and its new process was not heard yet.
        const bool silent = !record.lastHeard || context.now - *record.lastHeard > vmListLag;
        if (record.suspected && silent) {
            updatePlace(state, record,
                { { entry.vm, 0 }, entry.region, entry.failureDomain, entry.callerAddress, entry.peerAddress, false });
        }
        record.listedLeaving = entry.leaving;
        if (!known)
            report(state, record, MemberChange::Joined, context);
        else if (record.gone) // a VM of that name is back; its incarnation is known once it is heard
            startIncarnation(state, record, 0, context);
        updateLeaving(state, record, context);
    }

    /// Takes the VM list's evidence that a VM is not there any more.
    void learnMissing(State& state, MemberRecord& record, TimePoint askedAt, Context& context)
    {
        if (record.gone)
            return;
        if (!record.missingSince) {
            record.missingSince = context.now;
            return;
        }
        // Counts from when the list was asked for, because an answer can have been under way for some time.
        if (askedAt - *record.missingSince <= vmListLag)
            return;
        record.gone = true;
        record.suspected = true;
        record.goneSince = context.now;
        record.goneThrough = std::max(record.goneThrough, record.member.process.incarnation);
        report(state, record, MemberChange::Gone, context);
    }

} // namespace

Duration detail::timeToNextList(const State& state) noexcept
{
    return listInterval + listIntervalPerMember * static_cast<std::int64_t>(state.membership.members.size());
}

// --- VM list ---------------------------------------------------------------------------------------------------------

void onVmListRead(State& state, const VmListRead& event, Context& context)
{
    auto& own = state.membership;
    const auto askedAt = own.listSentAt;
    const bool paired = own.listOpen && context.now >= own.listUnpairedUntil && context.now - askedAt <= listTimeout;
    own.listOpen = false;
    own.listFailing = false;
    own.listReadAt = context.now;
    own.nextList = context.now + detail::timeToNextList(state);
    std::set<std::string_view> listed;
    for (const auto& it : event.vms) {
        if (it.vm.empty())
            continue;
        listed.insert(it.vm);
        if (it.vm != state.self.process.vm)
            learnListed(state, it, context);
    }
    // This VM runs. A list without it is incomplete or too old to prove that any other VM is gone.
    if (paired && listed.contains(state.self.process.vm)) {
        for (auto& [vm, record] : own.members) {
            if (!listed.contains(vm))
                learnMissing(state, record, askedAt, context);
        }
    }
    refreshRoles(state, context);
}

void onVmListFailed(State& state, const VmListFailed& event, Context& context)
{
    auto& own = state.membership;
    own.listOpen = false;
    own.nextList = context.now + detail::timeToNextList(state);
    if (!own.listFailing)
        context.log(LogEvent::VmListFailed, "detail=" + event.detail);
    own.listFailing = true;
}

void detail::askForList(State& state, Context& context)
{
    auto& own = state.membership;
    if (own.listOpen && context.now - own.listSentAt > listTimeout) {
        own.listUnpairedUntil = context.now + lateAnswerTime;
        onVmListFailed(state, { "no answer" }, context);
    }
    if (own.listOpen || context.now < own.nextList)
        return;
    own.listOpen = true;
    own.listSentAt = context.now;
    context.effect(ListVms {});
}

// --- Peers -----------------------------------------------------------------------------------------------------------

void onHeartbeat(State& state, const Heartbeat& message, Context& context)
{
    const auto& sender = message.sender;
    if (sender.process.vm.empty() || sender.process.vm == state.self.process.vm || sender.process.incarnation == 0)
        return;
    auto& record = ensure(state, sender.process.vm);
    const auto known = record.member.process.incarnation;
    if (sender.process.incarnation < known || sender.process.incarnation <= record.goneThrough)
        return;
    updatePlace(state, record, sender);
    if (sender.process.incarnation > known) {
        if (known > record.goneThrough) {
            record.goneThrough = sender.process.incarnation - 1;
            report(state, record, MemberChange::Gone, context);
        }
        startIncarnation(state, record, sender.process.incarnation, context);
    }
    record.goneThrough = std::max(record.goneThrough, sender.process.incarnation - 1);
    const bool probe = record.lastHeard && context.now - *record.lastHeard < probeGap;
    const bool answer = record.suspected || probe;
    countHeard(state, record, context);
    record.announcedLeaving = record.announcedLeaving || sender.leaving;
    updateLeaving(state, record, context);
    for (const auto& it : message.relayedMembers)
        learnRelayed(state, it, context);
    refreshRoles(state, context);
    if (answer && context.now - record.lastSent >= minHeartbeatGap)
        sendHeartbeat(state, record, context);
}

void onPeerConnectionLost(State& state, const PeerConnectionLost& event, Context& context)
{
    // A session can break while its peer runs on, so that only silence leads to suspicion. The first loss is logged;
    // the transport goes on trying.
    if (isTrusted(state, event.vm))
        context.log(LogEvent::PeerConnectionLost, "vm=" + event.vm);
}

void noteProcess(State& state, const ProcessId& process, Context& context)
{
    if (process.vm.empty() || process.vm == state.self.process.vm || process.incarnation == 0)
        return;
    auto& record = ensure(state, process.vm);
    if (process.incarnation <= record.member.process.incarnation || process.incarnation <= record.goneThrough)
        return;
    startIncarnation(state, record, process.incarnation, context);
    refreshRoles(state, context);
}

} // namespace arbutuscrank::membership
