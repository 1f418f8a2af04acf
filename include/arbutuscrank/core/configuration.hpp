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
/// \brief Topic "configuration": fetches versions, puts them in force, and knows how fresh they are.

namespace arbutuscrank {

/// \brief A document in force with the indexes that request handling needs.
class ActiveDocument {
public:
    ActiveDocument(ManifestVersion version, Document document);
    ActiveDocument(const ActiveDocument&) = delete;
    ActiveDocument& operator=(const ActiveDocument&) = delete;

    [[nodiscard]] ManifestVersion version() const noexcept { return m_version; }
    [[nodiscard]] const Document& document() const noexcept { return m_document; }
    [[nodiscard]] const Account* findAccount(std::string_view name) const;
    [[nodiscard]] const Service* findService(std::string_view name) const;
    /// \brief Target and its service by target name; null pointers if unknown.
    [[nodiscard]] std::pair<const Service*, const TargetEntry*> findTarget(std::string_view name) const;
    /// \brief Service with the longest path prefix that fits.
    [[nodiscard]] const Service* serviceForPath(std::string_view path) const;
    /// \brief Whether a path of a service needs no key.
    [[nodiscard]] static bool isOpenPath(const Service& service, std::string_view path);
    /// \brief Whether the document drains this thing.
    [[nodiscard]] bool isDrained(DrainKind kind, std::string_view name) const;

private:
    ManifestVersion m_version;
    Document m_document;
    std::map<std::string, const Account*, std::less<>> m_accounts;
    std::map<std::string, const Service*, std::less<>> m_services;
    std::map<std::string, std::pair<const Service*, const TargetEntry*>, std::less<>> m_targets;
};

/// \brief The one call for the manifest that is open at the store.
struct ManifestCall {
    StoreToken token = 0;
    bool watch = false;
    TimePoint sentAt;
};

/// \brief Where the missing parts of the pending manifest are being fetched.
struct PartFetch {
    VmId peer; ///< empty: the store
    std::uint32_t attempts = 0; ///< sources tried before this one
    bool waiting = false; ///< for an answer; false: the next source is tried at \ref deadline
    TimePoint deadline;
    std::set<StoreToken> reads; ///< open reads of parts at the store
    std::size_t partsBefore = 0; ///< parts that were here when the source was asked
};

/// \brief Which sources have answered a daemon that has no configuration yet.
struct StartUp {
    TimePoint nextAsk;
    std::optional<TimePoint> firstAnswer;
    bool store = false; ///< answered or failed
    bool ownFailureDomain = false;
    bool otherFailureDomain = false;
};

/// \brief Joins parts into a document; null if they are not valid.
using JoinParts = std::optional<Document> (*)(const std::map<std::string, std::string>& parts);

/// \brief State of the topic; written only by the functions below.
///
/// **Freshness evidence.** Evidence is a time at which one version was the store's current one. It is *first-hand* if
/// this daemon's own read or watch gave it, and second-hand if a peer's heartbeat or push did. Rules:
/// - A read is dated to when it was sent. A watch that ends without a change is dated to the end of
///   configuration::watchWait after it was sent, and only if the store itself answered so. A call without an answer is
///   no evidence. After a few watches the manifest is read, because a watch cannot tell that the store went back.
/// - Evidence of a peer counts only if its version equals the own one. A higher version that is fresh proves that the
///   own one is not. A lower one would prove that the own version was written later only if the store never went back,
///   and a store restored from a backup is one of the faults that this rule has to outlast.
/// - Only first-hand evidence is passed on. The age that a peer states leaves out the time that its message took; if
///   second-hand evidence were passed on, it would lose that time at each hop, and in a large fleet it would hop fast
///   enough never to grow old while the store is dead.
/// - A new version starts with the evidence for that version, not with that for the version before.
struct ConfigurationState {
    std::shared_ptr<const ActiveDocument> active; ///< null until a first version is in force
    Manifest manifest; ///< of the active document
    ObjectVersion manifestObjectVersion = 0; ///< of the manifest as last read
    ManifestVersion readVersion = 0; ///< of the manifest as last read; 0 if it is not the one in force or pending
    std::uint32_t watchesSinceRead = 0;
    std::map<std::string, std::string> parts; ///< hash to canonical text, of the active manifest
    std::optional<Manifest> pending; ///< newer manifest whose parts are not all here yet
    std::map<std::string, std::string> pendingParts; ///< checked parts of the pending manifest that are here
    std::size_t pendingBytes = 0;
    std::optional<Manifest> refused; ///< latest manifest whose document is not valid
    std::optional<TimePoint> confirmedAt; ///< latest time at which the version was known to be the store's current one
    std::optional<TimePoint> storeConfirmedAt; ///< the same, of first-hand evidence only
    std::optional<TimePoint> pendingConfirmedAt; ///< as \ref confirmedAt, of the pending manifest
    std::optional<TimePoint> pendingStoreConfirmedAt;
    std::optional<ManifestCall> manifestCall;
    TimePoint nextCall; ///< of the next call for the manifest
    std::uint32_t callFailures = 0; ///< in a row
    std::optional<PartFetch> fetch;
    StartUp startUp;
    std::map<VmId, ManifestVersion, std::less<>> peerVersions; ///< as last heard
    ManifestVersion newerVersion = 0; ///< highest version heard of
    VmId newerFrom;
    TimePoint askAt; ///< when to ask \ref newerFrom for its manifest
    std::optional<TimePoint> relayPushAt; ///< when to push to relays that have not shown the version in force
    bool stale = true; ///< as last logged
    std::string lastFault; ///< last refusal logged, so that a fault that stays is logged once
    std::uint64_t tokens = 0;
    JoinParts join = &joinDocument; ///< replaced in tests that need no real documents
};

namespace configuration {

