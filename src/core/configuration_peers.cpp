#include "configuration_detail.hpp"

#include <algorithm>

namespace arbutuscrank::configuration {

using namespace detail;

namespace {

    /// Time between a heartbeat that shows a newer version and the question for it. A push usually comes first.
    constexpr Duration askDelay = std::chrono::milliseconds(300);
    /// Time between questions while a newer version is known and not here.
    constexpr Duration askInterval = std::chrono::seconds(1);
    /// Time after which relays push to other relays that have not shown the version in a heartbeat. All relays watch
    /// the store, so that at 104 relays pushes without this wait would be 10,000 for each change.
    constexpr Duration relayPushDelay = std::chrono::milliseconds(1200);

    ManifestVersion peerVersion(const State& state, std::string_view vm)
    {
        const auto it = state.configuration.peerVersions.find(vm);
        return it == state.configuration.peerVersions.end() ? 0 : it->second;
    }

    /// Highest version that needs no question to a peer any more.
    ManifestVersion knownVersion(const State& state)
    {
        const auto& own = state.configuration;
        return std::max({ version(state), own.pending ? own.pending->version : ManifestVersion { 0 },
            own.refused ? own.refused->version : ManifestVersion { 0 } });
    }

    void push(State& state, const VmId& vm, Context& context)
    {
        context.send(vm, ManifestPush { state.configuration.manifest, storeStalenessMicros(state, context.now) });
    }

    /// Whether a sender is the newest incarnation known of its VM, so that what it says is not an echo of the past.
    bool isCurrent(const State& state, const ProcessId& process)
    {
        const auto* record = membership::find(state, process.vm);
        return record != nullptr && !record->gone && record->member.process.incarnation == process.incarnation;
    }

    void noteVersion(
        State& state, const ProcessId& process, ManifestVersion version, std::int64_t age, Context& context)
    {
        auto& own = state.configuration;
        own.peerVersions[process.vm] = version;
        if (age >= 0)
            addEvidence(state, version, membership::evidenceTime(state, context.now) - Duration(age), false);
    }

    /// Asks one random member of the own failure domain and one of another for their manifest.
    void askAtStartUp(State& state, Context& context)
    {
        auto& start = state.configuration.startUp;
        if (context.now < start.nextAsk)
            return;
        std::vector<const VmId*> same;
        std::vector<const VmId*> other;
        for (const auto& [vm, record] : state.membership.members) {
            if (record.gone || !(record.peerSince || record.lastHeard))
                continue;
            (record.member.failureDomain == state.self.failureDomain ? same : other).push_back(&vm);
        }
        if (same.empty() && other.empty())
            return;
        start.nextAsk = context.now + askInterval / 2;
        if (!same.empty() && !start.ownFailureDomain)
            context.send(*same[state.random.below(same.size())], PartRequest {});
        if (!other.empty() && !start.otherFailureDomain)
            context.send(*other[state.random.below(other.size())], PartRequest {});
    }

} // namespace

void detail::pushApplied(State& state, Context& context)
{
    auto& own = state.configuration;
    if (!membership::isRelay(state, state.self.process.vm))
        return;
    for (const auto& [vm, record] : state.membership.members) {
        const bool ownDomain = record.member.failureDomain == state.self.failureDomain;
        if (ownDomain && !record.suspected && !record.member.leaving && peerVersion(state, vm) < version(state))
            push(state, vm, context);
    }
    own.relayPushAt = context.now + withJitter(state, relayPushDelay);
}

void detail::onPeersTick(State& state, Context& context)
{
    auto& own = state.configuration;
    if (!own.active)
        askAtStartUp(state, context);
    if (own.relayPushAt && context.now >= *own.relayPushAt) {
        own.relayPushAt.reset();
        for (const auto& it : state.membership.peers) {
            if (membership::isRelay(state, it.vm) && peerVersion(state, it.vm) < version(state))
                push(state, it.vm, context);
        }
    }
    if (own.newerVersion > knownVersion(state) && context.now >= own.askAt) {
        own.askAt = context.now + withJitter(state, askInterval);
        context.send(own.newerFrom, PartRequest {});
    }
}

void onHeartbeat(State& state, const Heartbeat& message, Context& context)
{
    auto& own = state.configuration;
    const auto& sender = message.sender.process;
    if (!isCurrent(state, sender))
        return;
    noteVersion(state, sender, message.manifestVersion, message.stalenessMicros, context);
    if (message.manifestVersion <= knownVersion(state))
        return;
    if (message.manifestVersion > own.newerVersion) {
        own.newerVersion = message.manifestVersion;
        own.askAt = context.now + withJitter(state, askDelay);
    }
    if (message.manifestVersion == own.newerVersion)
        own.newerFrom = sender.vm;
}

void onManifestPush(State& state, const ProcessId& from, const ManifestPush& message, Context& context)
{
    auto& own = state.configuration;
    if (const auto* record = membership::find(state, from.vm)) {
        const bool ownDomain = record->member.failureDomain == state.self.failureDomain;
        (ownDomain ? own.startUp.ownFailureDomain : own.startUp.otherFailureDomain) = true;
    }
    const bool taken = offerManifest(state, message.manifest, from.vm, context);
    if (isCurrent(state, from)) {
        own.peerVersions[from.vm] = message.manifest.version;
        if (taken)
            noteVersion(state, from, message.manifest.version, message.stalenessMicros, context);
    }
    tryApply(state, context);
}

void onMemberChanged(State& state, const MemberChanged& event, Context& /*context*/)
{
    if (event.change == MemberChange::Gone || event.change == MemberChange::Joined)
        state.configuration.peerVersions.erase(event.process.vm);
}

} // namespace arbutuscrank::configuration
