#include "configuration_detail.hpp"

#include <arbutuscrank/core/manifest_codec.hpp>

#include <algorithm>

namespace arbutuscrank::configuration {

using namespace detail;

namespace {

    /// A call for the manifest without an answer for this long (and, for a watch, \ref watchWait) is given up.
    constexpr Duration callTimeout = std::chrono::seconds(3);
    /// First and longest time between calls that fail.
    constexpr Duration firstRetry = std::chrono::milliseconds(250);
    constexpr Duration longestRetry = std::chrono::seconds(2);
    /// Time between calls that are answered at once without telling anything new.
    constexpr Duration idleCallGap = std::chrono::milliseconds(500);
    /// Age of the evidence from which on a daemon that is no relay reads the store itself. Evidence of relays that work
    /// is at most 3 s old on arrival and comes each second.
    constexpr Duration readAfter = std::chrono::seconds(5);
    /// First and longest time between such reads. At 1,800 daemons, 30 s makes 60 reads/s while the store is down.
    constexpr Duration firstRead = std::chrono::seconds(2);
    constexpr Duration longestRead = std::chrono::seconds(30);

    /// An end of a watch later than this after \ref watchWait can be a time-out of the shell and is no evidence.
    constexpr Duration lateWatch = std::chrono::milliseconds(800);
    /// Watches between reads. A read each 20 s bounds the time for which a store restored from a backup looks fresh.
    constexpr std::uint32_t watchesPerRead = 10;

    Duration backOff(Duration first, Duration longest, std::uint32_t failures)
    {
        return std::min(longest, first * (1U << std::min(failures, 10U)));
    }

    void callEnded(State& state, bool answered, std::string_view detail, Context& context)
    {
        auto& own = state.configuration;
        own.manifestCall.reset();
        if (answered && own.callFailures > 0)
            context.log(LogEvent::StoreRecovered, "key=" + std::string(manifestKey));
        if (answered) {
            own.callFailures = 0;
            return;
        }
        if (own.callFailures == 0)
            context.log(LogEvent::StoreFailed, "key=" + std::string(manifestKey) + " detail=" + std::string(detail));
        const bool relay = membership::isRelay(state, state.self.process.vm) || !own.active;
        own.nextCall = context.now
            + withJitter(state,
                relay ? backOff(firstRetry, longestRetry, own.callFailures)
                      : backOff(firstRead, longestRead, own.callFailures));
        ++own.callFailures;
    }

    void call(State& state, bool watch, Context& context)
    {
        auto& own = state.configuration;
        const auto token = nextToken(state);
        own.manifestCall = ManifestCall { token, watch, context.now };
        own.watchesSinceRead = watch ? own.watchesSinceRead + 1 : 0;
        if (watch)
            context.effect(WatchObject { token, std::string(manifestKey), own.manifestObjectVersion });
        else
            context.effect(ReadObject { token, std::string(manifestKey) });
    }

    void logStaleness(State& state, Context& context)
    {
        auto& own = state.configuration;
        if (!own.active)
            return;
        const auto age = staleness(state, context.now);
        const bool stale = !age || *age > stalenessBound;
        if (stale == own.stale)
            return;
        own.stale = stale;
        context.log(stale ? LogEvent::ConfigurationStale : LogEvent::ConfigurationFresh,
            "version=" + std::to_string(version(state)));
    }

    /// Takes a manifest as the store gave it.
    void onManifest(State& state, const ObjectRead& event, std::optional<TimePoint> sentAt, Context& context)
    {
        auto& own = state.configuration;
        own.manifestObjectVersion = event.version;
        own.readVersion = 0;
        if (event.version == 0) {
            if (own.active)
                logFault(state, "reason=manifest-missing source=store", context);
            return;
        }
        const auto manifest = manifestFromJson(event.value);
        if (!manifest) {
            logFault(state, "reason=unreadable-manifest objectVersion=" + std::to_string(event.version), context);
            return;
        }
        const auto before = std::max(version(state), own.pending ? own.pending->version : 0);
        if (!offerManifest(state, *manifest, {}, context))
            return;
        own.readVersion = manifest->version;
        if (sentAt)
            addEvidence(state, manifest->version, *sentAt, true);
        if (manifest->version > before)
            own.nextCall = context.now;
    }

} // namespace

void onTick(State& state, Context& context)
{
    auto& own = state.configuration;
    if (own.manifestCall) {
        const auto limit = callTimeout + (own.manifestCall->watch ? watchWait : Duration {});
        if (context.now - own.manifestCall->sentAt > limit)
            callEnded(state, false, "no answer", context);
    }
    if (!own.manifestCall && context.now >= own.nextCall) {
        const auto age = staleness(state, context.now);
        if (!own.active && !own.pending)
            call(state, false, context);
        else if (membership::isRelay(state, state.self.process.vm))
            call(state, own.watchesSinceRead < watchesPerRead, context);
        else if (own.active && (!age || *age > readAfter))
            call(state, false, context);
    }
    onFetchTick(state, context);
    onPeersTick(state, context);
    tryApply(state, context);
    logStaleness(state, context);
}

void onObjectRead(State& state, const ObjectRead& event, Context& context)
{
    auto& own = state.configuration;
    if (event.key != manifestKey) {
        takePart(state, event.key.substr(std::min(event.key.size(), partKey("").size())), event.value);
        onPartRead(state, event.token, context);
        return;
    }
    std::optional<TimePoint> sentAt;
    if (own.manifestCall && own.manifestCall->token == event.token) {
        sentAt = own.manifestCall->sentAt;
        own.nextCall = context.now + idleCallGap;
        callEnded(state, true, {}, context);
    }
    own.startUp.store = true;
    onManifest(state, event, sentAt, context);
    tryApply(state, context);
}

void onObjectWritten(State& state, const ObjectWritten& event, Context& context)
{
    if (event.key != manifestKey)
        return;
    context.log(LogEvent::ManifestWritten, "objectVersion=" + std::to_string(event.version));
    // A call that is open may have been answered before the write; its answer still counts when it comes.
    call(state, false, context);
}

void onStoreCallFailed(State& state, const StoreCallFailed& event, Context& context)
{
    auto& own = state.configuration;
    if (event.key != manifestKey) {
        onPartRead(state, event.token, context);
        return;
    }
    if (!own.manifestCall || own.manifestCall->token != event.token)
        return;
    own.startUp.store = true;
    const auto open = *own.manifestCall;
    if (open.watch && event.failure == StoreFailure::TimedOut) {
        // The store held the watch until watchWait had passed, unless the shell made it end earlier.
        const auto end = open.sentAt + watchWait;
        if (own.readVersion > 0 && context.now <= end + lateWatch)
            addEvidence(state, own.readVersion, context.now >= end ? end : open.sentAt, true);
        own.nextCall = context.now;
        callEnded(state, true, {}, context);
        return;
    }
    callEnded(state, false, event.detail, context);
}

} // namespace arbutuscrank::configuration
