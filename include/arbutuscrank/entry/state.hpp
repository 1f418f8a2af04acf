#pragma once

#include <arbutuscrank/core/random.hpp>
#include <arbutuscrank/entry/coordination.hpp>
#include <arbutuscrank/entry/effects.hpp>
#include <arbutuscrank/entry/events.hpp>
#include <arbutuscrank/entry/quota_sharing.hpp>
#include <arbutuscrank/entry/retry_limit.hpp>
#include <arbutuscrank/entry/settings.hpp>
#include <arbutuscrank/entry/target_selection.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// \file
/// \brief State of the entry's decisions, and the reducer over all events.

namespace arbutuscrank::entry {

/// \brief One attempt under way.
struct Attempt {
    std::string target;
    TimePoint sentAt {};
    bool trial = false;
};

/// \brief One request of a caller from its arrival to its final answer.
struct Request {
    std::string callerId;
    std::string route;
    std::string service;
    std::string account;
    std::string affinity;
    std::vector<std::string> routeRegions;
    std::vector<std::string> accountRegions;
    bool idempotent = false;
    bool mayHaveRun = false; ///< some attempt was sent whose outcome is unknown
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 1;
    std::uint32_t attemptsSent = 0;
    TimePoint arrivedAt {};
    TimePoint deadline {}; ///< of the caller or of the route, whichever is earlier
    Duration objective {};
    std::vector<std::string> tried; ///< targets already used
    std::map<AttemptId, Attempt> attempts; ///< under way
    std::uint32_t admissionAsks = 0; ///< questions to the coordinator that are not answered; 0 once it is admitted
    std::optional<AttemptId> failureAnswer; ///< a target's own failure, passed on if nothing better comes
};

/// \brief Usual duration of a route's attempts.
struct RouteDuration {
    double seconds = 0; ///< moving average; 0 until the first answer
};

/// \brief Demand for one service at this VM.
struct ServiceDemand {
    double perSecond = 0; ///< smoothed
    std::uint32_t arrivals = 0; ///< since the last update
};

/// \brief Load of the whole fleet as a VM learns it from its coordinator.
struct FleetLoad {
    std::map<std::string, ServiceDemands> demandByRegion;
    InFlightCounts inFlight; ///< sum over the fleet, this VM counted
    Duration storeUpFor {}; ///< longest of all VMs
    std::optional<TimePoint> heardAt;
};

/// \brief Everything that the entry decides with.
struct EntryState {
    EntryState(EntrySettings entrySettings, MemberRecord self, std::uint64_t seed);

    EntrySettings settings;
    Random random;
    PolicyIndex policy;
    TargetTable targets;
    TargetSelection selection;
    QuotaSharing quota;
    RetryLimit retries;
    MemberTable members;
    bool membersListed = false; ///< the registered VMs were read since the start
    Coordination coordination;
    DomainTable domains; ///< reports of the other failure domains' coordinators
    FleetLoad fleetLoad; ///< as the coordinator told it; not used by a coordinator
    std::optional<TimePoint> policyConfirmedAt; ///< send time of the last store call that confirmed the configuration
    std::map<RequestId, Request> requests;
    std::map<std::string, RouteDuration> durations; ///< by route name
    std::map<std::string, ServiceDemand> demand; ///< by service name
    std::map<std::string, std::vector<double>> splitCredits; ///< by route name: credit of each part
    AttemptId lastAttempt = 0;
    std::uint64_t messageSequence = 0;
    std::optional<TimePoint> reportedAt; ///< last message to the coordinator, or to the other coordinators
    InFlightCounts reportedInFlight; ///< this VM's attempts in its last report
    std::optional<TimePoint> tickedAt;
    bool storeAway = false;
    std::optional<TimePoint> storeUpSince; ///< first answer after the last failure
    bool keyedRefused = false; ///< the configuration is too old to serve requests with keys
    std::optional<TimePoint> stopRequestedAt;
};

/// \brief Whether the VM has read all it needs and takes callers.
[[nodiscard]] bool isReady(const EntryState& state) noexcept;

/// \brief Whether the configuration is recent enough to serve requests with keys.
[[nodiscard]] bool isPolicyFresh(const EntryState& state, TimePoint now) noexcept;

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
