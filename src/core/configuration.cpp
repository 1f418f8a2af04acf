#include "configuration_detail.hpp"

#include <arbutuscrank/config/codec.hpp>

#include <algorithm>

namespace arbutuscrank::configuration {

using namespace detail;

// --- Queries ---------------------------------------------------------------------------------------------------------

const ActiveDocument* active(const State& state) noexcept { return state.configuration.active.get(); }

ManifestVersion version(const State& state) noexcept
{
    return state.configuration.active ? state.configuration.active->version() : 0;
}

std::optional<Duration> staleness(const State& state, TimePoint now) noexcept
{
    if (!state.configuration.confirmedAt)
        return std::nullopt;
    return now - *state.configuration.confirmedAt;
}

std::int64_t storeStalenessMicros(const State& state, TimePoint now) noexcept
{
    return state.configuration.storeConfirmedAt ? (now - *state.configuration.storeConfirmedAt).count() : -1;
}

bool keyedRequestsAllowed(const State& state, TimePoint now)
{
    if (state.configuration.active == nullptr)
        return false;
    const auto age = staleness(state, now);
    return (age && *age <= stalenessBound) || membership::hearsMajorityOfRegions(state, now);
}

// --- Versions --------------------------------------------------------------------------------------------------------

namespace {

    bool isHash(std::string_view text)
    {
        return text.size() == 64 && std::all_of(text.begin(), text.end(), [](char c) {
            return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
        });
    }

    bool isWellFormed(const Manifest& manifest)
    {
        return manifest.version > 0 && !manifest.parts.empty() && manifest.parts.size() <= maxParts
            && std::all_of(
                manifest.parts.begin(), manifest.parts.end(), [](const auto& it) { return isHash(it.second); });
    }

    bool same(const Manifest& a, const Manifest& b)
    {
        return a.version == b.version && a.changeId == b.changeId && a.parts == b.parts;
    }

    std::string nameOf(const Manifest& manifest)
    {
        return "version=" + std::to_string(manifest.version) + " change=" + manifest.changeId;
    }

    /// The waiting rule of \ref startUpWait.
    bool mayApply(const State& state, TimePoint now)
    {
        const auto& own = state.configuration;
        const auto& start = own.startUp;
        return own.active != nullptr || (start.store && start.ownFailureDomain && start.otherFailureDomain)
            || (start.firstAnswer && now - *start.firstAnswer >= startUpWait);
    }

    void dropPending(ConfigurationState& own)
    {
        own.pending.reset();
        own.pendingParts.clear();
        own.pendingBytes = 0;
        own.pendingConfirmedAt.reset();
        own.pendingStoreConfirmedAt.reset();
        own.fetch.reset();
    }

    /// Parts of the active manifest and of the pending one before it that a new pending manifest uses as well.
    void keepUsedParts(ConfigurationState& own)
    {
        std::map<std::string, std::string> kept;
        own.pendingBytes = 0;
        for (const auto& [name, hash] : own.pending->parts) {
            if (kept.contains(hash))
                continue;
            const auto old = own.parts.find(hash);
            const auto early = own.pendingParts.find(hash);
            if (old != own.parts.end())
                kept.emplace(hash, old->second);
            else if (early != own.pendingParts.end())
                kept.insert(own.pendingParts.extract(early));
            else
                continue;
            own.pendingBytes += kept.at(hash).size();
        }
        own.pendingParts = std::move(kept);
    }

} // namespace

StoreToken detail::nextToken(State& state)
{
    return (++state.configuration.tokens << storeTopicBits) | static_cast<StoreToken>(StoreTopic::Configuration);
}

Duration detail::withJitter(State& state, Duration time)
{
    return time
        + Duration(static_cast<Duration::rep>(state.random.below(static_cast<std::uint64_t>(time.count() / 4) + 1)));
}

void detail::logFault(State& state, std::string fault, Context& context)
{
    if (fault == state.configuration.lastFault)
        return;
    context.log(LogEvent::ConfigurationRefused, fault);
    state.configuration.lastFault = std::move(fault);
}

void detail::addEvidence(State& state, ManifestVersion version, TimePoint at, bool firstHand)
{
    auto& own = state.configuration;
    const auto raise = [at](std::optional<TimePoint>& time) { time = std::max(time.value_or(at), at); };
    if (own.active && version == own.active->version()) {
        raise(own.confirmedAt);
        if (firstHand)
            raise(own.storeConfirmedAt);
    } else if (own.pending && version == own.pending->version) {
        raise(own.pendingConfirmedAt);
        if (firstHand)
            raise(own.pendingStoreConfirmedAt);
    }
}

bool detail::offerManifest(State& state, const Manifest& manifest, const VmId& from, Context& context)
{
    auto& own = state.configuration;
    const std::string source = " source=" + (from.empty() ? std::string("store") : from);
    if (!isWellFormed(manifest)) {
        logFault(state, "reason=malformed-manifest " + nameOf(manifest) + source, context);
        return false;
    }
    if (own.active && same(manifest, own.manifest))
        return true;
    if (manifest.version <= version(state)) {
        // An older answer of the store means that it lags or was restored; of a peer, only that it is behind.
        if (from.empty() || manifest.version == version(state)) {
            logFault(state,
                "reason=not-newer " + nameOf(manifest) + " inForce=" + std::to_string(version(state)) + source,
                context);
        }
        return false;
    }
    if (own.refused && same(manifest, *own.refused))
        return false;
    if (own.pending) {
        if (same(manifest, *own.pending))
            return true;
        // Of two manifests with one version, the store's is the one that was accepted.
        const bool replaces
            = manifest.version > own.pending->version || (manifest.version == own.pending->version && from.empty());
        if (!replaces)
            return false;
    }
    own.pending = manifest;
    own.pendingConfirmedAt.reset();
    own.pendingStoreConfirmedAt.reset();
    keepUsedParts(own);
    if (!own.active && !own.startUp.firstAnswer)
        own.startUp.firstAnswer = context.now;
    startFetch(state, from, context);
    return own.pending.has_value() || same(manifest, own.manifest);
}

void detail::tryApply(State& state, Context& context)
{
    auto& own = state.configuration;
    if (!own.pending || !mayApply(state, context.now))
        return;
    std::map<std::string, std::string> texts;
    for (const auto& [name, hash] : own.pending->parts) {
        const auto it = own.pendingParts.find(hash);
        if (it == own.pendingParts.end())
            return;
        texts[name] = it->second;
    }
    auto document = own.join(texts);
    if (!document) {
        logFault(state, "reason=invalid-document " + nameOf(*own.pending), context);
        own.refused = std::move(own.pending);
        dropPending(own);
        return;
    }
    own.manifest = std::move(*own.pending);
    own.parts = std::move(own.pendingParts);
    own.confirmedAt = own.pendingConfirmedAt;
    own.storeConfirmedAt = own.pendingStoreConfirmedAt;
    dropPending(own);
    own.active = std::make_shared<ActiveDocument>(own.manifest.version, std::move(*document));
    own.lastFault.clear();
    context.log(LogEvent::ConfigurationApplied, nameOf(own.manifest));
    context.followUp(ConfigurationApplied { own.manifest.version });
    pushApplied(state, context);
}

} // namespace arbutuscrank::configuration
