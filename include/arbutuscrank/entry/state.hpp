#pragma once

#include <arbutuscrank/core/random.hpp>
#include <arbutuscrank/entry/coordination.hpp>
#include <arbutuscrank/entry/effects.hpp>
#include <arbutuscrank/entry/evacuation_records.hpp>
#include <arbutuscrank/entry/events.hpp>
#include <arbutuscrank/entry/quota_sharing.hpp>
#include <arbutuscrank/entry/retry_limit.hpp>
#include <arbutuscrank/entry/room_sharing.hpp>
#include <arbutuscrank/entry/settings.hpp>
#include <arbutuscrank/entry/store_era.hpp>
#include <arbutuscrank/entry/store_source.hpp>
#include <arbutuscrank/entry/target_selection.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// \file
/// \brief State of an entry VM, and the reducer over all events.

namespace arbutuscrank::entry {

/// \brief An in-flight attempt.
struct Attempt {
    std::string target;
    TimePoint sentAt {};
    bool isTrial = false;
    double loadPerSlot = 0; ///< load of the target when the attempt was sent, the attempt included
};

/// \brief A request of a caller from its arrival to its final answer.
struct Request {
    std::string callerRequestId;
    std::string route;
    std::string service;
    std::string account;
    std::string affinity; ///< affinity value: route name, line feed and affinity key; empty if there is no key
    std::vector<std::string> routeRegions;
    std::vector<std::string> accountRegions;
    bool idempotent = false;
    bool mayHaveRun = false; ///< a target may have run the request without a successful answer
    RequestRank rank;
    std::uint32_t maxAttempts = 1;
    /// Attempts that count towards \ref maxAttempts: those that are in flight or of which a target may have received
    /// bytes
    std::uint32_t countedAttempts = 0;
    TimePoint arrivedAt {};
    TimePoint deadline {}; ///< of the caller or of the route, whichever is earlier
    Duration latencyObjective {};
    std::vector<std::string> triedTargets; ///< IDs of targets that an attempt was sent to
    std::map<AttemptId, Attempt> attempts; ///< in-flight attempts
    /// Admission requests sent to the coordinator while none has been answered; 0 if admission is decided or not needed
    std::uint32_t pendingAdmissionRequests = 0;
    std::optional<AttemptId> failureAnswerAttempt; ///< attempt whose failure answer is forwarded if no retry succeeds
};

/// \brief Typical duration of the attempts of a route.
struct RouteDuration {
    double seconds = 0; ///< moving average; 0 until the first answer
};

/// \brief Rate of admitted requests for one service at this VM.
struct AdmittedRate {
    double perSecond = 0; ///< smoothed rate; the mean until requests have been counted for the smoothing time
    double countedSeconds = 0; ///< time since the first request
    std::uint32_t admittedSinceUpdate = 0; ///< requests admitted since the last update of \ref perSecond
    ServiceMix mix; ///< smoothed
    std::map<std::string, double, std::less<>> restrictedSinceUpdate; ///< requests by region, as in \ref ServiceMix
    std::map<RequestRank, double> workSinceUpdate; ///< seconds of work
    std::map<std::uint32_t, double> movableSinceUpdate; ///< requests by slack class, as in \ref ServiceMix
};

/// \brief Load of the whole fleet as reported by the coordinator.
struct FleetLoad {
    std::map<std::string, ServiceDemands> demandByRegion;
    std::map<std::string, ServiceMixes> mixesByRegion;
    InFlightCounts inFlight; ///< sum over the fleet, including this VM
    Duration storeUptime {}; ///< maximum over all VMs
    std::optional<TimePoint> storeContactAt; ///< newest answer of the store to any VM
    double heardFraction = 0; ///< see \ref Digest::heardFraction
    VmId feed; ///< see \ref Digest::feed
    std::optional<TimePoint> receivedAt;
};

/// \brief Complete state of an entry VM.
struct EntryState {
    EntryState(EntrySettings entrySettings, MemberRecord self, std::uint64_t seed);

    EntrySettings settings;
    Random random;
    PolicyIndex policy;
    TargetTable targets;
    EvacuationReading evacuations; ///< newest reading of this VM or of another one
    EvacuationRecords evacuationRecords;
    TargetSelection selection;
    QuotaSharing quota;
    RetryLimit retryLimit;
    std::optional<RoomSharing> room; ///< only with \ref EntrySettings::sharesRoom
    MemberTable members;
    bool hasMemberList = false; ///< the list of registered VMs has been read
    Coordination coordination;
    DomainReportTable domainReports; ///< reports of the coordinators of the other failure domains
    FleetLoad fleetLoad; ///< from the coordinator's digest; unused while this VM coordinates
    std::optional<TimePoint> policyConfirmedAt; ///< send time of the newest store call that confirmed the configuration
    std::map<RequestId, Request> requests;
    std::map<std::string, RouteDuration> routeDurations; ///< by route name
    std::map<std::string, AdmittedRate> serviceDemand; ///< by service name
    /// Weighted round-robin credits of the services of each route, by route name
    std::map<std::string, std::vector<double>> serviceCredits;
    AttemptId lastAttemptId = 0;
    std::uint64_t messageSequence = 0;
    std::optional<TimePoint> lastReportAt; ///< last report to the other coordinators, or to the own one
    InFlightCounts reportedInFlight; ///< this VM's in-flight attempts as of its last report
    std::optional<TimePoint> lastTickAt;
    StoreSource storeSource;
    StoreEraTracking storeEra;
    bool isStoreUnavailable = false;
    std::optional<TimePoint> storeAnsweredAt; ///< newest answer of the store, also through a feed
    std::optional<TimePoint> storeContactAt; ///< newest answer of the store to a call of this VM itself
    std::optional<TimePoint> fewHeardSince; ///< since then, most of the other VMs have not been heard
    std::optional<TimePoint> storeUpSince; ///< first answer of the store after its last failure
    bool refusesKeyedRequests = false; ///< the configuration is too old to authenticate API keys
    std::optional<TimePoint> stopRequestedAt;
};

/// \brief Whether the VM has read its configuration and targets and is not shutting down. \ref VmStatus::ready also
/// requires a recently confirmed configuration.
[[nodiscard]] bool isReady(const EntryState& state) noexcept;

/// \brief Time at which a VM that shuts down ends, even with requests in flight.
[[nodiscard]] TimePoint stopEndsAt(const EntryState& state) noexcept;

/// \brief Whether the configuration was confirmed recently enough to authenticate API keys.
[[nodiscard]] bool isPolicyFresh(const EntryState& state, TimePoint now) noexcept;

/// \brief Whether a request would be passed on to a target as things are. If not, it is refused, and its body is not
/// needed.
/// \param path may have a query
[[nodiscard]] bool wouldPassOn(
    const EntryState& state, std::string_view host, std::string_view path, std::string_view key, TimePoint now);

/// \brief Reduces one event: changes the state and appends effects.
///
/// \code
/// std::vector<EntryEffect> effects;
/// reduce(state, RequestArrived { .request = 1, .host = "shop.example", .path = "/cart/7" }, now, effects);
/// for (const auto& effect : effects)
///     perform(effect);
/// \endcode
/// \param now time of the event; must not decrease from call to call
void reduce(EntryState& state, const EntryEvent& event, TimePoint now, std::vector<EntryEffect>& effects);

} // namespace arbutuscrank::entry
