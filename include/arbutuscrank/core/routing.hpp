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
/// \brief Topic "routing": which target runs a request, and when (section 9 of docs/design.md).

namespace arbutuscrank {

// --- Targets of the own region ---------------------------------------------------------------------------------------

/// \brief A member that may still send work to a target that this entry took over.
struct FormerOwner {
    ProcessId process; ///< incarnation 0 until the member is heard
    bool ranksAbove = false; ///< comes before this entry in the target's rendezvous order
    TimePoint since; ///< of the take-over, or of the last answer
    std::optional<std::uint32_t> inFlight; ///< as it last answered; it sends no new work after an answer
};

/// \brief A target of the own region. Only its owner sends it work.
struct RoutingTarget {
    std::string name;
    std::string service;
    std::string address;
    std::string failureDomain;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0; ///< most open connections
    Duration probeInterval {};
    std::optional<TimePoint> drainingSince; ///< while the drain is logged but not complete
    std::optional<TimePoint> inServiceSince; ///< when it came into service; absent: before this process started

    std::vector<std::uint16_t> order; ///< rendezvous order, as indexes into RoutingState::regionVms
    VmId owner; ///< as this process sees it; empty if nobody
    std::map<VmId, TimePoint> pastOwners; ///< owners of the last \ref routing::ownershipHold, and until when they were
    std::vector<FormerOwner> formerOwners; ///< take-over not complete while there are any
    TimePoint nextQuery;
    ProcessId yieldedTo; ///< member that asked for the target; empty if none
    TimePoint yieldedUntil;

    std::uint32_t inFlight = 0; ///< requests that this process runs on it
    std::uint32_t share = 0; ///< slots that ownership lets this process use
    SlotLimit limit;
    TargetHealth health;
    TimePoint probeSentAt;
    TimePoint nextProbe;
    std::uint32_t keptIdle = 0; ///< as last given in \ref SetIdleConnections
    bool listed = true; ///< false: not in the document any more, kept until its last request ends
    bool drained = false; ///< gets no new work
    bool drainLogged = false;
    bool owned = false;
    bool keepsHalf = false; ///< uses half of the slots, not none, while a reachable former owner has not answered
    bool probing = false;
};

// --- Other owners ----------------------------------------------------------------------------------------------------

/// \brief What this entry knows of one owner's load for one service.
struct OwnerLoad {
    bool reported = false;
    std::uint32_t slots = 0; ///< as in the last heartbeat
    std::uint32_t busy = 0; ///< in flight and queued in the last heartbeat
    std::uint32_t forwards = 0; ///< own forwards outstanding that were sent after the last heartbeat
    std::uint32_t olderForwards = 0; ///< own forwards outstanding that were sent before it
    std::map<std::string, TimePoint, std::less<>> refusedUntil; ///< by account: a full queue refuses one account
};

/// \brief What this entry knows of another owner.
struct OwnerRecord {
    std::uint64_t heartbeats = 0;
    TimePoint heardAt = TimePoint::min(); ///< of the last heartbeat
    TimePoint unreachableUntil = TimePoint::min(); ///< after a failed connect
    std::map<std::string, OwnerLoad, std::less<>> loads; ///< by service
};

/// \brief An owner of targets of one service in one region.
struct OwnerChoice {
    VmId vm;
    std::string address; ///< peer address
    std::uint32_t targets = 0; ///< targets of the service that it owns and that are in service
    std::uint32_t targetsBefore = 0; ///< sum over the choices before it
};

/// \brief A forward that has not ended.
struct OutstandingForward {
    VmId owner;
    std::string account;
    std::uint64_t heartbeats = 0; ///< OwnerRecord::heartbeats when it was sent
};

/// \brief A service as this entry routes it.
struct RoutingService {
    std::uint32_t slotsPerTarget = 1;
    FairQueue::Limits queueLimits;
    std::uint32_t regionTargets = 0; ///< targets of the own region in service
    std::vector<std::uint32_t> owned; ///< indexes of the own targets
    std::map<std::string, std::vector<OwnerChoice>, std::less<>> owners; ///< by region; this entry is not in it
    FairQueue queue;
    Duration meanTime = std::chrono::milliseconds(50); ///< moving average of the time of a request on a target
    double meanBusy = 0; ///< average share of busy slots in the last reports of the own region's owners
    RetryBudget retries;
};

/// \brief State of the topic; written only by the functions below.
struct RoutingState {
    std::vector<RoutingTarget> targets;
    std::map<std::string, std::uint32_t, std::less<>> targetIndex; ///< by name
    std::map<std::string, RoutingService, std::less<>> services;
    std::vector<VmId> regionVms; ///< members of the own region, gone ones left out, this one included
    std::map<VmId, OwnerRecord, std::less<>> ownerRecords;
    std::unordered_map<RequestId, OutstandingForward> forwards;
    bool configured = false; ///< a first document was applied
    std::optional<TimePoint> startedAt; ///< of the first tick
    bool starting = false; ///< too early to tell who owns what
    std::optional<TimePoint> isolatedSince; ///< since when fewer than half of the region's members are heard
    TimePoint lastEvent = TimePoint::min();
    TimePoint nextReview; ///< of ejections
};

namespace routing {

