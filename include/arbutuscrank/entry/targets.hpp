#pragma once

#include <arbutuscrank/core/token_bucket.hpp>
#include <arbutuscrank/core/types.hpp>
#include <arbutuscrank/entry/store_era.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Targets known to an entry VM: their entries in the store and the observed load and health.

namespace arbutuscrank::entry {

/// \brief Entry of a target in the store.
struct TargetRecord {
    std::string id; ///< identifies one incarnation, unless the target keeps its ID across restarts
    std::string service;
    std::string address; ///< "ip:port"
    std::string failureDomain;
    std::string region;
    std::uint32_t slots = 1; ///< requests that the target runs concurrently
    bool draining = false;
    Duration coldRemaining {}; ///< time for which the target is still cold, from the time of the read
    std::uint64_t startedAtMs = 0; ///< start time as Unix time in milliseconds; 0 if unknown
    ObjectVersion revision = 0; ///< the store's revision of this state of the entry; 0 if unknown
};

/// \brief Load that a target reports with an answer.
struct LoadReport {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    std::optional<double> workTimePercent; ///< how long work takes there at this moment; 100 is as usual
};

/// \brief Greatest figure of \ref LoadReport::workTimePercent that is accepted.
inline constexpr double maxWorkTimePercent = 100'000;

/// \brief How much longer than usual work takes at a target, from the reports in its answers.
struct WorkTime {
    /// Age of the newest report from which it is disregarded. The figure changes many times a second.
    static constexpr Duration maxAge = std::chrono::milliseconds(300);
    /// Time constant of the moving average, no longer than the figure stays the same. An answer that follows another
    /// one at once hardly changes the average; one that follows after the maximum age replaces it.
    static constexpr Duration smoothingTime = std::chrono::milliseconds(50);
    /// Limits of the result. All VMs see the same figures, so a target that looks fast must not attract the requests of
    /// all of them; and a single report must not exclude a target.
    static constexpr double minSlowdown = 0.8;
    static constexpr double maxSlowdown = 10;

    double slowdown = 1; ///< moving average, 1 is as usual; from \ref minSlowdown to \ref maxSlowdown
    TimePoint reportedAt {}; ///< arrival of the newest report
};

/// \brief Greatest request rate that a target may name as its limit, in requests per second.
inline constexpr double maxNamedRate = 1e6;

/// \brief What an answer says of the request rate that its target takes from all VMs together.
struct RateLimitStatement {
    enum class Kind {
        None, ///< the target is not limited
        Limited, ///< the target takes \ref perSecond
        Unreadable, ///< the value cannot be used, so nothing is known
    };
    Kind kind = Kind::None;
    double perSecond = 0; ///< requests per second, from 0 to \ref maxNamedRate
};

/// \brief The request rate that a target was known to take, from its newest answer.
struct NamedRate {
    /// Age from which it is disregarded, because the target or its limit may no longer exist.
    static constexpr Duration maxAge = std::chrono::seconds(60);

