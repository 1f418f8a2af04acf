#pragma once

#include <arbutuscrank/config/codec.hpp>
#include <arbutuscrank/config/document.hpp>
#include <arbutuscrank/core/context.hpp>
#include <arbutuscrank/core/forward.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

/// \file
/// \brief Topic "configuration": fetches configuration versions, applies them, and tracks how stale the active one is.

namespace arbutuscrank {

/// \brief The active configuration document with the indexes that request handling needs.
class ActiveDocument {
public:
    ActiveDocument(ManifestVersion version, Document document);
    ActiveDocument(const ActiveDocument&) = delete;
    ActiveDocument& operator=(const ActiveDocument&) = delete;

    [[nodiscard]] ManifestVersion version() const noexcept { return m_version; }
    [[nodiscard]] const Document& document() const noexcept { return m_document; }
    [[nodiscard]] const Account* findAccount(std::string_view name) const;
    [[nodiscard]] const Service* findService(std::string_view name) const;
    /// \brief Finds a target and its service by target name.
    /// \returns the service and the target; null pointers if the name is unknown
    [[nodiscard]] std::pair<const Service*, const TargetEntry*> findTarget(std::string_view name) const;
    /// \brief Finds the service with the longest path prefix that matches; null if none matches.
    [[nodiscard]] const Service* findServiceForPath(std::string_view path) const;
    /// \brief Whether requests for this path of the service need no API key.
    [[nodiscard]] static bool isOpenPath(const Service& service, std::string_view path);
    /// \brief Whether the document drains the object of this kind and name.
    [[nodiscard]] bool isDrained(DrainKind kind, std::string_view name) const;

private:
    ManifestVersion m_version;
    Document m_document;
    std::map<std::string, const Account*, std::less<>> m_accounts;
    std::map<std::string, const Service*, std::less<>> m_services;
    std::map<std::string, std::pair<const Service*, const TargetEntry*>, std::less<>> m_targets;
};

/// \brief The latest read or watch of the manifest at the store, until it ends. A read after this daemon's own write
/// replaces an earlier call. The object that the earlier call returns is still processed but confirms nothing, and its
/// failure is ignored.
struct ManifestCall {
    StoreToken token = 0;
    bool isWatch = false; ///< false: a read
    TimePoint sentAt;
};

/// \brief Progress of fetching the missing parts of the pending manifest.
struct PartFetch {
    VmId peer; ///< current source; empty for the store
    std::uint32_t triedSources = 0; ///< sources tried before the current one
    bool isAwaitingAnswer = false; ///< if false, the current source is asked at \ref deadline
    TimePoint deadline; ///< when the source times out, or when it is asked
    std::set<StoreToken> openReads; ///< part reads at the store that have not returned
    std::size_t partsAtRequest = 0; ///< number of parts already fetched when the source was asked
};

/// \brief Which sources have responded to a daemon that has no configuration yet.
struct StartUpProgress {
    TimePoint nextRequestAt;
    std::optional<TimePoint> firstManifestAt; ///< when the first usable manifest arrived
    bool storeCallEnded = false; ///< a manifest call returned or was reported as failed; unchanged by its timeout here
    bool ownDomainAnswered = false;
    bool otherDomainAnswered = false;
};

/// \brief Builds a document from its parts by part name. \returns nullopt if the parts are not valid
using JoinParts = std::optional<Document> (*)(const std::map<std::string, std::string>& parts);

/// \brief State of the topic; written only by the functions below.
///
/// **Staleness.** A confirmation is a time at which a version was known to be the current one in the store. A *store
/// confirmation* comes from this daemon's own read or watch, a *peer confirmation* from a heartbeat or manifest push.
/// The staleness of the active version is the time since its latest confirmation.
/// - A read, or a watch that returns the manifest, confirms the version at the time of sending. A watch that ends
///   without a change confirms it at the time of sending plus configuration::watchWait, or at the time of sending if it
///   ended earlier. If it ended much later, this process may have ended it, and it confirms nothing. A call without an
///   answer confirms nothing.
/// - The manifest is read again after a few watches, because a watch does not detect that the store was rolled back.
/// - A peer confirmation counts only if the peer has the same version. A confirmed higher version proves that the
///   active version is outdated. A confirmed lower version proves nothing: the store may have been restored from a
///   backup.
/// - Only store confirmations are sent to peers. The staleness that a peer reports does not include the network delay
///   of its message. If peer confirmations were forwarded, each hop would add to this error, and in a large fleet the
///   confirmations would circulate fast enough that no version looked stale while the store is down.
/// - Confirmations of one version do not carry over to the next.
struct ConfigurationState {
    std::shared_ptr<const ActiveDocument> active; ///< null until the first version is applied
    Manifest manifest; ///< manifest of the active document
    ObjectVersion manifestObjectVersion = 0; ///< object version of the manifest at the last read
    ManifestVersion lastReadVersion = 0; ///< version last read; 0 if that manifest is neither active nor pending
    std::uint32_t watchesSinceRead = 0;
    std::map<std::string, std::string> parts; ///< parts of the active manifest: hash to canonical text
    std::optional<Manifest> pending; ///< newer manifest that is not applied yet
    std::map<std::string, std::string> pendingParts; ///< verified parts of the pending manifest: hash to text
    std::size_t pendingBytes = 0; ///< total size of \ref pendingParts
    std::optional<Manifest> refused; ///< latest manifest whose parts do not form a valid document
    std::optional<TimePoint> confirmedAt; ///< latest confirmation of the active version, by the store or a peer
    std::optional<TimePoint> storeConfirmedAt; ///< latest store confirmation of the active version
    std::optional<TimePoint> pendingConfirmedAt; ///< latest confirmation of the pending version
    std::optional<TimePoint> pendingStoreConfirmedAt; ///< latest store confirmation of the pending version
    std::optional<ManifestCall> manifestCall;
    TimePoint nextCallAt; ///< earliest time of the next manifest read or watch
    std::uint32_t consecutiveCallFailures = 0;
    std::optional<PartFetch> fetch;
    StartUpProgress startUp;
    std::map<VmId, ManifestVersion, std::less<>> peerVersions; ///< active version that each peer last reported
    ManifestVersion newestPeerVersion = 0; ///< highest version that any peer reported
    VmId newestVersionPeer; ///< peer that last reported \ref newestPeerVersion
    TimePoint nextManifestRequestAt; ///< when to request the manifest of \ref newestVersionPeer
    std::optional<TimePoint> relayPushAt; ///< when to push to relays that have not reported the active version
    bool isLoggedStale = true; ///< whether the last log event said stale; initially true
    std::string lastLoggedFault; ///< last fault logged, so that a persistent fault is logged only once
    std::uint64_t lastTokenNumber = 0;
    JoinParts join = &joinDocument; ///< replaced in tests that do not need real documents
};

namespace configuration {

