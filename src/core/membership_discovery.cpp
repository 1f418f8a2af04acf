#include "membership_updates.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace arbutuscrank::membership {

using namespace detail;

namespace {

    /// A VM list call without an answer for longer than this is abandoned.
    constexpr Duration listCallTimeout = std::chrono::seconds(10);
    /// The answer to an abandoned call may still arrive for this long. It carries nothing that tells it apart from the
    /// answer to a later call.
    constexpr Duration lateAnswerWindow = std::chrono::seconds(60);
    /// Interval between VM list calls of a daemon that knows no members.
    constexpr Duration baseListCallInterval = std::chrono::seconds(2);
    /// Added to the interval for each known member, so that a fleet of any size makes fewer than 125 VM list calls a
    /// second, and one of 1,800 daemons about 110.
    constexpr Duration listCallIntervalPerMember = std::chrono::milliseconds(8);

    /// A heartbeat that arrives less than this after the previous one is taken for a probe. Probes and heartbeats of
    /// suspected members are answered at once, subject to \ref minHeartbeatGap.
    constexpr Duration maxProbeGap = std::chrono::milliseconds(700);
    /// Minimum time between an immediate answer and the previous heartbeat to the same member.
    constexpr Duration minHeartbeatGap = std::chrono::milliseconds(200);

    /// Applies what another daemon's heartbeat says about a third daemon. It can name a newer incarnation, but does not
    /// make a member trusted.
    void applyRelayedMember(State& state, const Member& member, Context& context)
    {
        const auto& process = member.process;
        if (process.vm.empty() || process.vm == state.self.process.vm || process.incarnation == 0)
            return;
        auto& record = findOrAddRecord(state, process.vm);
        if (process.incarnation < record.member.process.incarnation
            || process.incarnation <= record.lastGoneIncarnation)
            return;
        const bool isNewer = process.incarnation > record.member.process.incarnation;
        if (isNewer || !record.lastHeartbeatAt)
            updateLocation(state, record, member);
        if (isNewer)
            resetForIncarnation(state, record, process.incarnation, context);
        record.unlistedSince.reset();
        record.announcedLeaving = record.announcedLeaving || member.leaving;
        updateLeaving(state, record, context);
    }

    /// Records a heartbeat that arrived directly from the member, with the earliest time at which it may have been
    /// sent.
    void recordHeartbeat(State& state, MemberRecord& record, Context& context)
    {
        const auto at = earliestSendTime(state, context.now);
        const bool isBuffered = context.now - at > suspicionTime;
        const bool isFirst = !record.lastHeartbeatAt;
        record.lastHeartbeatAt = std::max(record.lastHeartbeatAt.value_or(at), at);
        record.unlistedSince.reset();
        record.avoidUntil = {};
        if (!record.member.region.empty()) {
            auto& region = state.membership.lastHeartbeatByRegion[record.member.region];
            region = std::max(region, at);
        }
        if (!record.suspected || isBuffered)
            return;
        if (!record.recoveryStartedAt || at - *record.recoveryStartedAt > suspicionTime) {
            record.recoveryStartedAt = at;
            record.heartbeatsSinceSuspicion = 0;
        }
        ++record.heartbeatsSinceSuspicion;
        if (!isFirst && record.heartbeatsSinceSuspicion < heartbeatsToEndSuspicion)
            return;
        record.suspected = false;
        record.recoveryStartedAt.reset();
        record.heartbeatsSinceSuspicion = 0;
        publishChange(state, record, MemberChange::Trusted, context);
    }

    /// Applies one entry of the VM list.
    void applyListEntry(State& state, const VmListEntry& entry, Context& context)
    {
        const bool wasKnown = state.membership.members.contains(entry.vm);
        auto& record = findOrAddRecord(state, entry.vm);
        record.unlistedSince.reset();
        // Addresses from heartbeats are newer than those of the list, unless the VM was replaced and no heartbeat of
        // its new process has arrived yet.
        const bool isSilent = !record.lastHeartbeatAt || context.now - *record.lastHeartbeatAt > maxVmListLag;
        if (record.suspected && isSilent) {
            updateLocation(state, record,
                { { entry.vm, 0 }, entry.region, entry.failureDomain, entry.callerAddress, entry.peerAddress, false });
        }
        record.listedLeaving = entry.leaving;
        if (!wasKnown)
            publishChange(state, record, MemberChange::Joined, context);
        else if (record.gone) // a VM of that name is back; its first heartbeat will name the incarnation
            resetForIncarnation(state, record, 0, context);
        updateLeaving(state, record, context);
    }

    /// Marks a member as gone once the VM list has left it out for longer than the staleness bound of the list.
    void applyMissingFromList(State& state, MemberRecord& record, TimePoint callSentAt, Context& context)
    {
        if (record.gone)
            return;
        if (!record.unlistedSince) {
            record.unlistedSince = context.now;
            return;
        }
        // Compares with the time of the call, because the answer may have been in transit for some time.
        if (callSentAt - *record.unlistedSince <= maxVmListLag)
            return;
        record.gone = true;
        record.suspected = true;
        record.goneSince = context.now;
        record.lastGoneIncarnation = std::max(record.lastGoneIncarnation, record.member.process.incarnation);
        publishChange(state, record, MemberChange::Gone, context);
    }

} // namespace

