#pragma once

#include <arbutuscrank/core/context.hpp>
#include <arbutuscrank/core/forward.hpp>
#include <arbutuscrank/core/steering.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Topic "requests": the lifecycle of each request from arrival to its last attempt (section 10 of
/// docs/design.md).

namespace arbutuscrank {

/// \brief What a request is waiting for, or that it is running.
enum class RequestPhase {
    Admission, ///< waits for the quota of its account
    Reservation, ///< waits for the record holders of its idempotency key
    RegionQuota, ///< waits for a quota of a region
    Queued, ///< waits for a slot of a target
    Running ///< an attempt is running
};

/// \brief A request that this entry is responsible for.
struct Request {
    RequestPhase phase = RequestPhase::Admission;
    bool forwarded = false; ///< received from another entry, which has authenticated and admitted it
    bool idempotent = true;
    bool hasReservation = false; ///< its idempotency key is recorded for it at the record holders
    bool answerStarted = false;
    bool cancelled = false; ///< the caller closed its connection
    bool withdrawn = false; ///< its key or account was withdrawn while it was running
    bool mayHaveRun = false; ///< an earlier attempt ended with an unknown outcome
    std::string service;
    std::string account; ///< empty if the path needs no API key
    std::string keyId;
    std::string idempotencyKey;
    TimePoint arrivedAt;
    TimePoint admittedAt;
    TimePoint deadline;
    std::uint32_t attempt = 0; ///< number of the current attempt, from 1
    TimePoint attemptStartedAt;
    std::string target; ///< owned target that runs the current attempt; empty if the attempt was forwarded
    VmId owner; ///< entry that the current attempt was forwarded to
    std::set<VmId> excludedOwners; ///< entries at which an earlier attempt failed
    std::set<std::string> excludedTargets; ///< owned targets at which an earlier attempt failed
    std::vector<steering::RegionChoice> regions; ///< regions left to try; the first is the current one
    std::size_t nextQuotaIndex = 0; ///< next quota of the current region to acquire
    std::string refusalReason; ///< why the previous region could not take the request
    Duration retryAfter {}; ///< retry delay given with \ref refusalReason
};

/// \brief State of the topic; written only by the functions below.
struct RequestsState {
    std::unordered_map<RequestId, Request> requests;
    std::uint64_t finished = 0; ///< number of requests that have ended
};

namespace requests {

    /// Longest time that a request waits for a loan of quota tokens.
    inline constexpr Duration maxLoanWait = std::chrono::milliseconds(250);
    /// Longest time that a request waits for a loan of a region's quota if another region is left to try.
    inline constexpr Duration maxRegionLoanWait = std::chrono::milliseconds(10);
    /// Longest timeout of a request. Longer ones are cut to this length.
    inline constexpr Duration maxTimeout = std::chrono::seconds(30);

    /// \brief Number of requests that have not ended, including forwarded ones.
    [[nodiscard]] std::size_t inFlight(const State& state) noexcept;

    void onTick(State& state, Context& context);
    void onRequestArrived(State& state, const RequestArrived& event, Context& context);
    void onForwardArrived(State& state, const ForwardArrived& event, Context& context);
    void onQuotaResolved(State& state, const QuotaResolved& event, Context& context);
    void onReservationResolved(State& state, const ReservationResolved& event, Context& context);
    void onSlotGranted(State& state, const SlotGranted& event, Context& context);
    void onQueueRefused(State& state, const QueueRefused& event, Context& context);
    void onAnswerStarted(State& state, const AnswerStarted& event, Context& context);
    void onAttemptEnded(State& state, const AttemptEnded& event, Context& context);
    void onCallerDisconnected(State& state, const CallerDisconnected& event, Context& context);
    void onConfigurationApplied(State& state, const ConfigurationApplied& event, Context& context);

} // namespace requests

} // namespace arbutuscrank
