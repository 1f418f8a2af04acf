#pragma once

#include <arbutuscrank/core/log_events.hpp>
#include <arbutuscrank/entry/events.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// \file
/// \brief Effects that the reducer of an entry VM requests. The process performs them in the order of the list.

namespace arbutuscrank::entry {

/// \brief Sends a request to a target.
struct SendAttempt {
    RequestId request = 0;
    AttemptId attempt = 0;
    std::string target; ///< id
    std::string address; ///< "ip:port"
    std::string account; ///< empty on open routes
    TimePoint deadline {}; ///< the time left until the deadline is sent along with the request
    Duration connectTimeout {};
    bool atMostOnce = false; ///< not sent on an idle connection that the target may be about to close
    bool freshConnection = false; ///< opens a new connection instead of reusing an idle one
};

/// \brief Cancels an attempt and closes its connection.
struct CancelAttempt {
    AttemptId attempt = 0;
};

/// \brief Forwards the answer of an attempt to the caller.
struct DeliverAnswer {
    RequestId request = 0;
    AttemptId attempt = 0;
    std::string account; ///< for metrics; empty on open routes
    std::string service;
};

/// \brief Answers a request with a status that this VM generates itself.
struct SendLocalAnswer {
    RequestId request = 0;
    std::uint32_t status = 0;
    std::string reason; ///< reason code from docs/api.md
    Duration retryAfter {}; ///< zero omits Retry-After
    std::string account; ///< for metrics; empty if unknown
    std::string service;
};

/// \brief Sets the timer of a request that raises \ref RequestExpired. A later one replaces it.
struct SetExpiryTimer {
    RequestId request = 0;
    TimePoint at {};
};

/// \brief Sets the timer of a request that raises \ref HedgeDue. Replaces an earlier \ref SetHedgeTimer or
/// \ref SetAdmissionTimer of the request: the process keeps one timer for both.
struct SetHedgeTimer {
    RequestId request = 0;
    TimePoint at {};
};

/// \brief Sets the timer of a request that raises \ref AdmissionTimedOut. Replaces an earlier \ref SetAdmissionTimer or
/// \ref SetHedgeTimer of the request: the process keeps one timer for both.
struct SetAdmissionTimer {
    RequestId request = 0;
    TimePoint at {};
};

/// \brief Closes idle connections to a target.
struct CloseIdleConnections {
    std::string target;
};

/// \brief A datagram between two entry VMs.
using FleetMessage = std::variant<VmReport, DomainReport, Digest, AdmissionRequest, AdmissionDecision, TokenReturn>;

/// \brief Sends a datagram to other entry VMs.
struct SendMessage {
    FleetMessage message;
    std::vector<std::string> addresses; ///< "ip:port"
};

/// \brief Removes the registration of an unresponsive VM from the store.
struct RemoveRegistration {
    std::string vm;
};

/// \brief Records in the store that a failure domain is evacuated.
struct RecordEvacuation {
    std::string failureDomain;
};

/// \brief Removes the record of an evacuation from the store.
struct RemoveEvacuationRecord {
    std::string failureDomain;
};

/// \brief Repeats the read of the configuration now, instead of waiting for the current one, which may never be
/// answered.
struct RepeatPolicyRead { };

/// \brief Abandons all reads and writes of the store that were begun in an earlier era, and lists all collections anew
/// if any was read. Answers of earlier eras are ignored from now on.
struct RestartStoreCalls {
    StoreEra era = 0;
};

/// \brief Writes a log line.
struct WriteLog {
    LogEvent event {};
    std::string detail; ///< "name=value" pairs separated by spaces
};

using EntryEffect = std::variant<SendAttempt, CancelAttempt, DeliverAnswer, SendLocalAnswer, SetExpiryTimer,
    SetHedgeTimer, SetAdmissionTimer, CloseIdleConnections, SendMessage, RemoveRegistration, RecordEvacuation,
    RemoveEvacuationRecord, RepeatPolicyRead, RestartStoreCalls, WriteLog>;

} // namespace arbutuscrank::entry
