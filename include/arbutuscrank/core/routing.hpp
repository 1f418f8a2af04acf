#pragma once

#include <arbutuscrank/core/context.hpp>
#include <arbutuscrank/core/forward.hpp>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// \brief Topic "routing": which target runs a request, and when (section 9 of docs/design.md).

namespace arbutuscrank {

/// \brief State of the topic; written only by the functions below.
struct RoutingState {
    struct Target {
        std::string service;
        std::string address;
        std::uint32_t slots = 0;
        std::uint32_t inFlight = 0;
    };
    std::map<std::string, Target, std::less<>> targets;
};

namespace routing {

    /// \brief A request that needs a target.
    struct Query {
        RequestId id = 0;
        std::string_view service;
        std::string_view account; ///< empty on open routes; the fair queue takes it as one account
        std::string_view region; ///< where to run it
        TimePoint deadline;
        const std::set<VmId>* excludedOwners = nullptr; ///< owners that refused this request before
        bool ownTargetsOnly = false; ///< true for forwarded requests: never forward a second time
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
