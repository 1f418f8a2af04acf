#include "manifest_update.hpp"

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
    return (age && *age <= stalenessBound) || membership::reachesMajorityOfRegions(state, now);
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

    bool isSameManifest(const Manifest& a, const Manifest& b)
    {
        return a.version == b.version && a.changeId == b.changeId && a.parts == b.parts;
    }

    std::string logFields(const Manifest& manifest)
    {
        return "version=" + std::to_string(manifest.version) + " change=" + manifest.changeId;
    }

    /// Whether a manifest may be applied now. A daemon without a configuration first waits for its sources (see
    /// \ref startUpWait).
    bool canApply(const State& state, TimePoint now)
    {
        const auto& own = state.configuration;
        const auto& start = own.startUp;
        return own.active != nullptr || (start.storeCallEnded && start.ownDomainAnswered && start.otherDomainAnswered)
            || (start.firstManifestAt && now - *start.firstManifestAt >= startUpWait);
    }

    void clearPending(ConfigurationState& own)
    {
        own.pending.reset();
        own.pendingParts.clear();
        own.pendingBytes = 0;
        own.pendingConfirmedAt.reset();
        own.pendingStoreConfirmedAt.reset();
        own.fetch.reset();
    }

    /// Copies the parts that a new pending manifest shares with the active one and the previous pending one.
    void reuseKnownParts(ConfigurationState& own)
    {
        std::map<std::string, std::string> reused;
        own.pendingBytes = 0;
        for (const auto& [name, hash] : own.pending->parts) {
            if (reused.contains(hash))
                continue;
            const auto activePart = own.parts.find(hash);
            const auto pendingPart = own.pendingParts.find(hash);
            if (activePart != own.parts.end())
                reused.emplace(hash, activePart->second);
            else if (pendingPart != own.pendingParts.end())
                reused.insert(own.pendingParts.extract(pendingPart));
            else
                continue;
            own.pendingBytes += reused.at(hash).size();
        }
        own.pendingParts = std::move(reused);
    }

} // namespace

StoreToken detail::nextToken(State& state)
{
    return (++state.configuration.lastTokenNumber << storeTopicBits)
        | static_cast<StoreToken>(StoreTopic::Configuration);
}

Duration detail::withJitter(State& state, Duration time)
{
    return time
        + Duration(static_cast<Duration::rep>(state.random.below(static_cast<std::uint64_t>(time.count() / 4) + 1)));
}

void detail::logFault(State& state, std::string fault, Context& context)
{
    if (fault == state.configuration.lastLoggedFault)
        return;
    context.log(LogEvent::ConfigurationRefused, fault);
    state.configuration.lastLoggedFault = std::move(fault);
}

void detail::addConfirmation(State& state, ManifestVersion version, TimePoint at, bool fromStore)
{
    auto& own = state.configuration;
    const auto advance = [at](std::optional<TimePoint>& time) { time = std::max(time.value_or(at), at); };
    if (own.active && version == own.active->version()) {
        advance(own.confirmedAt);
        if (fromStore)
            advance(own.storeConfirmedAt);
    } else if (own.pending && version == own.pending->version) {
        advance(own.pendingConfirmedAt);
        if (fromStore)
            advance(own.pendingStoreConfirmedAt);
    }
}

bool detail::acceptIfNewer(State& state, const Manifest& manifest, const VmId& from, Context& context)
{
    auto& own = state.configuration;
    const std::string source = " source=" + (from.empty() ? std::string("store") : from);
    if (!isWellFormed(manifest)) {
        logFault(state, "reason=malformed-manifest " + logFields(manifest) + source, context);
        return false;
    }
    if (own.active && isSameManifest(manifest, own.manifest))
        return true;
    if (manifest.version <= version(state)) {
        // An older manifest in the store means that the store lags or was restored from a backup. An older manifest of
        // a peer only means that the peer lags.
        if (from.empty() || manifest.version == version(state)) {
            logFault(state,
                "reason=not-newer " + logFields(manifest) + " inForce=" + std::to_string(version(state)) + source,
                context);
        }
        return false;
    }
    if (own.refused && isSameManifest(manifest, *own.refused))
        return false;
    if (own.pending) {
        if (isSameManifest(manifest, *own.pending))
            return true;
        // If two manifests have the same version, the one in the store is authoritative.
        const bool replaces
            = manifest.version > own.pending->version || (manifest.version == own.pending->version && from.empty());
        if (!replaces)
            return false;
    }
    own.pending = manifest;
    own.pendingConfirmedAt.reset();
    own.pendingStoreConfirmedAt.reset();
    reuseKnownParts(own);
    if (!own.active && !own.startUp.firstManifestAt)
        own.startUp.firstManifestAt = context.now;
    startFetch(state, from, context);
    return own.pending.has_value() || isSameManifest(manifest, own.manifest);
}

void detail::tryApply(State& state, Context& context)
{
    auto& own = state.configuration;
    if (!own.pending || !canApply(state, context.now))
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
        logFault(state, "reason=invalid-document " + logFields(*own.pending), context);
        own.refused = std::move(own.pending);
        clearPending(own);
        return;
    }
    own.manifest = std::move(*own.pending);
    own.parts = std::move(own.pendingParts);
    own.confirmedAt = own.pendingConfirmedAt;
    own.storeConfirmedAt = own.pendingStoreConfirmedAt;
    clearPending(own);
    own.active = std::make_shared<ActiveDocument>(own.manifest.version, std::move(*document));
    own.lastLoggedFault.clear();
    context.log(LogEvent::ConfigurationApplied, logFields(own.manifest));
    context.followUp(ConfigurationApplied { own.manifest.version });
    pushActiveManifest(state, context);
}

} // namespace arbutuscrank::configuration