    /// Age of the freshness evidence past which other regions must be heard to keep serving keyed requests.
    inline constexpr Duration stalenessBound = std::chrono::seconds(6);
    /// Time for which the shell lets the store hold a \ref WatchObject. The failure \ref StoreFailure::TimedOut of a
    /// watch means that the store answered "no change"; a watch without an answer fails as Unavailable or Unknown.
    inline constexpr Duration watchWait = std::chrono::seconds(2);
    /// After the first usable answer, a daemon that starts waits this long for the store, a peer of its own failure
    /// domain and one of another, and then puts the highest version in force. It does not wait once all have answered.
    inline constexpr Duration startUpWait = std::chrono::seconds(1);
    /// Most parts of a manifest, and most bytes of all its parts. A larger manifest is refused.
    inline constexpr std::size_t maxParts = 4096;
    inline constexpr std::size_t maxDocumentBytes = 64U << 20U;

    /// \brief Document in force, or null.
    [[nodiscard]] const ActiveDocument* active(const State& state) noexcept;

    /// \brief Version in force; 0 if none.
    [[nodiscard]] ManifestVersion version(const State& state) noexcept;

    /// \brief Time since the version in force was known to be current; nullopt if never.
    [[nodiscard]] std::optional<Duration> staleness(const State& state, TimePoint now) noexcept;

    /// \brief The same by first-hand evidence only, in microseconds for messages; -1 if never.
    [[nodiscard]] std::int64_t storeStalenessMicros(const State& state, TimePoint now) noexcept;

    /// \brief Whether requests that need a key may be served (section 5.1 of docs/design.md).
    [[nodiscard]] bool keyedRequestsAllowed(const State& state, TimePoint now);

    void onTick(State& state, Context& context);
    void onObjectRead(State& state, const ObjectRead& event, Context& context);
    /// \brief The daemon wrote the manifest for an operator: it is read again at once.
    void onObjectWritten(State& state, const ObjectWritten& event, Context& context);
    void onStoreCallFailed(State& state, const StoreCallFailed& event, Context& context);
    void onHeartbeat(State& state, const Heartbeat& message, Context& context);
    void onManifestPush(State& state, const ProcessId& from, const ManifestPush& message, Context& context);
    void onPartRequest(State& state, const ProcessId& from, const PartRequest& message, Context& context);
    void onPartReply(State& state, const ProcessId& from, const PartReply& message, Context& context);
    void onMemberChanged(State& state, const MemberChanged& event, Context& context);

} // namespace configuration

} // namespace arbutuscrank
