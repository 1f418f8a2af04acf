#pragma once

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

/// \brief State of the topic; written only by the functions below.
struct ConfigurationState {
    std::shared_ptr<const ActiveDocument> active; ///< null until a first version is in force
    Manifest manifest; ///< of the active document
    ObjectVersion manifestObjectVersion = 0;
    std::map<std::string, std::string> parts; ///< hash to canonical text, of the active manifest
    std::optional<Manifest> pending; ///< newer manifest whose parts are not all here yet
    std::optional<TimePoint> freshAt; ///< latest time at which the version was known to be the store's current one
    bool watchOpen = false;
    bool readOpen = false;
    TimePoint nextRead;
    std::uint64_t tokens = 0;
};

namespace configuration {

    /// Age of the freshness evidence past which other regions must be heard to keep serving keyed requests.
    inline constexpr Duration freshnessBound = std::chrono::seconds(6);

    /// \brief Document in force, or null.
    [[nodiscard]] const ActiveDocument* active(const State& state) noexcept;

    /// \brief Version in force; 0 if none.
    [[nodiscard]] ManifestVersion version(const State& state) noexcept;

    /// \brief Time since the version in force was known to be current; nullopt if never.
    [[nodiscard]] std::optional<Duration> freshAge(const State& state, TimePoint now) noexcept;

    /// \brief Whether requests that need a key may be served (section 5.1 of docs/design.md).
    [[nodiscard]] bool keyedRequestsAllowed(const State& state, TimePoint now);

    void onTick(State& state, Context& context);
    void onObjectRead(State& state, const ObjectRead& event, Context& context);
    void onStoreCallFailed(State& state, const StoreCallFailed& event, Context& context);
    void onHeartbeat(State& state, const Heartbeat& message, Context& context);
    void onManifestPush(State& state, const ProcessId& from, const ManifestPush& message, Context& context);
    void onPartRequest(State& state, const ProcessId& from, const PartRequest& message, Context& context);
    void onPartReply(State& state, const ProcessId& from, const PartReply& message, Context& context);
    void onMemberChanged(State& state, const MemberChanged& event, Context& context);

} // namespace configuration

} // namespace arbutuscrank