    std::optional<double> perSecond; ///< from all VMs together; std::nullopt if the target is not limited
    TimePoint statedAt {}; ///< arrival of the answer
};

/// \brief Why a target is ejected.
enum class Ejection { None, Unreachable, Failing, Slow };

[[nodiscard]] std::string_view toString(Ejection ejection) noexcept;

/// \brief The VMs that share the request rate of a target.
struct RateSenders {
    std::uint64_t regionsVersion = 0; ///< \ref MemberTable::regionsVersion of the choice; 0 if not chosen yet
    std::size_t count = 1;
    bool includesSelf = false;
};

/// \brief An entry that is applied later unless a newer one comes.
struct DeferredRecord {
    TargetRecord record;
    TimePoint readAt {};
};

/// \brief State of a target.
struct Target {
    TargetRecord record;
    std::uint64_t hash = 0; ///< hash of the ID, for rendezvous hashing
    std::uint32_t inFlight = 0; ///< in-flight attempts of this VM
    std::uint32_t othersLoad = 0; ///< requests of other VMs according to the target's last load report
    std::optional<TimePoint> loadReportedAt; ///< arrival of that load report
    std::optional<WorkTime> workTime; ///< unset if no answer has reported it
    bool hasUnusableWorkTime = false; ///< a report of it that cannot be used has been logged
    std::uint32_t othersInFlight = 0; ///< in-flight attempts of other VMs as last reported by them
    std::optional<TimePoint> coldUntil; ///< according to the store
    /// The target was unreachable, or other VMs report that it is cold
    std::optional<TimePoint> suspectedColdUntil;
    bool isLeaving = false; ///< an answer of the target says that it is about to stop
    std::optional<TimePoint> pausedUntil; ///< the target wants no request from this VM until then
    std::optional<NamedRate> namedRate; ///< from answers to this VM; unset if no answer has named a limit
    std::optional<NamedRate> reportedNamedRate; ///< from answers to other VMs
    RateSenders rateSenders;
    bool isRateShared = false; ///< \ref rateBucket holds this VM's share of the rate that is in force
    TokenBucket rateBucket; ///< this VM's share of the request rate that the target allows to all VMs together
    double failureShare = 0; ///< moving average of failures over finished attempts, 0 to 1
    double slowness = 1; ///< moving average of the duration divided by the route's typical duration
    std::uint32_t sampleCount = 0; ///< finished attempts in the averages
    Ejection ejection = Ejection::None;
    TimePoint ejectedUntil {};
    std::uint32_t consecutiveEjections = 0;
    bool isTrialInFlight = false;
    /// Missing from the store; removed after \ref TargetTable::removalGrace unless its entry returns
    bool isAwaitingRemoval = false;
    /// It was draining or removed in an earlier era of the store, whose older copy says that it is ready
    bool isDrainHeld = false;
    /// Entry of an earlier start that was ignored, because it may be of the store's older copy
    std::optional<DeferredRecord> deferredRecord;

    /// \brief Short identifier of the target in reports between VMs.
    [[nodiscard]] std::uint32_t reportKey() const noexcept { return static_cast<std::uint32_t>(hash); }
    /// \brief Time until the target is warm; zero if it is.
    [[nodiscard]] Duration coldRemaining(TimePoint now) const noexcept;
    [[nodiscard]] bool isCold(TimePoint now) const noexcept { return coldRemaining(now) > Duration::zero(); }
    [[nodiscard]] bool isPaused(TimePoint now) const noexcept { return pausedUntil && now < *pausedUntil; }
    /// \brief Limit that the target named in its newest answer to any VM; std::nullopt if there is none.
    [[nodiscard]] std::optional<double> rateLimit(TimePoint now) const noexcept;
    /// \brief Estimated number of requests that run or wait at the target.
    [[nodiscard]] double load(TimePoint now) const noexcept;
    /// \brief How much longer than usual work takes at the target; 1 without a report younger than
    /// \ref WorkTime::maxAge.
    [[nodiscard]] double slowdown(TimePoint now) const noexcept;
    /// \brief Estimated wait for a slot: the load per slot, times \ref slowdown.
    /// \returns multiples of the usual duration of a request; 0 at an idle target, however slow it is
    [[nodiscard]] double expectedWait(TimePoint now) const noexcept;
    /// \brief Estimated time of one further request at the target, including its wait. Unlike \ref expectedWait, it
    /// tells idle targets apart.
    /// \returns multiples of the usual duration of a request, divided by the slots
    [[nodiscard]] double expectedTime(TimePoint now) const noexcept;
    /// \brief Records how long work takes at the target according to an answer.
    /// \param percent above 0 and up to \ref maxWorkTimePercent
    void recordWorkTime(double percent, TimePoint now) noexcept;
};

/// \brief Targets by ID, and the evacuated failure domains. Keeps targets for a while whose entries expired during an
/// outage of the store, or are missing in the older copy from which it came back.
class TargetTable {
public:
    /// Time after the end of a store outage within which live targets restore their expired entries.
    static constexpr Duration removalGrace = std::chrono::milliseconds(1900);

    /// \brief Applies a list. Targets that a complete list lacks are removed as by \ref applyRemoval.
    /// \returns IDs of the targets that were removed or have started to drain
    std::vector<std::string> applySnapshot(
        std::span<const TargetRecord> records, TimePoint now, bool isComplete = true);

    /// \brief Adds or updates one target.
    /// \returns true if the target has just started to drain
    bool applyRecord(const TargetRecord& record, TimePoint now);

    /// \brief Removes one target. During an outage of the store and for \ref removalGrace after it, a target that is
    /// not draining is only marked for removal, because its entry may have expired in the outage.
    /// \returns true if the target was removed
    bool applyRemoval(std::string_view id, TimePoint now);

    void setEvacuated(std::set<std::string> failureDomains) { m_evacuated = std::move(failureDomains); }
    [[nodiscard]] const std::set<std::string>& evacuated() const noexcept { return m_evacuated; }

