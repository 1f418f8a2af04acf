#pragma once

#include <arbutuscrank/core/token_bucket.hpp>
#include <arbutuscrank/core/types.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief The targets that an entry VM knows: what the store says of them and what requests have shown.

namespace arbutuscrank::entry {

/// \brief A target as its entry in the store describes it.
struct TargetRecord {
    std::string id; ///< identifies one incarnation, unless a restart keeps it
    std::string service;
    std::string address; ///< "ip:port"
    std::string failureDomain;
    std::string region;
    std::uint32_t slots = 1; ///< requests that it runs at a time
    bool draining = false;
    Duration coldRemaining {}; ///< time for which it is still cold, counted from the read
    std::uint64_t startedAtMs = 0; ///< Unix time of its start in milliseconds; 0 if unknown
};

/// \brief Load that a target reported with an answer.
struct LoadReport {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// \brief Why a target gets no normal traffic for a while.
enum class Ejection { None, Unreachable, Failing, Slow };

[[nodiscard]] std::string_view toString(Ejection ejection) noexcept;

/// \brief Everything known of one target.
struct Target {
    TargetRecord record;
    std::uint64_t hash = 0; ///< of the id, for rendezvous hashing
    std::uint32_t inFlight = 0; ///< attempts of this VM
    std::uint32_t othersLoad = 0; ///< requests of other VMs when the target last reported its load
    std::optional<TimePoint> loadAt; ///< time of that report
    std::uint32_t othersInFlight = 0; ///< attempts of other VMs as they last told
    std::optional<TimePoint> coldUntil;
    TokenBucket coldBucket; ///< this VM's part of the rate that the target bears while cold
    double failureShare = 0; ///< moving average over finished attempts, 0 to 1
    double slowness = 1; ///< moving average of duration over the route's usual duration
    std::uint32_t samples = 0;
    Ejection ejection = Ejection::None;
    TimePoint ejectedUntil {};
    std::uint32_t ejections = 0; ///< in a row
    bool trialInFlight = false;
    bool lapsed = false; ///< missing from the store; removed when the grace is over unless it is back

    /// \brief Short name of the target in reports between VMs.
    [[nodiscard]] std::uint32_t reportKey() const noexcept { return static_cast<std::uint32_t>(hash); }
    [[nodiscard]] bool isCold(TimePoint now) const noexcept { return coldUntil && now < *coldUntil; }
    /// \brief Requests that probably run or wait at the target.
    [[nodiscard]] double load(TimePoint now) const noexcept;
};

/// \brief Targets by id, with evacuated failure domains and entries that lapsed during an outage of the store.
class TargetTable {
public:
    /// Lapsed entries are back within this time after the store's return, if the target lives.
    static constexpr Duration lapseGrace = std::chrono::milliseconds(1900);

    /// \brief Replaces the whole list. Missing targets go at once, or after \ref lapseGrace if the store was away.
    /// \returns ids of the targets that are gone or leaving
    std::vector<std::string> applySnapshot(std::span<const TargetRecord> records, TimePoint now);

    /// \brief Adds or changes one target. \returns true if the target has just started to leave
    bool applyRecord(const TargetRecord& record, TimePoint now);

    /// \brief Removes one target, or marks it for removal if the store was away a moment ago.
    /// \returns true if it is removed
    bool applyRemoval(std::string_view id, TimePoint now);

    void setEvacuated(std::set<std::string> failureDomains) { m_evacuated = std::move(failureDomains); }
    [[nodiscard]] const std::set<std::string>& evacuated() const noexcept { return m_evacuated; }

    /// \brief The store failed to answer.
    void storeFailed() noexcept { m_storeAway = true; }
    /// \brief The store answered again.
    void storeAnswered(TimePoint now) noexcept;

    /// \brief Other VMs have reached the store since a time. Entries that are missing have not lapsed after that.
    void storeUpElsewhere(TimePoint since) noexcept;

    /// \brief Removes lapsed targets whose grace is over. \returns their ids
    std::vector<std::string> expire(TimePoint now);

    [[nodiscard]] Target* find(std::string_view id);
    [[nodiscard]] const Target* find(std::string_view id) const;
    [[nodiscard]] std::map<std::string, Target, std::less<>>& all() noexcept { return m_targets; }
    [[nodiscard]] const std::map<std::string, Target, std::less<>>& all() const noexcept { return m_targets; }

    /// \brief Whether a target may get new requests at all: known, not leaving, not evacuated.
    [[nodiscard]] bool isInService(const Target& target) const noexcept;

    /// \brief Whether this VM has read the list since its start.
    [[nodiscard]] bool isLoaded() const noexcept { return m_loaded; }

private:
    void setRecord(Target& target, const TargetRecord& record, TimePoint now);

    std::map<std::string, Target, std::less<>> m_targets;
    std::set<std::string> m_evacuated;
    bool m_loaded = false;
    bool m_storeAway = false;
    std::optional<TimePoint> m_storeReturned;
};

} // namespace arbutuscrank::entry
