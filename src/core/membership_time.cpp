#include "membership_detail.hpp"

#include <algorithm>

namespace arbutuscrank::membership {

using namespace detail;

namespace {

    /// Ticks come every 50 ms; after a longer gap than this the process was paused.
    constexpr Duration pauseGap = std::chrono::milliseconds(500);
    /// Time in which messages buffered during a pause are taken in.
    constexpr Duration drainTime = std::chrono::milliseconds(500);
    /// Time between looks at the silence of members.
    constexpr Duration checkInterval = std::chrono::milliseconds(100);
    /// Silence beyond the interval after which a member that is still trusted is probed. At 20% loss two heartbeats in
    /// a row are lost every 25 s on each link; the probes before the suspicion keep these losses from leading to one.
    constexpr Duration probeAfter = std::chrono::milliseconds(500);
    constexpr Duration probeInterval = std::chrono::milliseconds(300);
    /// Time for which a silent peer of another region is not chosen again while there are others.
    constexpr Duration avoidTime = std::chrono::seconds(30);
    /// Time for which a member that is gone is still known.
    constexpr Duration goneRetention = std::chrono::minutes(10);
    /// Time between heartbeats to one member that name this daemon's place and some members. The others leave them out,
    /// because places and names are most of the bytes of a heartbeat (bench/membership_bench.cpp).
    constexpr Duration introductionInterval = std::chrono::seconds(30);
    /// Age of the VM list from which on every heartbeat names some members.
    constexpr Duration listOutOfReach = std::chrono::seconds(10);
    /// Members named in each heartbeat while the VM list is out of reach, and in an introduction otherwise.
    constexpr std::size_t relayedPerHeartbeat = 3;
    constexpr std::size_t relayedPerIntroduction = 1;
    /// Members named in a heartbeat to a daemon that is not trusted yet, which may know nobody.
    constexpr std::size_t relayedToNewcomer = 16;

    void notePause(State& state, TimePoint now)
    {
        auto& own = state.membership;
        if (own.lastTick && now - *own.lastTick > pauseGap) {
            own.pausedFrom = own.lastTick;
            own.drainUntil = now + drainTime;
            if (now - *own.lastTick > suspicionTime)
                own.graceFrom = now;
        }
        own.lastTick = now;
    }

    TimePoint silentFrom(const MembershipState& own, const MemberRecord& record)
    {
        return std::max(
            { own.graceFrom, record.lastHeard.value_or(TimePoint {}), record.peerSince.value_or(TimePoint {}) });
    }

    Duration intervalOf(const State& state)
    {
        return state.membership.members.size() > largeFleet ? largeFleetHeartbeatInterval : heartbeatInterval;
    }

    void checkSilence(State& state, Context& context)
    {
        auto& own = state.membership;
        for (auto& [vm, record] : own.members) {
            const bool remotePeer = record.peerSince && record.member.region != state.self.region;
            if (record.suspected && !remotePeer)
                continue;
            const auto from = record.suspected || !record.lastHeard ? silentFrom(own, record)
                                                                    : std::max(own.graceFrom, *record.lastHeard);
            const auto silence = context.now - from;
            if (silence > suspicionTime) {
                if (remotePeer && context.now >= record.avoidUntil) {
                    record.avoidUntil = context.now + avoidTime;
                    own.rolesChanged = true;
                }
                if (!record.suspected) {
                    record.suspected = true;
                    record.recoveryFrom.reset();
                    record.heartbeatsSinceSuspicion = 0;
                    record.introducedAt = {}; // it may have restarted and know nobody
                    report(state, record, MemberChange::Suspected, context);
                }
            } else if (!record.suspected && silence > intervalOf(state) + probeAfter
                && context.now - record.lastSent >= probeInterval) {
                sendHeartbeat(state, record, context);
            }
        }
    }

    void removeGone(State& state, TimePoint now)
    {
        std::erase_if(state.membership.members, [now](const auto& it) {
            const auto& since = it.second.goneSince;
            return it.second.gone && since && now - *since > goneRetention;
        });
    }

    /// Names some members that this daemon hears, from a random place on, so that all are named in turn.
    std::vector<Member> someHeardMembers(State& state, std::size_t limit, std::string_view except)
    {
        std::vector<Member> members;
        const auto& all = state.membership.members;
        if (all.empty() || limit == 0)
            return members;
        auto it = std::next(all.begin(), static_cast<std::ptrdiff_t>(state.random.below(all.size())));
        for (std::size_t n = 0; n < all.size() && members.size() < limit; ++n) {
            if (!it->second.suspected && it->first != except)
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

    /// Adds what this receiver needs: place and members for a newcomer and now and then for all.
    void complete(State& state, MemberRecord& record, Heartbeat& message, TimePoint now)
    {
        auto& own = state.membership;
        const bool newcomer = record.introducedAt == TimePoint {};
        const bool introduce = newcomer || now - record.introducedAt >= introductionInterval;
        record.lastSent = now;
        if (introduce) {
            message.sender = selfMember(state);
            record.introducedAt = now;
        }
        std::size_t relayed = own.listFailing || now - own.listReadAt > listOutOfReach + detail::timeToNextList(state)
            ? relayedPerHeartbeat
            : 0;
        if (introduce)
            relayed = std::max(relayed, newcomer ? relayedToNewcomer : relayedPerIntroduction);
        message.relayedMembers = someHeardMembers(state, relayed, record.member.process.vm);
    }

} // namespace

TimePoint evidenceTime(const State& state, TimePoint now) noexcept
{
    const auto& own = state.membership;
    if (own.lastTick && now - *own.lastTick > pauseGap)
        return *own.lastTick;
    if (own.pausedFrom && now < own.drainUntil)
        return *own.pausedFrom;
    return now;
}

void detail::sendHeartbeat(State& state, MemberRecord& record, Context& context)
{
    auto message = makeHeartbeat(state, context.now);
    complete(state, record, message, context.now);
    context.send(record.member.process.vm, std::move(message));
}

void detail::sendHeartbeats(State& state, Context& context)
{
    auto& own = state.membership;
    own.nextHeartbeat = context.now + intervalOf(state);
    const auto message = makeHeartbeat(state, context.now);
    for (auto& [vm, record] : own.members) {
        // A peer may have this daemon in its peer set without being in ours; it needs to hear this daemon all the same.
        const bool heard = record.lastHeard && context.now - *record.lastHeard <= suspicionTime;
        if (!record.peerSince && !heard)
            continue;
        auto copy = message;
        complete(state, record, copy, context.now);
        context.send(vm, std::move(copy));
    }
}

void onTick(State& state, Context& context)
{
    auto& own = state.membership;
    notePause(state, context.now);
    askForList(state, context);
    if (context.now >= own.nextCheck) {
        own.nextCheck = context.now + checkInterval;
        checkSilence(state, context);
    }
    const bool due = context.now >= own.nextHeartbeat;
    if (due) {
        removeGone(state, context.now);
        own.rolesChanged = true; // members that were avoided may be chosen again
    }
    refreshRoles(state, context);
    if (due)
        sendHeartbeats(state, context);
}

void onConfigurationApplied(State& /*state*/, const ConfigurationApplied& /*event*/, Context& /*context*/) { }

void startLeaving(State& state, Context& context)
{
    if (state.membership.selfLeaving)
        return;
    state.membership.selfLeaving = true;
    state.membership.rolesChanged = true;
    sendHeartbeats(state, context);
    refreshRoles(state, context);
}

} // namespace arbutuscrank::membership
