#include "manifest_update.hpp"

#include <arbutuscrank/core/manifest_codec.hpp>

#include <algorithm>

namespace arbutuscrank::configuration {

using namespace detail;

namespace {

    /// Timeout of a manifest call. For a watch, \ref watchWait is added.
    constexpr Duration callTimeout = std::chrono::seconds(3);
    /// Range of the exponential backoff after failed calls of a relay or of a daemon without a configuration.
    constexpr Duration minRetryInterval = std::chrono::milliseconds(250);
    constexpr Duration maxRetryInterval = std::chrono::seconds(2);
    /// Shortest time between a call that returned the manifest object and the next call, unless that manifest has a
    /// newer version. A watch that ends without a change is followed by the next call at once.
    constexpr Duration minCallInterval = std::chrono::milliseconds(500);
    /// Staleness above which a daemon that is not a relay reads the store itself. Confirmations from working relays
    /// arrive every second and are at most 3 s old.
    constexpr Duration minStalenessForRead = std::chrono::seconds(5);
    /// Range of the exponential backoff after such a read has failed. With 1,800 daemons, an interval of 30 s makes 60
    /// reads/s while the store is down.
    constexpr Duration minReadInterval = std::chrono::seconds(2);
    constexpr Duration maxReadInterval = std::chrono::seconds(30);

    /// A watch that ends later than \ref watchWait plus this time may have been ended by a timeout of this process,
    /// not by the store, and confirms nothing.
    constexpr Duration maxWatchDelay = std::chrono::milliseconds(800);
    /// Watches between two reads. Reading every 20 s limits how long a rollback of the store to a backup goes
    /// unnoticed.
    constexpr std::uint32_t watchesPerRead = 10;

    Duration backoffInterval(Duration shortest, Duration longest, std::uint32_t failures)
    {
        return std::min(longest, shortest * (1U << std::min(failures, 10U)));
    }

    void endCall(State& state, bool answered, std::string_view detail, Context& context)
    {
        auto& own = state.configuration;
        own.manifestCall.reset();
        if (answered && own.consecutiveCallFailures > 0)
            context.log(LogEvent::StoreRecovered, "key=" + std::string(manifestKey));
        if (answered) {
            own.consecutiveCallFailures = 0;
            return;
        }
        if (own.consecutiveCallFailures == 0)
            context.log(LogEvent::StoreFailed, "key=" + std::string(manifestKey) + " detail=" + std::string(detail));
        const bool isFrequentReader = membership::isRelay(state, state.self.process.vm) || !own.active;
        own.nextCallAt = context.now
            + withJitter(state,
                isFrequentReader ? backoffInterval(minRetryInterval, maxRetryInterval, own.consecutiveCallFailures)
                                 : backoffInterval(minReadInterval, maxReadInterval, own.consecutiveCallFailures));
        ++own.consecutiveCallFailures;
    }

    void startCall(State& state, bool isWatch, Context& context)
    {
        auto& own = state.configuration;
        const auto token = nextToken(state);
        own.manifestCall = ManifestCall { token, isWatch, context.now };
        own.watchesSinceRead = isWatch ? own.watchesSinceRead + 1 : 0;
        if (isWatch)
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
        const bool isStale = !age || *age > stalenessBound;
        if (isStale == own.isLoggedStale)
            return;
        own.isLoggedStale = isStale;
        context.log(isStale ? LogEvent::ConfigurationStale : LogEvent::ConfigurationFresh,
            "version=" + std::to_string(version(state)));
    }

    /// Handles the manifest that a store read or watch returned.
    /// \param sentAt when the pending call was sent; nullopt if the result belongs to an earlier call
    void handleStoredManifest(State& state, const ObjectRead& event, std::optional<TimePoint> sentAt, Context& context)
    {
        auto& own = state.configuration;
        own.manifestObjectVersion = event.version;
        own.lastReadVersion = 0;
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
        const auto knownVersion = std::max(version(state), own.pending ? own.pending->version : 0);
        if (!acceptIfNewer(state, *manifest, {}, context))
            return;
        own.lastReadVersion = manifest->version;
        if (sentAt)
            addConfirmation(state, manifest->version, *sentAt, true);
        if (manifest->version > knownVersion)
            own.nextCallAt = context.now;
    }

} // namespace

void onTick(State& state, Context& context)
{
    auto& own = state.configuration;
    if (own.manifestCall) {
        const auto timeout = callTimeout + (own.manifestCall->isWatch ? watchWait : Duration {});
        if (context.now - own.manifestCall->sentAt > timeout)
            endCall(state, false, "the store did not answer in time", context);
    }
    if (!own.manifestCall && context.now >= own.nextCallAt) {
        const auto age = staleness(state, context.now);
        if (!own.active && !own.pending)
            startCall(state, false, context);
        else if (membership::isRelay(state, state.self.process.vm))
            startCall(state, own.watchesSinceRead < watchesPerRead, context);
        else if (own.active && (!age || *age > minStalenessForRead))
            startCall(state, false, context);
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
        addPart(state, event.key.substr(std::min(event.key.size(), partKey("").size())), event.value);
        onPartRead(state, event.token, context);
        return;
    }
    std::optional<TimePoint> sentAt;
    if (own.manifestCall && own.manifestCall->token == event.token) {
        sentAt = own.manifestCall->sentAt;
        own.nextCallAt = context.now + minCallInterval;
        endCall(state, true, {}, context);
    }
    own.startUp.storeCallEnded = true;
    handleStoredManifest(state, event, sentAt, context);
    tryApply(state, context);
}

void onObjectWritten(State& state, const ObjectWritten& event, Context& context)
{
    if (event.key != manifestKey)
        return;
    context.log(LogEvent::ManifestWritten, "objectVersion=" + std::to_string(event.version));
    // A call that is already pending may return the manifest from before the write. Its answer is still processed.
    startCall(state, false, context);
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
    own.startUp.storeCallEnded = true;
    const auto endedCall = *own.manifestCall;
    if (endedCall.isWatch && event.failure == StoreFailure::TimedOut) {
        // The store held the watch for watchWait, unless this process ended it earlier.
        const auto end = endedCall.sentAt + watchWait;
        if (own.lastReadVersion > 0 && context.now <= end + maxWatchDelay)
            addConfirmation(state, own.lastReadVersion, context.now >= end ? end : endedCall.sentAt, true);
        own.nextCallAt = context.now;
        endCall(state, true, {}, context);
        return;
    }
    endCall(state, false, event.detail, context);
}

} // namespace arbutuscrank::configuration
