#pragma once

#include <arbutuscrank/core/log_events.hpp>
#include <arbutuscrank/entry/events.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// \file
/// \brief What an entry VM does in reaction to events. The process performs effects in the order in which they come.

namespace arbutuscrank::entry {

/// \brief Sends a request to a target.
struct SendAttempt {
    RequestId request = 0;
    AttemptId attempt = 0;
    std::string target; ///< id
    std::string address; ///< "ip:port"
    std::string account; ///< empty on open routes
    TimePoint deadline {}; ///< time left until then is told to the target
    Duration connectTimeout {};
    bool atMostOnce = false; ///< must not be lost on a connection that the target closes
    bool freshConnection = false; ///< do not use a kept connection
};

/// \brief Ends an attempt; its connection is closed.
struct CancelAttempt {
    AttemptId attempt = 0;
};

/// \brief Passes the answer of an attempt on to the caller.
struct DeliverAnswer {
    RequestId request = 0;
    AttemptId attempt = 0;
    std::string account; ///< for metrics; empty on open routes
    std::string service;
};

/// \brief Answers a request with a status of this VM's own.
struct AnswerOwn {
    RequestId request = 0;
    std::uint32_t status = 0;
    std::string reason; ///< word from docs/api.md
    Duration retryAfter {}; ///< zero means none is told
    std::string account; ///< for metrics; empty if it is not known
    std::string service;
};

/// \brief Asks for \ref RequestExpired, \ref HedgeDue or \ref AdmissionDue at a time. A later one of the same kind
/// replaces it; an admission and a hedge of one request are never both awaited.
struct SetExpiry {
    RequestId request = 0;
    TimePoint at {};
};
struct SetHedge {
    RequestId request = 0;
    TimePoint at {};
};
struct SetAdmissionDue {
    RequestId request = 0;
    TimePoint at {};
};

/// \brief Closes idle connections to a target.
struct CloseIdle {
    std::string target;
};

/// \brief What one VM tells another by datagram.
using FleetMessage = std::variant<Report, DomainReport, Digest, AdmissionAsk, AdmissionAnswer, AdmissionReturn>;

/// \brief Sends a datagram to VMs.
struct SendMessage {
    FleetMessage message;
    std::vector<std::string> addresses; ///< "ip:port"
};

/// \brief Removes the registration of a VM that was silent for long.
struct ForgetMember {
    std::string vm;
};

/// \brief Writes a log line.
struct WriteLog {
    LogEvent event {};
    std::string detail; ///< "name=value" pairs separated by blanks
};

using EntryEffect = std::variant<SendAttempt, CancelAttempt, DeliverAnswer, AnswerOwn, SetExpiry, SetHedge,
    SetAdmissionDue, CloseIdle, SendMessage, ForgetMember, WriteLog>;

} // namespace arbutuscrank::entry