    /// \brief Records a failed call to the store.
    void recordStoreFailure() noexcept { m_isStoreUnavailable = true; }
    /// \brief Records a successful call to the store.
    void recordStoreSuccess(TimePoint now) noexcept;

    /// \brief Records that the store has come back from an older copy. For \ref removalGrace from the next list on,
    /// missing targets are kept. Until the \ref EraGrace is over, targets that were draining or removed before get no
    /// new request unless they start again, and entries of earlier starts are deferred. An outage of the store prolongs
    /// that, since targets cannot write their entries then, but not past \ref EraGrace::maxWait.
    void recordStoreEraRise(TimePoint now);

    /// \brief Records that other VMs have reached the store since \p since. The outage therefore ended then, and
    /// entries that are still missing after the grace belong to removed targets.
    void recordStoreUpElsewhere(TimePoint since) noexcept;

    /// \brief Takes the entries of earlier starts that were read within the grace after a rise, once that is over. They
    /// are then the newest ones: the target has restarted with its clock set back, or has not written its entry again.
    std::vector<TargetRecord> takeDeferredRecords(TimePoint now);

    /// \brief Removes the targets whose grace is over.
    /// \returns their IDs
    std::vector<std::string> removeExpired(TimePoint now);

    [[nodiscard]] Target* find(std::string_view id);
    [[nodiscard]] const Target* find(std::string_view id) const;
    [[nodiscard]] std::map<std::string, Target, std::less<>>& all() noexcept { return m_targets; }
    [[nodiscard]] const std::map<std::string, Target, std::less<>>& all() const noexcept { return m_targets; }

    /// \brief Whether a target may receive new requests: it is not draining, leaving or evacuated, and did not leave in
    /// an earlier era of the store.
    [[nodiscard]] bool isInService(const Target& target) const noexcept;

    /// \brief Sets whether targets may be cold without this VM's knowledge. Each is then treated as cold.
    void setColdnessUnknown(bool isUnknown) noexcept { m_isColdnessUnknown = isUnknown; }
    [[nodiscard]] bool isColdnessUnknown() const noexcept { return m_isColdnessUnknown; }

    /// \brief Whether a target gets no more than a certain request rate from all VMs together, of which this VM has a
    /// share.
    [[nodiscard]] bool isRateLimited(const Target& target, TimePoint now) const noexcept
    {
        return m_isColdnessUnknown || target.isCold(now) || target.rateLimit(now);
    }

    /// \brief Whether the list has been read since the start of the process. An incomplete list counts only if a target
    /// is known, since the store may hold targets that it lacks.
    [[nodiscard]] bool isLoaded() const noexcept { return m_isLoaded && !areTargetsUnknown(); }
    /// \brief Whether the newest list was incomplete, and no target is known.
    [[nodiscard]] bool areTargetsUnknown() const noexcept { return m_isListIncomplete && m_targets.empty(); }

private:
    /// A target that was removed.
    struct Departure {
        std::uint64_t startedAtMs = 0;
        std::string address;
        TimePoint at {};
    };
    /// Time for which removed targets are remembered. The store's copy is some seconds old; each second adds to it the
    /// time for which the store was away and until this VM learns of the new era.
    static constexpr Duration departureMemory = std::chrono::seconds(30);

    void setRecord(Target& target, const TargetRecord& record, TimePoint now);
    /// Whether a record of the store's older copy names a target as ready that is known to drain or to be removed.
    [[nodiscard]] bool isDrainHeld(const Target& target, const TargetRecord& record, TimePoint now) const;
    [[nodiscard]] bool mayBeMissing(TimePoint now) const noexcept;
    /// Whether what is known from an earlier era of the store goes before what the targets' entries say.
    [[nodiscard]] bool holdsEarlierEra(TimePoint now) const noexcept;
    void eraseTarget(const Target& target, TimePoint now);

    std::map<std::string, Target, std::less<>> m_targets;
    std::set<std::string> m_evacuated;
    bool m_isLoaded = false;
    bool m_isListIncomplete = false;
    bool m_isStoreUnavailable = false;
    bool m_isColdnessUnknown = false;
    std::optional<TimePoint> m_outageEndedAt;
    EraGrace m_eraGrace;
    std::map<std::string, Departure, std::less<>> m_departures; ///< by ID
};

} // namespace arbutuscrank::entry
