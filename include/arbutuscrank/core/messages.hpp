#pragma once

#include <arbutuscrank/core/types.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// \brief Messages between daemons. The peer library encodes them as CBOR.

namespace arbutuscrank {

// --- Membership ------------------------------------------------------------------------------------------------------

/// \brief Load of the targets of one service that the sender owns.
struct ServiceLoad {
    std::string service;
    std::uint32_t slots = 0; ///< slots of all usable targets that it owns
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
};

/// \brief A daemon as it is known to other daemons.
struct Member {
    ProcessId process;
    std::string region;
    std::string failureDomain;
    std::string callerAddress;
    std::string peerAddress;
    bool leaving = false;
};

/// \brief Sent to each peer once a second, and immediately when the sender starts its graceful shutdown.
struct Heartbeat {
    Member sender; ///< region, failure domain and addresses are left out if the receiver already knows them
    ManifestVersion manifestVersion = 0; ///< active version of the sender
    std::int64_t stalenessMicros = 0; ///< time since the store confirmed the version to the sender; negative if never
    std::vector<ServiceLoad> loads;
    std::vector<Member> relayedMembers; ///< a few other members whose heartbeats the sender receives directly
};

// --- Configuration ---------------------------------------------------------------------------------------------------

/// \brief Lists the immutable parts that make up one version of the configuration.
struct Manifest {
    ManifestVersion version = 0;
    std::string changeId;
    std::map<std::string, std::string> parts; ///< part name to SHA-256 in hex
};

/// \brief Carries the active manifest of the sender, pushed by a relay or sent on request.
struct ManifestPush {
    Manifest manifest;
    std::int64_t stalenessMicros = 0; ///< as in \ref Heartbeat
};

/// \brief Requests parts by hash, or the manifest if there are no hashes or a single empty one.
struct PartRequest {
    std::vector<std::string> hashes;
};

/// \brief Parts by hash, as canonical JSON text.
struct PartReply {
    std::map<std::string, std::string> parts;
};

// --- Quotas ----------------------------------------------------------------------------------------------------------

/// \brief Share of one holder in a quota.
struct LedgerHolder {
    ProcessId process;
    MicroTokens recordedRate = 0; ///< upper bound of the rate that the holder may be using, in micro-tokens per second
    MicroTokens recordedBurst = 0; ///< upper bound of the burst that the holder may be using
    MicroTokens assignedRate = 0; ///< rate that the holder has to change to, in micro-tokens per second
    MicroTokens assignedBurst = 0; ///< burst that the holder has to change to
};

/// \brief One quota and the shares of its holders.
struct LedgerEntry {
    MicroTokens grantRate = 0; ///< in micro-tokens per second
    MicroTokens grantBurst = 0;
    std::vector<LedgerHolder> holders;
};

/// \brief All quotas of one shard, as kept in the store.
struct Ledger {
    std::uint32_t shard = 0;
    ObjectVersion version = 0;
    std::map<std::string, LedgerEntry> quotas; ///< by quota key
};

/// \brief Carries a ledger that the sender read or wrote.
struct LedgerPush {
    Ledger ledger;
};

/// \brief Confirms that the sender uses at most the shares that a ledger version assigns to it.
struct ShareConfirm {
    std::uint32_t shard = 0;
    ObjectVersion version = 0;
};

/// \brief Requests tokens from a holder.
struct LoanRequest {
    std::uint64_t loanId = 0; ///< unique within the borrower's incarnation
    std::string quota;
    MicroTokens tokens = 0;
    std::vector<std::uint64_t> finishedLoans; ///< earlier loans from this lender that are spent or expired
};

/// \brief Answers a \ref LoanRequest. Zero tokens is a refusal.
struct LoanReply {
    std::uint64_t loanId = 0;
    std::string quota;
    MicroTokens tokens = 0;
    MicroTokens balance = 0; ///< tokens that the lender has left; the borrower chooses its next lender by it
    std::int64_t retryAfterMicros = 0; ///< if refused, time until the lender expects to have a token
};

// --- Idempotency keys ------------------------------------------------------------------------------------------------

/// \brief Asks a record holder to record an idempotency key before the request runs.
struct ReserveRequest {
    std::uint64_t reservationId = 0; ///< unique within the sender's incarnation
    std::string account;
    std::string key;
};

/// \brief State of a request in the record of its idempotency key, in an outcome and in a reply.
enum class RecordState : std::uint8_t {
    New, ///< no other request with this key is recorded
    Started, ///< the request may be running
    Complete, ///< the request ran
    Unknown, ///< the request may have run
    NotRun ///< outcome: the request did not run; record: a tombstone; reply: no record was created
};

/// \brief Answers a \ref ReserveRequest. \ref RecordState::New means that the reservation has the record; NotRun means
/// that no record was created because the table is full or the tombstone of this reservation is still kept.
struct ReserveReply {
    std::uint64_t reservationId = 0;
    RecordState state = RecordState::New;
    bool isTableComplete = false; ///< the sender has run for a record lifetime, so it lost no valid record in a restart
};

/// \brief Sends the outcome of a request to a record holder. NotRun removes the record.
struct RecordOutcome {
    std::uint64_t reservationId = 0;
    std::string account;
    std::string key;
    RecordState state = RecordState::Unknown;
};

// --- Target ownership ------------------------------------------------------------------------------------------------

/// \brief Asks the former owner of targets, on behalf of their new owner, for the requests in flight.
struct OwnerQuery {
    std::vector<std::string> targets;
};

/// \brief Answers an \ref OwnerQuery. The sender starts no new requests on these targets.
struct OwnerReply {
    std::map<std::string, std::uint32_t> inFlight; ///< requests that the sender still runs, by target
};

// --- Proof of withdrawal ---------------------------------------------------------------------------------------------

/// \brief Asks a daemon to report one account's traffic.
struct ProofRequest {
    std::uint64_t queryId = 0;
    std::string account;
};

/// \brief Traffic of an account at one entry. Ages are measured at the time of the reply; negative means never.
struct ProofReply {
    std::uint64_t queryId = 0;
    std::string account;
    ProcessId process;
    ManifestVersion manifestVersion = 0;
    bool withdrawn = false; ///< whether the entry's configuration refuses the account
    std::int64_t refusingForMicros = -1;
    std::int64_t lastRequestAgeMicros = -1; ///< time since the last request was sent to a target
    std::int64_t lastAnswerAgeMicros = -1; ///< time since the last answer of a target ended
    std::uint32_t inFlight = 0;
};

/// \brief Any message between daemons.
using PeerMessage = std::variant<Heartbeat, ManifestPush, PartRequest, PartReply, LedgerPush, ShareConfirm, LoanRequest,
    LoanReply, ReserveRequest, ReserveReply, RecordOutcome, OwnerQuery, OwnerReply, ProofRequest, ProofReply>;

} // namespace arbutuscrank
