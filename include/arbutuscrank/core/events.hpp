#pragma once

#include <arbutuscrank/core/messages.hpp>
#include <arbutuscrank/core/types.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// \brief Everything that can happen to the decision core.

namespace arbutuscrank {

// --- Time and life of the process ------------------------------------------------------------------------------------

/// \brief Comes from the timer service every 50 ms.
struct Tick { };

/// \brief A graceful stop was asked for.
struct StopRequested { };

// --- Platform --------------------------------------------------------------------------------------------------------

/// \brief One line of the platform's lagging VM list.
struct VmListEntry {
    VmId vm;
    std::string region;
    std::string failureDomain;
    std::string callerAddress;
    std::string peerAddress;
    bool leaving = false;
};

/// \brief The VM list was read.
struct VmListRead {
    std::vector<VmListEntry> vms;
};

/// \brief The VM list could not be read.
struct VmListFailed {
    std::string detail;
};

/// \brief An object was read, or a watch returned. Version 0 means that the object does not exist.
struct ObjectRead {
    StoreToken token = 0;
    std::string key;
    ObjectVersion version = 0;
    std::string value;
};

/// \brief A conditional update took effect.
struct ObjectWritten {
    StoreToken token = 0;
    std::string key;
    ObjectVersion version = 0;
};

/// \brief Why a store call failed.
enum class StoreFailure {
    Conflict, ///< the object has another version; the write had no effect
    Unavailable, ///< the call had no effect
    Unknown, ///< the write may have taken effect
    TimedOut, ///< a watch ended without a change, or a read got no answer
};

/// \brief A store call failed.
struct StoreCallFailed {
    StoreToken token = 0;
    std::string key;
    StoreFailure failure = StoreFailure::Unavailable;
    std::string detail;
};

// --- Peers -----------------------------------------------------------------------------------------------------------

/// \brief A message from another daemon.
struct PeerMessageReceived {
    ProcessId from;
    PeerMessage message;
};

/// \brief The session to a peer broke or could not be opened. Messages under way may be lost.
struct PeerConnectionLost {
    VmId vm;
};

// --- Requests --------------------------------------------------------------------------------------------------------

/// \brief A caller's request with its whole body has arrived.
struct RequestArrived {
    RequestId id = 0;
    std::string method;
    std::string path;
    std::string key; ///< as the caller presented it; empty if none
    bool idempotent = true;
    std::string idempotencyKey; ///< empty if none
    std::optional<Duration> timeout; ///< absent: the service's default
    std::uint64_t bodyBytes = 0;
};

/// \brief Another entry asks this one to run a request on one of the targets it owns.
struct ForwardArrived {
    RequestId id = 0;
    ProcessId from;
    std::string service;
    std::string account; ///< empty on open routes
    bool idempotent = true;
    Duration timeout {}; ///< time left until the deadline
};

/// \brief How an attempt to run a request ended.
enum class AttemptOutcome {
    Complete, ///< the whole answer went to the caller (or to the forwarding entry)
    NotRun, ///< the request certainly did not run
    Unknown, ///< the request may have run
};

/// \brief An attempt ended.
struct AttemptEnded {
    RequestId id = 0;
    std::uint32_t attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    bool answerStarted = false; ///< part of an answer already went to the caller
    bool shed = false; ///< the target or owner refused because of load
    int status = 0; ///< HTTP status of the answer; 0 if there was none
    std::optional<double> reportedLoad; ///< load that the target reported, 0 to 1
    Duration retryAfter {}; ///< as given by the target or owner; 0 if none
    std::string detail;
    bool cancelled = false; ///< ended by this process, not by the other side: says nothing about its health
};

/// \brief The first byte of an answer came from the target or from the owner.
struct AnswerStarted {
    RequestId id = 0;
    std::uint32_t attempt = 0;
};

/// \brief The caller (or the forwarding entry) went away.
struct CallerDisconnected {
    RequestId id = 0;
};

/// \brief A probe of a target ended.
struct ProbeEnded {
    std::string target;
    bool healthy = false;
    std::optional<double> reportedLoad;
};

/// \brief An operator asks which entries have stopped an account's traffic.
struct ProofQueryReceived {
    std::uint64_t queryId = 0;
    std::string account;
};

// --- Follow-ups: events that one topic raises for others
// ---------------------------------------------------------------

/// \brief A new configuration version is in force in this process.
struct ConfigurationApplied {
    ManifestVersion version = 0;
};

/// \brief What changed about a member.
enum class MemberChange {
    Joined, ///< first seen, or seen with a new incarnation
    Trusted, ///< heard again after suspicion
    Suspected, ///< silent for too long; says nothing about whether it still runs
    Leaving, ///< announced its graceful stop
    Gone, ///< positive evidence that this incarnation no longer runs
};

/// \brief A member changed.
struct MemberChanged {
    ProcessId process;
    MemberChange change = MemberChange::Joined;
};

/// \brief A request that waited for quota tokens got them or was refused.
struct QuotaResolved {
    RequestId id = 0;
    std::string quota;
    bool granted = false;
    Duration retryAfter {}; ///< when refused: time until a token is expected
};

/// \brief A request that waited for its reservation can go on or not.
struct ReservationResolved {
    RequestId id = 0;
    bool available = false; ///< enough record holders answered
    RecordState state = RecordState::New; ///< New: the request may run
};

/// \brief A queued request got a slot of a target.
struct SlotGranted {
    RequestId id = 0;
    std::string target;
    std::string address;
};

/// \brief A queued request waited too long or lost its place.
struct QueueRefused {
    RequestId id = 0;
    std::string reason;
    Duration retryAfter {};
};

/// \brief Any event.
using Event = std::variant<Tick, StopRequested, VmListRead, VmListFailed, ObjectRead, ObjectWritten, StoreCallFailed,
    PeerMessageReceived, PeerConnectionLost, RequestArrived, ForwardArrived, AttemptEnded, AnswerStarted,
    CallerDisconnected, ProbeEnded, ProofQueryReceived, ConfigurationApplied, MemberChanged, QuotaResolved,
    ReservationResolved, SlotGranted, QueueRefused>;

} // namespace arbutuscrank
