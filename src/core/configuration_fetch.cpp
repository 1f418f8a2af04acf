#include "configuration_detail.hpp"

#include <arbutuscrank/config/codec.hpp>
#include <arbutuscrank/core/manifest_codec.hpp>

#include <algorithm>

namespace arbutuscrank::configuration {

using namespace detail;

namespace {

    /// Most parts asked for at a time.
    constexpr std::size_t partsPerRequest = 16;
    /// Most bytes of parts in one reply. Half of the largest message, so that one part more still fits.
    constexpr std::size_t replyBytes = 2U << 20U;
    /// Time for a peer, and for the store, to answer before the next source is tried.
    constexpr Duration peerTimeout = std::chrono::seconds(1);
    constexpr Duration storeTimeout = std::chrono::milliseconds(2500);
    /// First and longest pause once every kind of source was tried.
    constexpr Duration firstPause = std::chrono::milliseconds(200);
    constexpr Duration longestPause = std::chrono::seconds(2);
    /// Sources tried without a pause: the one that offered the manifest, another peer, and the store.
    constexpr std::uint32_t sourcesWithoutPause = 3;

    std::vector<std::string> missingParts(const ConfigurationState& own)
    {
        std::vector<std::string> missing;
        for (const auto& [name, hash] : own.pending->parts) {
            if (missing.size() == partsPerRequest)
                break;
            if (!own.pendingParts.contains(hash) && std::find(missing.begin(), missing.end(), hash) == missing.end())
                missing.push_back(hash);
        }
        return missing;
    }

    /// A random peer that showed the pending version or a later one; of the own region if there is one.
    VmId choosePeer(State& state, const VmId& last)
    {
        std::vector<VmId> near;
        std::vector<VmId> far;
        for (const auto& [vm, version] : state.configuration.peerVersions) {
            if (version < state.configuration.pending->version || vm == last || !membership::isTrusted(state, vm))
                continue;
            const auto* record = membership::find(state, vm);
            const bool ownRegion = record != nullptr && record->member.region == state.self.region;
            (ownRegion ? near : far).push_back(vm);
        }
        const auto& peers = near.empty() ? far : near;
        return peers.empty() ? VmId {} : peers[state.random.below(peers.size())];
    }

    /// Asks the current source for missing parts; applies the manifest if none is missing.
    void ask(State& state, Context& context)
    {
        auto& own = state.configuration;
        auto& fetch = *own.fetch;
        const auto missing = missingParts(own);
        fetch.reads.clear();
        fetch.partsBefore = own.pendingParts.size();
        fetch.waiting = !missing.empty();
        if (missing.empty()) {
            own.fetch.reset();
            tryApply(state, context);
            return;
        }
        if (!fetch.peer.empty()) {
            fetch.deadline = context.now + peerTimeout;
            context.send(fetch.peer, PartRequest { missing });
            return;
        }
        fetch.deadline = context.now + storeTimeout;
        for (const auto& it : missing) {
            const auto token = nextToken(state);
            fetch.reads.insert(token);
            context.effect(ReadObject { token, partKey(it) });
        }
    }

    /// Turns to the next source, after a pause if every kind of source was tried.
    void turnToNext(State& state, Context& context)
    {
        auto& own = state.configuration;
        auto& fetch = *own.fetch;
        context.log(LogEvent::PartMissing,
            "version=" + std::to_string(own.pending->version) + " part=" + missingParts(own).front()
                + " source=" + (fetch.peer.empty() ? "store" : fetch.peer));
        ++fetch.attempts;
        fetch.peer = fetch.attempts % 2 == 1 ? choosePeer(state, fetch.peer) : VmId {};
        fetch.reads.clear();
        fetch.waiting = false;
        fetch.deadline = context.now;
        if (fetch.attempts >= sourcesWithoutPause) {
            const auto doublings = std::min(fetch.attempts - sourcesWithoutPause, 5U);
            fetch.deadline += withJitter(state, std::min(longestPause, firstPause * (1U << doublings)));
        }
    }

    /// Goes on after an answer: with the same source if it gave something, else with the next.
    void goOn(State& state, bool progress, Context& context)
    {
        auto& own = state.configuration;
        if (!missingParts(own).empty() && !progress) {
            turnToNext(state, context);
            if (own.fetch->deadline > context.now)
                return;
        }
        ask(state, context);
    }

} // namespace

void detail::startFetch(State& state, const VmId& from, Context& context)
{
    auto& own = state.configuration;
    own.fetch = PartFetch {};
    own.fetch->peer = from;
    ask(state, context);
}

void detail::onFetchTick(State& state, Context& context)
{
    auto& own = state.configuration;
    if (!own.fetch || !own.pending || context.now < own.fetch->deadline)
        return;
    if (own.fetch->waiting)
        goOn(state, false, context);
    else
        ask(state, context);
}

bool detail::takePart(State& state, const std::string& hash, const std::string& text)
{
    auto& own = state.configuration;
    if (!own.pending || own.pendingParts.contains(hash) || text.size() > maxPartBytes)
        return false;
    const bool needed = std::any_of(
        own.pending->parts.begin(), own.pending->parts.end(), [&](const auto& it) { return it.second == hash; });
    if (!needed || sha256Hex(text) != hash)
        return false;
    if (own.pendingBytes + text.size() > maxDocumentBytes)
        return false;
    own.pendingBytes += text.size();
    own.pendingParts.emplace(hash, text);
    return true;
}

void detail::onPartRead(State& state, StoreToken token, Context& context)
{
    auto& own = state.configuration;
    if (!own.pending)
        return;
    if (own.fetch && own.fetch->reads.erase(token) > 0 && own.fetch->reads.empty()) {
        goOn(state, own.pendingParts.size() > own.fetch->partsBefore, context);
        return;
    }
    tryApply(state, context);
}

void onPartReply(State& state, const ProcessId& from, const PartReply& message, Context& context)
{
    auto& own = state.configuration;
    if (!own.pending)
        return;
    bool progress = false;
    for (const auto& [hash, text] : message.parts)
        progress = takePart(state, hash, text) || progress;
    if (own.fetch && own.fetch->waiting && own.fetch->peer == from.vm)
        goOn(state, progress, context);
    else if (progress && missingParts(own).empty())
        tryApply(state, context);
}

void onPartRequest(State& state, const ProcessId& from, const PartRequest& message, Context& context)
{
    auto& own = state.configuration;
    const bool wantsManifest = message.hashes.empty() || (message.hashes.size() == 1 && message.hashes[0].empty());
    if (wantsManifest) {
        if (own.active)
            context.send(from.vm, ManifestPush { own.manifest, storeStalenessMicros(state, context.now) });
        return;
    }
    PartReply reply;
    std::size_t bytes = 0;
    for (const auto& hash : message.hashes) {
        auto it = own.parts.find(hash);
        if (it == own.parts.end()) {
            it = own.pendingParts.find(hash);
            if (it == own.pendingParts.end())
                continue;
        }
        if (bytes > 0 && bytes + it->second.size() > replyBytes)
            break;
        bytes += it->second.size();
        reply.parts.emplace(hash, it->second);
    }
    context.send(from.vm, std::move(reply));
}

} // namespace arbutuscrank::configuration
