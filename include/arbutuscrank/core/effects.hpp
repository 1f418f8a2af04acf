#pragma once

#include <arbutuscrank/core/events.hpp>
#include <arbutuscrank/core/log_events.hpp>
#include <arbutuscrank/core/messages.hpp>
#include <arbutuscrank/core/types.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// \brief Effects that the decision core requests and the daemon around it carries out.

namespace arbutuscrank {

class LookupTable;

// --- Peers -----------------------------------------------------------------------------------------------------------

/// \brief Sends a message to a peer. The message is lost if there is no session to that VM.
struct SendMessage {
    VmId to;
    PeerMessage message;
};

/// \brief A peer to which a session is kept open.
struct PeerEndpoint {
    VmId vm;
    std::string address; ///< "ip:port"
};

/// \brief Replaces the set of peers to which sessions are kept open.
struct SetPeers {
    std::vector<PeerEndpoint> peers;
};

// --- Platform --------------------------------------------------------------------------------------------------------

/// \brief Reads an object; answered by \ref ObjectRead or \ref StoreCallFailed.
struct ReadObject {
    StoreToken token = 0;
    std::string key;
};

/// \brief Writes an object if its version is the expected one; answered by \ref ObjectWritten or \ref StoreCallFailed.
struct WriteObject {
    StoreToken token = 0;
    std::string key;
    std::string value;
    ObjectVersion expected = 0; ///< version that the object must have; 0 if it must not exist
};

/// \brief Waits until the object is newer than \p after; answered by \ref ObjectRead or \ref StoreCallFailed.
struct WatchObject {
    StoreToken token = 0;
    std::string key;
    ObjectVersion after = 0;
};

/// \brief Reads the VM list; answered by \ref VmListRead or \ref VmListFailed.
struct ListVms { };

// --- Requests --------------------------------------------------------------------------------------------------------

/// \brief Runs a request on a target that this entry owns.
struct RunAttempt {
    RequestId id = 0;
    std::uint32_t attempt = 0;
    std::string service;
    std::string account;
    std::string target;
    std::string address;
    TimePoint deadline;
    TimePoint admittedAt; ///< when this attempt started
};

/// \brief Sends a request to the entry that owns a target.
struct ForwardAttempt {
    RequestId id = 0;
    std::uint32_t attempt = 0;
    std::string service;
    std::string account;
    VmId owner;
    std::string address; ///< peer address of the owner
    bool idempotent = true;
    TimePoint deadline;
    TimePoint admittedAt; ///< when this attempt started
};

/// \brief The answer that a caller receives if no answer of a target is passed on.
struct Refusal {
    int status = 503;
    std::string reason; ///< a reason listed in docs/api.md, such as "rate-exceeded"
    bool certainlyNotRun = true; ///< whether no target ran the request; if false, the outcome is unknown
    Duration retryAfter {}; ///< 0: no Retry-After header
    std::string detail; ///< human-readable explanation
};

/// \brief Ends a request with a refusal or an error.
struct RefuseRequest {
    RequestId id = 0;
    Refusal refusal;
    std::string service; ///< empty if the request was refused on arrival, before its state was created
    std::string account; ///< as \ref service; also empty if the path needs no API key
};

/// \brief Cancels an attempt whose result is no longer needed and closes its connection; always answered by
/// \ref AttemptEnded.
struct CancelAttempt {
    RequestId id = 0;
    std::uint32_t attempt = 0;
};

/// \brief Closes the callers' connections whose latest request used an account.
struct CloseConnections {
    std::string account;
    std::string keyId; ///< empty: all keys of the account
};

/// \brief Probes a target; answered by \ref ProbeEnded.
struct ProbeTarget {
    std::string target;
    std::string address;
};

/// \brief Sets how many idle connections are kept open to a target that this entry owns.
struct SetIdleConnections {
    std::string target;
    std::string address;
    std::uint32_t idleConnections = 0; ///< connections to keep open in advance; 0 closes the idle ones
    std::uint32_t maxConnections = 0; ///< largest number of open connections, idle or in use
};

// --- Other -----------------------------------------------------------------------------------------------------------

/// \brief Publishes the table from which lookup requests are answered.
struct PublishLookup {
    std::shared_ptr<const LookupTable> table;
};

/// \brief Returns the result of a withdrawal proof: what the entries reported about an account's traffic.
struct ProofResult {
    std::uint64_t queryId = 0;
    std::string account;
    std::vector<ProofReply> replies;
    /// Entries that did not answer, do not refuse the account yet, or still run its requests.
    std::vector<VmId> unconfirmed;
};

/// \brief Writes a numbered log event.
struct WriteLog {
    LogEvent event = LogEvent::ProcessStarted;
    std::string detail; ///< "name=value" pairs
};

/// \brief Ends the process after a completed graceful shutdown.
struct ExitProcess { };

/// \brief Any effect.
using Effect = std::variant<SendMessage, SetPeers, ReadObject, WriteObject, WatchObject, ListVms, RunAttempt,
    ForwardAttempt, RefuseRequest, CancelAttempt, CloseConnections, ProbeTarget, SetIdleConnections, PublishLookup,
    ProofResult, WriteLog, ExitProcess>;

/// \brief Effects and follow-up events that one step of the reducer produces.
struct Outbox {
    std::vector<Effect> effects;
    std::deque<Event> followUps; ///< handled by the reducer before it returns
};

} // namespace arbutuscrank
