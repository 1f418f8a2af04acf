#pragma once

#include <arbutuscrank/core/context.hpp>
#include <arbutuscrank/core/fair_queue.hpp>
#include <arbutuscrank/core/forward.hpp>
#include <arbutuscrank/core/retry_budget.hpp>
#include <arbutuscrank/core/slot_limit.hpp>
#include <arbutuscrank/core/target_health.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

/// \file
/// \brief Topic "routing": target ownership, and the choice of a target, a queue or another owner for each request
/// (section 9 of docs/design.md).

namespace arbutuscrank {

// --- Targets of the own region ---------------------------------------------------------------------------------------

/// \brief A member that may still have requests in flight on a target that this entry took over.
struct FormerOwner {
    ProcessId process; ///< incarnation 0 until its first heartbeat arrives
    bool ranksBeforeSelf = false; ///< precedes this entry in the target's rendezvous order
    TimePoint unansweredSince; ///< start of the take-over, or time of the last reply
    std::optional<std::uint32_t> inFlight; ///< from its last reply; it starts no new requests after a reply
};

/// \brief A target of this entry's region. Only its owner sends it requests.
struct RoutingTarget {
    std::string name;
    std::string service;
    std::string address;
    std::string failureDomain;
    std::uint32_t slots = 0;
    std::uint32_t maxConnections = 0;
    Duration probeInterval {};
    std::optional<TimePoint> drainingSince; ///< set from the logged start of the drain until it completes
    std::optional<TimePoint> inServiceSince; ///< empty if it was in service before this process started

    std::vector<std::uint16_t> order; ///< rendezvous order, as indexes into RoutingState::regionVms
    VmId owner; ///< in this process's view; empty if there is none
    /// Members that stopped being the owner within \ref routing::formerOwnerTimeout, with the time at which they did.
    std::map<VmId, TimePoint> recentOwners;
    std::vector<FormerOwner> formerOwners; ///< the take-over is complete once this is empty
    TimePoint nextOwnerQuery;
    ProcessId handedOverTo; ///< member whose query made this entry give up the target; empty if none
    TimePoint handedOverUntil;

    std::uint32_t inFlight = 0; ///< requests of this process on the target
    std::uint32_t allowedSlots = 0; ///< slots that the ownership rules let this process use
    SlotLimit limit;
    TargetHealth health;
    TimePoint probeSentAt;
    TimePoint nextProbe;
    std::uint32_t idleConnections = 0; ///< last value requested by \ref SetIdleConnections
    bool isInDocument = true; ///< false after removal; the record stays until its last request ends
    /// The document drains the target or no longer contains it. It gets no new requests but may still run some.
    bool drained = false;
    bool isDrainStartLogged = false; ///< the start of the current drain was logged
    bool owned = false;
    /// Half of the slots are usable, instead of none, while a reachable former owner has not replied.
    bool mayKeepHalf = false;
    bool probing = false;
};

// --- Other owners ----------------------------------------------------------------------------------------------------

/// \brief Load of one owner for one service, as this entry estimates it.
struct OwnerLoad {
    bool reported = false; ///< whether the last heartbeat contained this service
    std::uint32_t slots = 0; ///< from the last heartbeat
    std::uint32_t busy = 0; ///< in flight and queued by the last heartbeat, less own forwards ended since
    std::uint32_t forwardsSinceHeartbeat = 0; ///< outstanding forwards of this entry sent after the last heartbeat
    std::uint32_t forwardsBeforeHeartbeat = 0; ///< outstanding forwards of this entry sent before it
    /// Time until which the owner is avoided, by account: the queue limit applies to each account separately.
    std::map<std::string, TimePoint, std::less<>> refusedUntil;
};

/// \brief State of another owner, as this entry knows it.
struct OwnerRecord {
    std::uint64_t heartbeatCount = 0;
    TimePoint lastHeartbeatAt = TimePoint::min();
    TimePoint unreachableUntil = TimePoint::min(); ///< avoided until then after a failed connect
    std::map<std::string, OwnerLoad, std::less<>> loads; ///< by service
};

/// \brief An owner of targets of one service in one region.
struct OwnerChoice {
    VmId vm;
    std::string address; ///< peer address
    std::uint32_t targets = 0; ///< targets of the service that it owns and that are not drained
    std::uint32_t precedingTargets = 0; ///< sum of \ref targets over the preceding choices
};

/// \brief A request forwarded to another owner that has not ended.
struct OutstandingForward {
    VmId owner;
    std::string account;
    std::uint64_t heartbeatCountAtSend = 0; ///< OwnerRecord::heartbeatCount when the request was forwarded
};

/// \brief Routing state of one service.
struct RoutingService {
    std::uint32_t slotsPerTarget = 1;
    FairQueue::Limits queueLimits;
    std::uint32_t regionTargets = 0; ///< targets of this entry's region that are not drained
    std::vector<std::uint32_t> ownedTargets; ///< indexes of the targets that this entry owns
    std::map<std::string, std::vector<OwnerChoice>, std::less<>> owners; ///< by region; excludes this entry
    FairQueue queue;
    Duration meanRequestTime = std::chrono::milliseconds(50); ///< moving average of the duration of a request
    double meanBusyShare = 0; ///< mean busy share of slots in the last reports of the own region's owners
    RetryBudget retries;
};

/// \brief State of the topic; written only by the functions below.
struct RoutingState {
    std::vector<RoutingTarget> targets;
    std::map<std::string, std::uint32_t, std::less<>> targetIndex; ///< by name
    std::map<std::string, RoutingService, std::less<>> services;
    std::vector<VmId> regionVms; ///< sorted members of this region that are not gone, including this one
    std::map<VmId, OwnerRecord, std::less<>> ownerRecords;
    std::unordered_map<RequestId, OutstandingForward> forwards;
    bool hasConfiguration = false; ///< a document has been applied
    std::optional<TimePoint> startedAt; ///< time of the first tick
    bool starting = false; ///< this entry claims no targets yet
    std::optional<TimePoint> isolatedSince; ///< set while fewer than half of the region's members are heard
    TimePoint lastEventAt = TimePoint::min();
    TimePoint nextEjectionReview;
};

namespace routing {

