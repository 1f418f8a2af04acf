#include "membership_updates.hpp"

#include <algorithm>

namespace arbutuscrank::membership {

using namespace detail;

namespace {

    /// Ticks come every 50 ms. A gap between two ticks longer than this means that the process was paused.
    constexpr Duration pauseThreshold = std::chrono::milliseconds(500);
    /// Time after a pause in which arriving messages may have been buffered during the pause.
    constexpr Duration bufferedMessageWindow = std::chrono::milliseconds(500);
    /// Interval at which members are checked for missing heartbeats.
    constexpr Duration suspicionCheckInterval = std::chrono::milliseconds(100);
    /// A trusted member whose heartbeat is overdue by more than this is probed. At 20% loss, two heartbeats in a row
    /// are lost every 25 s on each link; without the probes such losses would make the member suspected.
    constexpr Duration probeDelay = std::chrono::milliseconds(500);
    /// Minimum time between a probe and the previous heartbeat to the same member.
    constexpr Duration probeInterval = std::chrono::milliseconds(300);
    /// A silent peer of another region is avoided for this long if the region has other members.
    constexpr Duration avoidDuration = std::chrono::seconds(30);
    /// The record of a member that is gone is kept for this long.
    constexpr Duration goneRetention = std::chrono::minutes(10);
    /// Interval of full heartbeats to one member. Only these carry this daemon's location, addresses and some relayed
    /// members, because such texts are most of the bytes of a heartbeat (bench/membership_bench.cpp).
    constexpr Duration fullHeartbeatInterval = std::chrono::seconds(30);
    /// Once the last VM list is older than this plus one call interval, every heartbeat carries some members.
    constexpr Duration maxListAge = std::chrono::seconds(10);
    /// Members in each heartbeat while the VM list is stale or its calls fail.
    constexpr std::size_t relayedMembersPerHeartbeat = 3;
    /// Members in each full heartbeat otherwise.
    constexpr std::size_t relayedMembersPerFullHeartbeat = 1;
    /// Members in the first full heartbeat to a member that has joined or was suspected, and may know no other member.
    constexpr std::size_t relayedMembersInFirstFullHeartbeat = 16;

    void detectPause(State& state, TimePoint now)
    {
        auto& own = state.membership;
        if (own.lastTickAt && now - *own.lastTickAt > pauseThreshold) {
            own.pausedFrom = own.lastTickAt;
            own.bufferedMessagesUntil = now + bufferedMessageWindow;
            if (now - *own.lastTickAt > suspicionTime)
                own.silenceIgnoredBefore = now;
        }
        own.lastTickAt = now;
    }

    /// Start of a member's current silence: its last heartbeat, its entry into the peer set, or the end of a pause of
    /// this process, whichever is latest.
    TimePoint silenceStart(const MembershipState& own, const MemberRecord& record)
    {
        return std::max({ own.silenceIgnoredBefore, record.lastHeartbeatAt.value_or(TimePoint {}),
            record.peerSince.value_or(TimePoint {}) });
    }

    Duration intervalBetweenHeartbeats(const State& state)
    {
        return state.membership.members.size() > largeFleetMembers ? largeFleetHeartbeatInterval : heartbeatInterval;
    }

    /// Suspects members without heartbeats, probes those whose heartbeat is overdue, and avoids silent peers of other
    /// regions.
    void checkHeartbeats(State& state, Context& context)
    {
        auto& own = state.membership;
        for (auto& [vm, record] : own.members) {
            const bool isRemotePeer = record.peerSince && record.member.region != state.self.region;
            if (record.suspected && !isRemotePeer)
                continue;
            const auto silentSince = record.suspected || !record.lastHeartbeatAt
                ? silenceStart(own, record)
                : std::max(own.silenceIgnoredBefore, *record.lastHeartbeatAt);
            const auto silence = context.now - silentSince;
            if (silence > suspicionTime) {
                if (isRemotePeer && context.now >= record.avoidUntil) {
                    record.avoidUntil = context.now + avoidDuration;
                    own.areRolesOutdated = true;
                }
                if (!record.suspected) {
                    record.suspected = true;
                    record.recoveryStartedAt.reset();
                    record.heartbeatsSinceSuspicion = 0;
                    record.lastFullHeartbeatSentAt = {}; // it may have restarted and know no other member
                    publishChange(state, record, MemberChange::Suspected, context);
                }
            } else if (!record.suspected && silence > intervalBetweenHeartbeats(state) + probeDelay
                && context.now - record.lastHeartbeatSentAt >= probeInterval) {
                sendHeartbeat(state, record, context);
            }
        }
    }

