#pragma once

#include <arbutuscrank/core/messages.hpp>
#include <arbutuscrank/core/types.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// \brief Events that the decision core handles.

namespace arbutuscrank {

// --- Time and process lifecycle --------------------------------------------------------------------------------------

/// \brief Raised by the timer service every 50 ms.
struct Tick { };

/// \brief A graceful shutdown was requested.
struct StopRequested { };

// --- Platform --------------------------------------------------------------------------------------------------------

/// \brief One entry of the platform's VM list, which may be out of date.
struct VmListEntry {
    VmId vm; ///< empty if the entry names no VM; it is ignored then
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

/// \brief A read or a watch returned an object.
struct ObjectRead {
    StoreToken token = 0;
    std::string key;
    ObjectVersion version = 0; ///< 0 if the object does not exist
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
    TimedOut, ///< a watch ended without a change, or a read was not answered in time
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

/// \brief The session to a peer broke or could not be opened. Messages in flight may be lost.
struct PeerConnectionLost {
    VmId vm;
};

// --- Requests --------------------------------------------------------------------------------------------------------

/// \brief A caller's request with its whole body has arrived.
struct RequestArrived {
    RequestId id = 0;
    std::string method;
    std::string path;
    std::string key; ///< API key as the caller sent it; empty if none
    bool idempotent = true;
    std::string idempotencyKey; ///< empty if none
    std::optional<Duration> timeout; ///< nullopt for the service's default
    std::uint64_t bodyBytes = 0;
};

/// \brief Another entry forwarded a request, to be run on one of the targets that this entry owns.
struct ForwardArrived {
    RequestId id = 0;
    ProcessId from;
    std::string service;
    std::string account; ///< empty if the path needs no API key
    bool idempotent = true;
    Duration timeout {}; ///< time left until the deadline
};

/// \brief How an attempt to run a request ended.
enum class AttemptOutcome {
    Complete, ///< the whole answer was sent to the caller (or to the forwarding entry)
    NotRun, ///< the request certainly did not run
    Unknown, ///< the request may have run
};

/// \brief An attempt ended.
struct AttemptEnded {
    RequestId id = 0;
    std::uint32_t attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    bool answerStarted = false; ///< part of an answer was already sent to the caller
    bool shed = false; ///< the target or owner shed the request because of load
    int status = 0; ///< HTTP status of the answer; 0 if there was none
    std::optional<double> reportedLoad; ///< load that the target reported, 0 to 1
    Duration retryAfter {}; ///< retry delay that the target or owner requested; 0 if none
    std::string detail;
    bool cancelled = false; ///< ended by this process, so the outcome does not count for the health of the other side
};

/// \brief The first byte of an answer arrived from the target or from the owner.
struct AnswerStarted {
    RequestId id = 0;
    std::uint32_t attempt = 0;
};

/// \brief The caller (or the forwarding entry) closed its connection before the answer was complete.
struct CallerDisconnected {
    RequestId id = 0;
};

/// \brief A probe of a target ended.
struct ProbeEnded {
    std::string target;
    bool healthy = false;
    std::optional<double> reportedLoad;
};

/// \brief An operator asked which entries have stopped an account's traffic.
struct ProofQueryReceived {
    std::uint64_t queryId = 0;
    std::string account;
};

// --- Follow-ups: events that one topic raises for others -------------------------------------------------------------

/// \brief This process has applied a new configuration version.
struct ConfigurationApplied {
    ManifestVersion version = 0;
};

/// \brief Kind of a change of a member.
enum class MemberChange {
    Joined, ///< seen for the first time, or with a new incarnation
    Trusted, ///< heartbeats arrive again after it was suspected
    Suspected, ///< no heartbeat for too long; it may still be running
    Leaving, ///< announced its graceful shutdown
    Gone, ///< this incarnation is proven to have ended
};

/// \brief The state of a member changed.
struct MemberChanged {
    ProcessId process;
    MemberChange change = MemberChange::Joined;
};

/// \brief A request that waited for quota tokens received them or was refused.
struct QuotaResolved {
    RequestId id = 0;
    std::string quota;
    bool granted = false;
    Duration retryAfter {}; ///< if refused, time until a token is expected to be available
};

/// \brief The reservation of an idempotency key that a request waited for was decided.
struct ReservationResolved {
    RequestId id = 0;
    /// False if too few record holders answered in time, there are none, or one of them could not create the record.
    bool available = false;
    /// Meaningful only if \ref available: New if the request may run, else the state of the earlier request.
    RecordState state = RecordState::New;
};

/// \brief A queued request was given a slot of a target.
struct SlotGranted {
    RequestId id = 0;
    std::string target;
    std::string address;
};

/// \brief A queued request waited too long or was removed from its queue.
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