    /// Longest time a request waits in an owner's queue.
    inline constexpr Duration maxQueueWait = std::chrono::milliseconds(500);
    /// Time after which a former owner that does not reply can have no requests in flight: the longest request
    /// deadline.
    inline constexpr Duration formerOwnerTimeout = std::chrono::seconds(30);
    /// Time between the queries for a target to its former owners that have not replied or still have requests in
    /// flight.
    inline constexpr Duration ownerQueryInterval = std::chrono::milliseconds(200);
    /// Time without a reply after which a former owner counts as unreachable although its heartbeats arrive.
    inline constexpr Duration ownerQueryTimeout = std::chrono::seconds(3);
    /// Time for which a target handed over on request stays with the requesting member although the rendezvous order
    /// names this entry as its owner.
    inline constexpr Duration handoverDuration = std::chrono::seconds(5);
    /// A starting process claims no target until it trusts half of its region's other members or this time has passed.
    /// A member is trusted after two heartbeats at the latest, which take 2 s at membership::heartbeatInterval.
    inline constexpr Duration maxStartupDelay = std::chrono::seconds(3);
    /// If the gap between two events exceeds this, other members may have suspected this process and taken over its
    /// targets. They suspect it membership::suspicionTime (3 s) after its last heartbeat, which it sent up to
    /// membership::heartbeatInterval (1 s) before the gap. With membership::largeFleetHeartbeatInterval (2 s), a gap of
    /// more than 1 s can lead to a suspicion, and this threshold does not detect gaps from 1 s to 2 s.
    inline constexpr Duration pauseThreshold = std::chrono::seconds(2);
    /// Time for which an owner is avoided after a failed connect.
    inline constexpr Duration unreachableBackoff = std::chrono::seconds(1);
    /// Shortest time for which an owner that refused an account is avoided for that account. Also the retry delay of
    /// requests that are refused with "no-target" although the service is known.
    inline constexpr Duration minRefusalBackoff = std::chrono::milliseconds(50);

    /// \brief A request that needs a target.
    struct Query {
        RequestId id = 0;
        std::string_view service;
        std::string_view account; ///< empty on open routes, which share one place in the fair queue
        std::string_view region; ///< region in which the request is to run
        TimePoint deadline;
        /// Owners at which an earlier attempt failed. They get no forward.
        const std::set<VmId>* excludedOwners = nullptr;
        bool ownTargetsOnly = false; ///< set for forwarded requests, so that they are not forwarded again
        /// Own targets at which an earlier attempt failed. They are not chosen at once, but a queued request may be
        /// granted a slot of one of them.
        const std::set<std::string>* excludedTargets = nullptr;
    };

    /// \brief The request runs on a target of this entry and occupies a slot until \ref recordAttemptEnd.
    struct RunHere {
        std::string target;
        std::string address;
    };
    /// \brief The request is forwarded to the entry that owns a suitable target.
    struct ForwardTo {
        VmId owner;
        std::string address; ///< peer address
    };
    /// \brief The request waits in this entry's queue; \ref SlotGranted or \ref QueueRefused follows.
    struct Queued { };
    /// \brief No target can take the request now.
    struct NoRoute {
        std::string reason; ///< "no-target" or "overloaded", as listed in docs/api.md
        Duration retryAfter {};
    };
    using Decision = std::variant<RunHere, ForwardTo, Queued, NoRoute>;

    /// \brief Chooses where a request runs.
    [[nodiscard]] Decision route(State& state, const Query& query, Context& context);

    /// \brief Removes a request from the queue without a follow-up event.
    void cancelQueued(State& state, RequestId id, Context& context);

    /// \brief Frees the slot of an attempt on an own target and records its outcome.
    /// \param took duration of the attempt
    void recordAttemptEnd(
        State& state, std::string_view target, const AttemptEnded& event, Duration took, Context& context);

    /// \brief Ends a forward and updates the owner's estimated load and reachability from its outcome.
    void recordForwardEnd(
        State& state, std::string_view owner, std::string_view service, const AttemptEnded& event, Context& context);

    /// \brief Load of the targets that this entry owns, by service, for its heartbeats.
    [[nodiscard]] std::vector<ServiceLoad> ownLoads(const State& state);

    /// \brief Takes one retry from a service's budget, which grows by a percentage of its first tries (10 by default)
    /// and holds at most 10 retries.
    /// \returns false if the budget is exhausted or the service is unknown
    [[nodiscard]] bool tryTakeRetry(State& state, std::string_view service);

    /// \brief Credits a first try of a service to its retry budget.
    void countFirstTry(State& state, std::string_view service);

    /// \brief Releases all targets because this daemon is leaving.
    void startLeaving(State& state, Context& context);

    void onTick(State& state, Context& context);
    void onConfigurationApplied(State& state, const ConfigurationApplied& event, Context& context);
    void onMemberChanged(State& state, const MemberChanged& event, Context& context);
    void onHeartbeat(State& state, const Heartbeat& message, Context& context);
    void onOwnerQuery(State& state, const ProcessId& from, const OwnerQuery& message, Context& context);
    void onOwnerReply(State& state, const ProcessId& from, const OwnerReply& message, Context& context);
    void onProbeEnded(State& state, const ProbeEnded& event, Context& context);

} // namespace routing

} // namespace arbutuscrank
