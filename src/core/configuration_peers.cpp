#include "manifest_update.hpp"

#include <algorithm>

namespace arbutuscrank::configuration {

using namespace detail;

namespace {

    /// Time between a heartbeat that reports a newer version and the request for it. A push usually arrives earlier.
    constexpr Duration manifestRequestDelay = std::chrono::milliseconds(300);
    /// Time between manifest requests while a peer reports a newer version that this daemon does not have.
    constexpr Duration manifestRequestInterval = std::chrono::seconds(1);
    /// Time after which a relay pushes a new version to the relays that have not reported it in a heartbeat. All relays
    /// watch the store, so most have it by then; without this delay, 104 relays would send 10,000 pushes per change.
    constexpr Duration relayPushDelay = std::chrono::milliseconds(1200);

    ManifestVersion peerVersion(const State& state, std::string_view vm)
    {
        const auto it = state.configuration.peerVersions.find(vm);
        return it == state.configuration.peerVersions.end() ? 0 : it->second;
    }

    /// Highest version that is active, pending or refused and so need not be requested from a peer.
    ManifestVersion highestHandledVersion(const State& state)
    {
        const auto& own = state.configuration;
        return std::max({ version(state), own.pending ? own.pending->version : ManifestVersion { 0 },
            own.refused ? own.refused->version : ManifestVersion { 0 } });
    }

    void pushManifest(State& state, const VmId& vm, Context& context)
    {
        context.send(vm, ManifestPush { state.configuration.manifest, storeStalenessMicros(state, context.now) });
    }

    /// Whether a process is the latest known incarnation of its VM. Delayed messages of earlier ones are out of date.
    bool isCurrentIncarnation(const State& state, const ProcessId& process)
    {
        const auto* record = membership::find(state, process.vm);
        return record != nullptr && !record->gone && record->member.process.incarnation == process.incarnation;
    }

    void updatePeerVersion(
        State& state, const ProcessId& process, ManifestVersion version, std::int64_t stalenessMicros, Context& context)
    {
        auto& own = state.configuration;
        own.peerVersions[process.vm] = version;
        if (stalenessMicros >= 0)
            addConfirmation(
                state, version, membership::earliestSendTime(state, context.now) - Duration(stalenessMicros), false);
    }

    /// Requests the manifest of a random member of the own failure domain and of one in another, at most once per
    /// half of \ref manifestRequestInterval and until each has answered.
    void requestManifestsAtStartUp(State& state, Context& context)
    {
        auto& start = state.configuration.startUp;
        if (context.now < start.nextRequestAt)
            return;
        std::vector<const VmId*> ownDomain;
        std::vector<const VmId*> otherDomain;
        for (const auto& [vm, record] : state.membership.members) {
            if (record.gone || !(record.peerSince || record.lastHeartbeatAt))
                continue;
            (record.member.failureDomain == state.self.failureDomain ? ownDomain : otherDomain).push_back(&vm);
        }
        if (ownDomain.empty() && otherDomain.empty())
            return;
        start.nextRequestAt = context.now + manifestRequestInterval / 2;
        if (!ownDomain.empty() && !start.ownDomainAnswered)
            context.send(*ownDomain[state.random.below(ownDomain.size())], PartRequest {});
        if (!otherDomain.empty() && !start.otherDomainAnswered)
            context.send(*otherDomain[state.random.below(otherDomain.size())], PartRequest {});
    }

} // namespace

void detail::pushActiveManifest(State& state, Context& context)
{
    auto& own = state.configuration;
    if (!membership::isRelay(state, state.self.process.vm))
        return;
    for (const auto& [vm, record] : state.membership.members) {
        const bool isOwnDomain = record.member.failureDomain == state.self.failureDomain;
        if (isOwnDomain && !record.suspected && !record.member.leaving && peerVersion(state, vm) < version(state))
            pushManifest(state, vm, context);
    }
    own.relayPushAt = context.now + withJitter(state, relayPushDelay);
}

void detail::onPeersTick(State& state, Context& context)
{
    auto& own = state.configuration;
    if (!own.active)
        requestManifestsAtStartUp(state, context);
    if (own.relayPushAt && context.now >= *own.relayPushAt) {
        own.relayPushAt.reset();
        for (const auto& it : state.membership.peers) {
            if (membership::isRelay(state, it.vm) && peerVersion(state, it.vm) < version(state))
                pushManifest(state, it.vm, context);
        }
    }
    if (own.newestPeerVersion > highestHandledVersion(state) && context.now >= own.nextManifestRequestAt) {
        own.nextManifestRequestAt = context.now + withJitter(state, manifestRequestInterval);
        context.send(own.newestVersionPeer, PartRequest {});
    }
}

void onHeartbeat(State& state, const Heartbeat& message, Context& context)
{
    auto& own = state.configuration;
    const auto& sender = message.sender.process;
    if (!isCurrentIncarnation(state, sender))
        return;
    updatePeerVersion(state, sender, message.manifestVersion, message.stalenessMicros, context);
    if (message.manifestVersion <= highestHandledVersion(state))
        return;
    if (message.manifestVersion > own.newestPeerVersion) {
        own.newestPeerVersion = message.manifestVersion;
        own.nextManifestRequestAt = context.now + withJitter(state, manifestRequestDelay);
    }
    if (message.manifestVersion == own.newestPeerVersion)
        own.newestVersionPeer = sender.vm;
}

void onManifestPush(State& state, const ProcessId& from, const ManifestPush& message, Context& context)
{
    auto& own = state.configuration;
    if (const auto* record = membership::find(state, from.vm)) {
        const bool isOwnDomain = record->member.failureDomain == state.self.failureDomain;
        (isOwnDomain ? own.startUp.ownDomainAnswered : own.startUp.otherDomainAnswered) = true;
    }
    const bool isAccepted = acceptIfNewer(state, message.manifest, from.vm, context);
    if (isCurrentIncarnation(state, from)) {
        own.peerVersions[from.vm] = message.manifest.version;
        if (isAccepted)
            updatePeerVersion(state, from, message.manifest.version, message.stalenessMicros, context);
    }
    tryApply(state, context);
}

void onMemberChanged(State& state, const MemberChanged& event, Context& /*context*/)
{
    if (event.change == MemberChange::Gone || event.change == MemberChange::Joined)
        state.configuration.peerVersions.erase(event.process.vm);
}

} // namespace arbutuscrank::configuration
