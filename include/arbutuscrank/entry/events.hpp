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
/// \brief Everything that an entry VM reacts to. Each event is reduced together with the time at which it came.

namespace arbutuscrank::entry {

/// \brief Number of one attempt to run a request on a target, unique within one process.
using AttemptId = std::uint64_t;

// --- Callers ---------------------------------------------------------------------------------------------------------

/// \brief A caller's request was read as a whole.
struct RequestArrived {
    RequestId request = 0;
    std::string callerId; ///< the caller's own id of the request, for logs; may be empty
    std::string host;
    std::string path; ///< with query
    std::string key; ///< empty if the caller sent none
    std::string affinity; ///< empty if the caller sent none
    std::optional<Duration> timeLeft; ///< how long the caller waits from now on
};

/// \brief A caller closed its connection before its answer.
struct CallerLeft {
    RequestId request = 0;
};

// --- Attempts --------------------------------------------------------------------------------------------------------

/// \brief What a target answered.
enum class AnswerKind {
    Complete, ///< a whole answer that the target vouches for
    Failure, ///< a whole answer with a failure status
    NotRun, ///< the target says that it did not run the request
    Misdirected, ///< another target has the address; the request was not run
};

/// \brief An attempt ended with an answer.
struct AttemptAnswered {
    RequestId request = 0;
    AttemptId attempt = 0;
    AnswerKind kind = AnswerKind::Complete;
    std::uint32_t status = 0;
    bool deliverable = false; ///< the answer may be passed on as it is
    std::optional<LoadReport> load;
};

/// \brief How far an attempt came that ended without an answer.
enum class AttemptProgress {
    NotConnected, ///< no connection was opened
    NothingSent, ///< no byte of the request was sent
    Sent, ///< the target may have run the request
};

/// \brief An attempt ended without a usable answer.
struct AttemptFailed {
    RequestId request = 0;
    AttemptId attempt = 0;
    AttemptProgress progress = AttemptProgress::Sent;
    std::string detail; ///< cause in words
};

/// \brief The time at which a request is given up.
struct RequestExpired {
    RequestId request = 0;
};

/// \brief The time at which the coordinator is asked once more for an admission that it has not answered.
struct AdmissionDue {
    RequestId request = 0;
};

/// \brief The time at which an unanswered attempt gets a second one beside it.
struct HedgeDue {
    RequestId request = 0;
};

// --- Store -----------------------------------------------------------------------------------------------------------

/// \brief A configuration was read from the store.
struct PolicyRead {
    TrafficPolicy policy;
};

/// \brief The store confirmed the configuration with a call that was sent at a time.
struct PolicyConfirmed {
    TimePoint sentAt {};
};

/// \brief All targets of the store, as of one read.
struct TargetsListed {
    std::vector<TargetRecord> records;
};
struct TargetChanged {
    TargetRecord record;
};
struct TargetRemoved {
    std::string id;
};

/// \brief Failure domains whose targets get no requests.
struct EvacuationsChanged {
    std::set<std::string> failureDomains;
};

struct MembersListed {
    std::vector<MemberRecord> records;
};
struct MemberChanged {
    MemberRecord record;
};
struct MemberRemoved {
    std::string vm;
};

/// \brief A call to the store failed or was not answered in time.
struct StoreFailed { };
/// \brief A call to the store was answered.
struct StoreAnswered { };

// --- Fleet and process -----------------------------------------------------------------------------------------------

struct ReportReceived {
    Report report;
};
struct DomainReportReceived {
    DomainReport report;
};
struct DigestReceived {
    Digest digest;
};
struct AdmissionAsked {
    AdmissionAsk ask;
};
struct AdmissionAnswered {
    AdmissionAnswer answer;
};
struct AdmissionReturned {
    AdmissionReturn returned;
};

/// \brief Comes several times a second.
struct Tick { };

/// \brief The process was told to stop.
struct StopRequested { };

using EntryEvent = std::variant<RequestArrived, CallerLeft, AttemptAnswered, AttemptFailed, RequestExpired,
    AdmissionDue, HedgeDue, PolicyRead, PolicyConfirmed, TargetsListed, TargetChanged, TargetRemoved,
    EvacuationsChanged, MembersListed, MemberChanged, MemberRemoved, StoreFailed, StoreAnswered, ReportReceived,
    DomainReportReceived, DigestReceived, AdmissionAsked, AdmissionAnswered, AdmissionReturned, Tick, StopRequested>;

} // namespace arbutuscrank::entry