    /// Staleness above which requests with an API key are served only while a majority of regions is reachable.
    inline constexpr Duration stalenessBound = std::chrono::seconds(6);
    /// Time for which the store holds a \ref WatchObject open. A watch that ends without a change fails with
    /// \ref StoreFailure::TimedOut. If it ends much later than this, a timeout of this process may have ended it, and
    /// it confirms nothing.
    inline constexpr Duration watchWait = std::chrono::seconds(2);
    /// Time that a starting daemon waits after the first usable manifest for responses of the store, a peer in its own
    /// failure domain and a peer in another one. It applies the highest version after this time, or earlier if all
    /// three have responded.
    inline constexpr Duration startUpWait = std::chrono::seconds(1);
    /// Largest number of parts of a manifest. A larger manifest is refused.
    inline constexpr std::size_t maxParts = 4096;
    /// Largest total size of the parts of a manifest. Parts beyond it are refused.
    inline constexpr std::size_t maxDocumentBytes = 64U << 20U;

    /// \brief Active document; null if no version has been applied.
    [[nodiscard]] const ActiveDocument* active(const State& state) noexcept;

    /// \brief Active version; 0 if none.
    [[nodiscard]] ManifestVersion version(const State& state) noexcept;

    /// \brief Time since the active version was last confirmed to be current; nullopt if it never was.
    [[nodiscard]] std::optional<Duration> staleness(const State& state, TimePoint now) noexcept;

    /// \brief Time since the last store confirmation, in microseconds as sent in messages; -1 if there was none.
    [[nodiscard]] std::int64_t storeStalenessMicros(const State& state, TimePoint now) noexcept;

    /// \brief Whether requests that need an API key may be served (section 5.1 of docs/design.md).
    [[nodiscard]] bool keyedRequestsAllowed(const State& state, TimePoint now);

    void onTick(State& state, Context& context);
    void onObjectRead(State& state, const ObjectRead& event, Context& context);
    /// \brief Reads the manifest at once after this daemon has written it for an operator.
    void onObjectWritten(State& state, const ObjectWritten& event, Context& context);
    void onStoreCallFailed(State& state, const StoreCallFailed& event, Context& context);
    void onHeartbeat(State& state, const Heartbeat& message, Context& context);
    void onManifestPush(State& state, const ProcessId& from, const ManifestPush& message, Context& context);
    void onPartRequest(State& state, const ProcessId& from, const PartRequest& message, Context& context);
    void onPartReply(State& state, const ProcessId& from, const PartReply& message, Context& context);
    void onMemberChanged(State& state, const MemberChanged& event, Context& context);

} // namespace configuration

} // namespace arbutuscrank