    void removeGoneMembers(State& state, TimePoint now)
    {
        std::erase_if(state.membership.members, [now](const auto& it) {
            const auto& since = it.second.goneSince;
            return it.second.gone && since && now - *since > goneRetention;
        });
    }

    /// Up to \p limit trusted members in the order of their names from a random one on, so that every member gets its
    /// turn.
    std::vector<Member> sampleTrustedMembers(State& state, std::size_t limit, std::string_view excludedVm)
    {
        std::vector<Member> members;
        const auto& all = state.membership.members;
        if (all.empty() || limit == 0)
            return members;
        auto it = std::next(all.begin(), static_cast<std::ptrdiff_t>(state.random.below(all.size())));
        for (std::size_t n = 0; n < all.size() && members.size() < limit; ++n) {
            if (!it->second.suspected && it->first != excludedVm)
                members.push_back(it->second.member);
            if (++it == all.end())
                it = all.begin();
        }
        return members;
    }

    Heartbeat makeHeartbeat(const State& state, TimePoint now)
    {
        Heartbeat message;
        message.sender.process = state.self.process;
        message.sender.leaving = state.membership.selfLeaving;
        message.manifestVersion = configuration::version(state);
        message.stalenessMicros = configuration::storeStalenessMicros(state, now);
        message.loads = routing::ownLoads(state);
        return message;
    }

    /// Adds the fields that depend on the receiver: this daemon's location and addresses in a full heartbeat, and the
    /// relayed members.
    void addReceiverFields(State& state, MemberRecord& record, Heartbeat& message, TimePoint now)
    {
        auto& own = state.membership;
        const bool isFirstFull = record.lastFullHeartbeatSentAt == TimePoint {};
        const bool isFull = isFirstFull || now - record.lastFullHeartbeatSentAt >= fullHeartbeatInterval;
        record.lastHeartbeatSentAt = now;
        if (isFull) {
            message.sender = selfMember(state);
            record.lastFullHeartbeatSentAt = now;
        }
        std::size_t relayed = own.isListFailing || now - own.lastListAt > maxListAge + detail::listCallInterval(state)
            ? relayedMembersPerHeartbeat
            : 0;
        if (isFull)
            relayed
                = std::max(relayed, isFirstFull ? relayedMembersInFirstFullHeartbeat : relayedMembersPerFullHeartbeat);
        message.relayedMembers = sampleTrustedMembers(state, relayed, record.member.process.vm);
    }

} // namespace

TimePoint earliestSendTime(const State& state, TimePoint now) noexcept
{
    const auto& own = state.membership;
    if (own.lastTickAt && now - *own.lastTickAt > pauseThreshold)
        return *own.lastTickAt;
    if (own.pausedFrom && now < own.bufferedMessagesUntil)
        return *own.pausedFrom;
    return now;
}

void detail::sendHeartbeat(State& state, MemberRecord& record, Context& context)
{
    auto message = makeHeartbeat(state, context.now);
    addReceiverFields(state, record, message, context.now);
    context.send(record.member.process.vm, std::move(message));
}

void detail::sendHeartbeats(State& state, Context& context)
{
    auto& own = state.membership;
    own.nextHeartbeatAt = context.now + intervalBetweenHeartbeats(state);
    const auto message = makeHeartbeat(state, context.now);
    for (auto& [vm, record] : own.members) {
        // A member may have this daemon in its peer set without being a peer here, and then needs heartbeats too.
        const bool isHeard = record.lastHeartbeatAt && context.now - *record.lastHeartbeatAt <= suspicionTime;
        if (!record.peerSince && !isHeard)
            continue;
        auto copy = message;
        addReceiverFields(state, record, copy, context.now);
        context.send(vm, std::move(copy));
    }
}

void onTick(State& state, Context& context)
{
    auto& own = state.membership;
    detectPause(state, context.now);
    callForListIfDue(state, context);
    if (context.now >= own.nextSuspicionCheckAt) {
        own.nextSuspicionCheckAt = context.now + suspicionCheckInterval;
        checkHeartbeats(state, context);
    }
    const bool isHeartbeatDue = context.now >= own.nextHeartbeatAt;
    if (isHeartbeatDue) {
        removeGoneMembers(state, context.now);
        own.areRolesOutdated = true; // members that were avoided may be chosen again
    }
    refreshRoles(state, context);
    if (isHeartbeatDue)
        sendHeartbeats(state, context);
}

void onConfigurationApplied(State& /*state*/, const ConfigurationApplied& /*event*/, Context& /*context*/) { }

void startLeaving(State& state, Context& context)
{
    if (state.membership.selfLeaving)
        return;
    state.membership.selfLeaving = true;
    state.membership.areRolesOutdated = true;
    sendHeartbeats(state, context);
    refreshRoles(state, context);
}

} // namespace arbutuscrank::membership