Duration detail::listCallInterval(const State& state) noexcept
{
    return baseListCallInterval
        + listCallIntervalPerMember * static_cast<std::int64_t>(state.membership.members.size());
}

// --- VM list ---------------------------------------------------------------------------------------------------------

void onVmListRead(State& state, const VmListRead& event, Context& context)
{
    auto& own = state.membership;
    const auto callSentAt = own.listCallSentAt;
    const bool isMatched
        = own.isListCallOpen && context.now >= own.lateListAnswerUntil && context.now - callSentAt <= listCallTimeout;
    own.isListCallOpen = false;
    own.isListFailing = false;
    own.lastListAt = context.now;
    own.nextListCallAt = context.now + detail::listCallInterval(state);
    std::set<std::string_view> listed;
    std::size_t namelessEntries = 0;
    for (const auto& it : event.vms) {
        if (it.vm.empty()) {
            ++namelessEntries;
            continue;
        }
        listed.insert(it.vm);
        if (it.vm != state.self.process.vm)
            applyListEntry(state, it, context);
    }
    if (namelessEntries != std::exchange(own.namelessListEntries, namelessEntries))
        context.log(LogEvent::StoreEntryRefused,
            "collection=vms entries=" + std::to_string(namelessEntries) + ": an entry must have a field \"vm\"");
    // This VM is running, so a list without it is incomplete or too old to prove that any other VM is gone.
    if (isMatched && listed.contains(state.self.process.vm)) {
        for (auto& [vm, record] : own.members) {
            if (!listed.contains(vm))
                applyMissingFromList(state, record, callSentAt, context);
        }
    }
    refreshRoles(state, context);
}

void onVmListFailed(State& state, const VmListFailed& event, Context& context)
{
    auto& own = state.membership;
    own.isListCallOpen = false;
    own.nextListCallAt = context.now + detail::listCallInterval(state);
    if (!own.isListFailing)
        context.log(LogEvent::VmListFailed, "detail=" + event.detail);
    own.isListFailing = true;
}

void detail::callForListIfDue(State& state, Context& context)
{
    auto& own = state.membership;
    if (own.isListCallOpen && context.now - own.listCallSentAt > listCallTimeout) {
        own.lateListAnswerUntil = context.now + lateAnswerWindow;
        onVmListFailed(state, { "the VM list call got no answer within 10 s" }, context);
    }
    if (own.isListCallOpen || context.now < own.nextListCallAt)
        return;
    own.isListCallOpen = true;
    own.listCallSentAt = context.now;
    context.effect(ListVms {});
}

// --- Peers -----------------------------------------------------------------------------------------------------------

void onHeartbeat(State& state, const Heartbeat& message, Context& context)
{
    const auto& sender = message.sender;
    if (sender.process.vm.empty() || sender.process.vm == state.self.process.vm || sender.process.incarnation == 0)
        return;
    auto& record = findOrAddRecord(state, sender.process.vm);
    const auto knownIncarnation = record.member.process.incarnation;
    if (sender.process.incarnation < knownIncarnation || sender.process.incarnation <= record.lastGoneIncarnation)
        return;
    updateLocation(state, record, sender);
    if (sender.process.incarnation > knownIncarnation) {
        if (knownIncarnation > record.lastGoneIncarnation) {
            record.lastGoneIncarnation = sender.process.incarnation - 1;
            publishChange(state, record, MemberChange::Gone, context);
        }
        resetForIncarnation(state, record, sender.process.incarnation, context);
    }
    record.lastGoneIncarnation = std::max(record.lastGoneIncarnation, sender.process.incarnation - 1);
    const bool isProbe = record.lastHeartbeatAt && context.now - *record.lastHeartbeatAt < maxProbeGap;
    const bool needsAnswer = record.suspected || isProbe;
    recordHeartbeat(state, record, context);
    record.announcedLeaving = record.announcedLeaving || sender.leaving;
    updateLeaving(state, record, context);
    for (const auto& it : message.relayedMembers)
        applyRelayedMember(state, it, context);
    refreshRoles(state, context);
    if (needsAnswer && context.now - record.lastHeartbeatSentAt >= minHeartbeatGap)
        sendHeartbeat(state, record, context);
}

void onPeerConnectionLost(State& state, const PeerConnectionLost& event, Context& context)
{
    // A session can break while its peer keeps running, so a lost session does not make the peer suspected; only
    // missing heartbeats do. The transport keeps reconnecting. Only the loss of a session to a trusted member is
    // logged.
    if (isTrusted(state, event.vm))
        context.log(LogEvent::PeerConnectionLost, "vm=" + event.vm);
}

void registerProcess(State& state, const ProcessId& process, Context& context)
{
    if (process.vm.empty() || process.vm == state.self.process.vm || process.incarnation == 0)
        return;
    auto& record = findOrAddRecord(state, process.vm);
    if (process.incarnation <= record.member.process.incarnation || process.incarnation <= record.lastGoneIncarnation)
        return;
    resetForIncarnation(state, record, process.incarnation, context);
    refreshRoles(state, context);
}

} // namespace arbutuscrank::membership