    /// Longest wait in the queue of an owner.
    inline constexpr Duration queueWait = std::chrono::milliseconds(500);
    /// Time after which a silent former owner cannot have requests left: the longest deadline of a request.
    inline constexpr Duration ownershipHold = std::chrono::seconds(30);
    /// Time between two questions to a former owner that still runs requests.
    inline constexpr Duration ownerQueryInterval = std::chrono::milliseconds(200);
    /// Time without an answer after which a former owner that still sends heartbeats is treated as silent.
    inline constexpr Duration ownerQueryPatience = std::chrono::seconds(3);
    /// Time for which a member that asked for a target keeps it against this process's own view.
    inline constexpr Duration yieldTime = std::chrono::seconds(5);
    /// A starting process claims no target until it hears half of its region or this time has passed.
    /// Members send heartbeats every second and are trusted after two.
    inline constexpr Duration startWait = std::chrono::seconds(3);
    /// A gap between two events past which other members may have suspected this process and taken its targets over.
    /// They do so after 3 s of silence; up to 1 s of it may lie before the gap.
    inline constexpr Duration maxPause = std::chrono::seconds(2);
    /// How long an owner is avoided after a failed connect.
    inline constexpr Duration unreachableTime = std::chrono::seconds(1);
    /// Shortest time for which an owner that refused an account is avoided for that account.
    inline constexpr Duration refusedTime = std::chrono::milliseconds(50);

    /// \brief A request that needs a target.
    struct Query {
        RequestId id = 0;
        std::string_view service;
        std::string_view account; ///< empty on open routes; the fair queue takes it as one account
        std::string_view region; ///< where to run it
        TimePoint deadline;
        const std::set<VmId>* excludedOwners = nullptr; ///< owners that refused this request before
        bool ownTargetsOnly = false; ///< true for forwarded requests: never forward a second time
        const std::set<std::string>* excludedTargets = nullptr; ///< own targets that refused this request before
    };

    /// \brief Run on a target of this entry; a slot is taken until \ref attemptEnded.
    struct RunHere {
        std::string target;
        std::string address;
    };
    /// \brief Send to the entry that owns targets.
    struct ForwardTo {
        VmId owner;
        std::string address; ///< peer address
    };
    /// \brief Waits in the queue; \ref SlotGranted or \ref QueueRefused follows.
    struct Queued { };
    /// \brief No target can take it now.
    struct NoRoute {
        std::string reason; ///< word from docs/api.md: "no-target", "overloaded"
        Duration retryAfter {};
    };
    using Decision = std::variant<RunHere, ForwardTo, Queued, NoRoute>;

    /// \brief Chooses where a request runs.
    [[nodiscard]] Decision route(State& state, const Query& query, Context& context);

    /// \brief Takes a request out of the queue; no follow-up comes for it.
    void cancelQueued(State& state, RequestId id, Context& context);

    /// \brief An attempt on an own target ended: frees the slot and learns from the outcome.
    void attemptEnded(
        State& state, std::string_view target, const AttemptEnded& event, Duration took, Context& context);

    /// \brief A forwarded attempt ended: learns about the owner.
    void forwardEnded(
        State& state, std::string_view owner, std::string_view service, const AttemptEnded& event, Context& context);

    /// \brief Load of the targets that this entry owns, for heartbeats.
    [[nodiscard]] std::vector<ServiceLoad> ownLoads(const State& state);

    /// \brief Takes one retry from a service's budget (10% of first tries, at most 10 saved up).
    [[nodiscard]] bool takeRetry(State& state, std::string_view service);

    /// \brief Counts a first try of a service into its retry budget.
    void countFirstTry(State& state, std::string_view service);

    /// \brief Hands back all targets, because this daemon leaves.
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
