#pragma once

#include <arbutuscrank/entry/members.hpp>
#include <arbutuscrank/entry/targets.hpp>
#include <arbutuscrank/entry/traffic_policy.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// \file
/// \brief Events that an entry VM reacts to. Each event is reduced together with the time of its arrival.

namespace arbutuscrank::entry {

/// \brief Identifies an attempt to run a request on a target. Unique within one process.
using AttemptId = std::uint64_t;

/// \brief The request of a caller has arrived completely.
struct RequestArrived {
    RequestId request = 0;
    std::string callerRequestId; ///< request ID assigned by the caller, for logs; may be empty
    std::string host;
    std::string path; ///< includes the query
    std::string key; ///< API key; empty if the request has none
    std::string affinity; ///< affinity key; empty if the request has none
    std::optional<Duration> timeLeft; ///< time until the caller's deadline
};

/// \brief A caller closed its connection before it received its answer.
struct CallerDisconnected {
    RequestId request = 0;
};

/// \brief Kind of a target's answer.
enum class AnswerKind {
    Complete, ///< a complete answer with a valid signature of the target
    /// A complete answer with a failure status or without a valid signature; the target may have run the request
    Failure,
    NotRun, ///< the target states that it did not run the request
    Misdirected, ///< the address now belongs to another target; the request was not run
};

/// \brief An attempt ended with an answer.
struct AttemptAnswered {
    RequestId request = 0;
    AttemptId attempt = 0;
    AnswerKind kind = AnswerKind::Complete;
    std::uint32_t status = 0;
    bool deliverable = false; ///< the answer may be forwarded unchanged
    std::optional<LoadReport> load;
    std::string unusableWorkTime; ///< what the answer says instead of \ref LoadReport::workTimePercent
    RateLimitStatement rateLimit;
    bool isLeaving = false; ///< the target is about to stop
    std::optional<Duration> pause; ///< time for which the target wants no request from this VM
};

/// \brief How far an attempt got before it ended without an answer.
enum class AttemptProgress {
    NotConnected, ///< no connection could be opened
    NothingSent, ///< connected, but no byte of the request was sent
    Sent, ///< bytes of the request were sent, so the target may have run it
    Unsendable, ///< the request would have a field that cannot be written, so that it can be sent to no target
};

/// \brief An attempt ended without a usable answer.
struct AttemptFailed {
    RequestId request = 0;
    AttemptId attempt = 0;
    AttemptProgress progress = AttemptProgress::Sent;
    std::string detail; ///< human-readable cause
};

/// \brief The deadline of a request has passed.
struct RequestExpired {
    RequestId request = 0;
};

/// \brief The coordinator has not answered an admission request in time.
struct AdmissionTimedOut {
    RequestId request = 0;
};

/// \brief A hedged request is due: the newest attempt has not been answered in time.
struct HedgeDue {
    RequestId request = 0;
};

/// \brief A configuration was read from the store.
struct PolicyRead {
    TrafficPolicy policy;
};

/// \brief The store confirmed that the configuration is current.
struct PolicyConfirmed {
    TimePoint sentAt {}; ///< when the confirming call was sent
};

/// \brief The list of targets, as one read of the store returned it.
struct TargetsListed {
    std::vector<TargetRecord> records;
    bool isComplete = true; ///< the store has no other targets; otherwise it may have some that the list lacks
};

/// \brief A target was added to the store or changed there.
struct TargetChanged {
    TargetRecord record;
};

/// \brief A target was removed from the store.
struct TargetRemoved {
    std::string id;
    ObjectVersion revision = 0; ///< the store's revision of the removal; 0 if unknown
};

/// \brief The set of evacuated failure domains was read. Their targets receive no requests.
struct EvacuationsChanged {
    EvacuationReading reading;
};

/// \brief The set of failure domains whose evacuations are recorded in the store was read.
struct EvacuationRecordsChanged {
    std::set<std::string> failureDomains;
};

/// \brief The list of registered VMs, as one read of the store returned it.
struct MembersListed {
    std::vector<MemberRecord> records;
    bool isComplete = true; ///< as in \ref TargetsListed
};

/// \brief A VM registered or changed its registration.
struct MemberChanged {
    MemberRecord record;
};

/// \brief The registration of a VM was removed.
struct MemberRemoved {
    std::string vm;
};

/// \brief An answer of the store, or of a feed, was of a greater era than any before.
struct StoreEraRead {
    StoreEra era = 0;
};

/// \brief A call to the store failed or timed out.
struct StoreFailed { };
/// \brief A read of another VM's feed failed.
struct FeedFailed { };
/// \brief A call to the store succeeded.
struct StoreAnswered {
    bool isDirect = true; ///< the store itself answered, not another VM's feed
    bool confirmsPolicy = true; ///< it was a read of the configuration, which is confirmed most often
};

struct VmReportReceived {
    VmReport report;
};
struct DomainReportReceived {
    DomainReport report;
};
struct DigestReceived {
    Digest digest;
};
struct AdmissionRequestReceived {
    AdmissionRequest admissionRequest;
};
struct AdmissionDecisionReceived {
    AdmissionDecision decision;
};
struct TokenReturnReceived {
    TokenReturn tokenReturn;
};

/// \brief Periodic timer event, raised every 200 ms.
struct Tick { };

/// \brief The process was asked to shut down.
struct StopRequested { };

using EntryEvent = std::variant<RequestArrived, CallerDisconnected, AttemptAnswered, AttemptFailed, RequestExpired,
    AdmissionTimedOut, HedgeDue, PolicyRead, PolicyConfirmed, TargetsListed, TargetChanged, TargetRemoved,
    EvacuationsChanged, EvacuationRecordsChanged, MembersListed, MemberChanged, MemberRemoved, StoreEraRead,
    StoreFailed, FeedFailed, StoreAnswered, VmReportReceived, DomainReportReceived, DigestReceived,
    AdmissionRequestReceived, AdmissionDecisionReceived, TokenReturnReceived, Tick, StopRequested>;

} // namespace arbutuscrank::entry
