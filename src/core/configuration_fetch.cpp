#include "manifest_update.hpp"

#include <arbutuscrank/config/codec.hpp>
#include <arbutuscrank/core/manifest_codec.hpp>

#include <algorithm>

namespace arbutuscrank::configuration {

using namespace detail;

namespace {

    /// Largest number of parts requested at a time.
    constexpr std::size_t maxPartsPerRequest = 16;
    /// Largest total size of the parts in a reply that holds more than one: half of the largest message size. A single
    /// part may be larger, up to \ref maxPartBytes.
    constexpr std::size_t maxReplyBytes = 2U << 20U;
    /// Times after which a peer or the store has not answered and the next source is tried.
    constexpr Duration peerTimeout = std::chrono::seconds(1);
    constexpr Duration storeTimeout = std::chrono::milliseconds(2500);
    /// Range of the exponential backoff between sources after \ref sourcesWithoutBackoff sources have failed.
    constexpr Duration minBackoff = std::chrono::milliseconds(200);
    constexpr Duration maxBackoff = std::chrono::seconds(2);
    /// Number of sources tried before the backoff starts. The first is the sender of the manifest; after it, a peer and
    /// the store take turns. The store is also tried in a peer's turn if no other peer has the version.
    constexpr std::uint32_t sourcesWithoutBackoff = 3;

    /// Hashes of up to \ref maxPartsPerRequest parts that the pending manifest needs and that are not fetched yet.
    std::vector<std::string> missingParts(const ConfigurationState& own)
    {
        std::vector<std::string> missing;
        for (const auto& [name, hash] : own.pending->parts) {
            if (missing.size() == maxPartsPerRequest)
                break;
            if (!own.pendingParts.contains(hash) && std::find(missing.begin(), missing.end(), hash) == missing.end())
                missing.push_back(hash);
        }
        return missing;
    }

    /// Chooses a random peer that reported the pending version or a later one, from the own region if possible.
    /// \param previousPeer peer that was asked last and is not chosen again
    /// \returns the peer; empty, which stands for the store, if there is none
    VmId choosePeer(State& state, const VmId& previousPeer)
    {
        std::vector<VmId> ownRegionPeers;
        std::vector<VmId> otherRegionPeers;
        for (const auto& [vm, version] : state.configuration.peerVersions) {
            if (version < state.configuration.pending->version || vm == previousPeer
                || !membership::isTrusted(state, vm))
                continue;
            const auto* record = membership::find(state, vm);
            const bool isOwnRegion = record != nullptr && record->member.region == state.self.region;
            (isOwnRegion ? ownRegionPeers : otherRegionPeers).push_back(vm);
        }
        const auto& peers = ownRegionPeers.empty() ? otherRegionPeers : ownRegionPeers;
        return peers.empty() ? VmId {} : peers[state.random.below(peers.size())];
    }

    /// Requests missing parts from the current source, or applies the manifest if none is missing.
    void requestMissingParts(State& state, Context& context)
    {
        auto& own = state.configuration;
        auto& fetch = *own.fetch;
        const auto missing = missingParts(own);
        fetch.openReads.clear();
        fetch.partsAtRequest = own.pendingParts.size();
        fetch.isAwaitingAnswer = !missing.empty();
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
            fetch.openReads.insert(token);
            context.effect(ReadObject { token, partKey(it) });
        }
    }

    /// Makes another source the current one. Sets the deadline at which it is asked, with a backoff if every kind of
    /// source has failed.
    void switchToNextSource(State& state, Context& context)
    {
        auto& own = state.configuration;
        auto& fetch = *own.fetch;
        context.log(LogEvent::PartMissing,
            "version=" + std::to_string(own.pending->version) + " part=" + missingParts(own).front()
                + " source=" + (fetch.peer.empty() ? "store" : fetch.peer));
        ++fetch.triedSources;
        fetch.peer = fetch.triedSources % 2 == 1 ? choosePeer(state, fetch.peer) : VmId {};
        fetch.openReads.clear();
        fetch.isAwaitingAnswer = false;
        fetch.deadline = context.now;
        if (fetch.triedSources >= sourcesWithoutBackoff) {
            const auto doublings = std::min(fetch.triedSources - sourcesWithoutBackoff, 5U);
            fetch.deadline += withJitter(state, std::min(maxBackoff, minBackoff * (1U << doublings)));
        }
    }

    /// Continues after an answer or a timeout: with the same source if it supplied a new part, else with the next.
    void continueFetch(State& state, bool hasNewParts, Context& context)
    {
        auto& own = state.configuration;
        if (!missingParts(own).empty() && !hasNewParts) {
            switchToNextSource(state, context);
            if (own.fetch->deadline > context.now)
                return;
        }
        requestMissingParts(state, context);
    }

} // namespace

void detail::startFetch(State& state, const VmId& from, Context& context)
{
    auto& own = state.configuration;
    own.fetch = PartFetch {};
    own.fetch->peer = from;
    requestMissingParts(state, context);
}

void detail::onFetchTick(State& state, Context& context)
{
    auto& own = state.configuration;
    if (!own.fetch || !own.pending || context.now < own.fetch->deadline)
        return;
    if (own.fetch->isAwaitingAnswer)
        continueFetch(state, false, context);
    else
        requestMissingParts(state, context);
}

bool detail::addPart(State& state, const std::string& hash, const std::string& text)
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
    if (own.fetch && own.fetch->openReads.erase(token) > 0 && own.fetch->openReads.empty()) {
        continueFetch(state, own.pendingParts.size() > own.fetch->partsAtRequest, context);
        return;
    }
    tryApply(state, context);
}

void onPartReply(State& state, const ProcessId& from, const PartReply& message, Context& context)
{
    auto& own = state.configuration;
    if (!own.pending)
        return;
    bool hasNewParts = false;
    for (const auto& [hash, text] : message.parts)
        hasNewParts = addPart(state, hash, text) || hasNewParts;
    if (own.fetch && own.fetch->isAwaitingAnswer && own.fetch->peer == from.vm)
        continueFetch(state, hasNewParts, context);
    else if (hasNewParts && missingParts(own).empty())
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
        if (bytes > 0 && bytes + it->second.size() > maxReplyBytes)
            break;
        bytes += it->second.size();
        reply.parts.emplace(hash, it->second);
    }
    context.send(from.vm, std::move(reply));
}

} // namespace arbutuscrank::configuration
