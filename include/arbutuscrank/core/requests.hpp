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
/// \brief Topic "requests": the life of each request from arrival to its last attempt (section 10 of docs/design.md).

namespace arbutuscrank {

/// \brief Where a request stands.
enum class RequestPhase { Admission, Reservation, RegionQuota, Queued, Running };

/// \brief A request that this entry is responsible for.
struct Request {
    RequestPhase phase = RequestPhase::Admission;
    bool forwarded = false; ///< came from another entry, which already authenticated and admitted it
    bool idempotent = true;
    bool reserved = false; ///< records of its idempotency key were made
    bool answerStarted = false;
    bool cancelled = false; ///< the caller went away
    bool withdrawn = false; ///< its key or account was withdrawn while it ran
    bool mayHaveRun = false; ///< an earlier attempt ended with an unknown outcome
    std::string service;
    std::string account; ///< empty on open routes
    std::string keyId;
    std::string idempotencyKey;
    TimePoint arrivedAt;
    TimePoint admittedAt;
    TimePoint deadline;
    std::uint32_t attempt = 0; ///< number of the current attempt, from 1
    TimePoint attemptStartedAt;
    std::string target; ///< own target of the current attempt; empty if forwarded
    VmId owner; ///< owner that the current attempt was forwarded to
    std::set<VmId> excludedOwners;
    std::set<std::string> excludedTargets; ///< own targets that refused it before
    std::vector<steering::RegionChoice> regions; ///< choices left; the first is being tried
    std::size_t nextQuota = 0; ///< quota of the first choice that is asked for next
    std::string refusalReason; ///< why the last choice failed
    Duration retryAfter {}; ///< as given with \ref refusalReason
};

/// \brief State of the topic; written only by the functions below.
struct RequestsState {
    std::unordered_map<RequestId, Request> requests;
    std::uint64_t finished = 0;
};

namespace requests {

    /// Longest wait for a loan of quota tokens.
    inline constexpr Duration loanWait = std::chrono::milliseconds(250);
    /// Longest wait for a loan of a region's quota while another region is left to try.
    inline constexpr Duration regionLoanWait = std::chrono::milliseconds(10);
    /// Longest deadline that a caller may ask for.
    inline constexpr Duration maxTimeout = std::chrono::seconds(30);

    /// \brief Requests that have not ended, forwarded ones included.
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
