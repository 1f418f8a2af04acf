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

/// \brief Free slots of the targets that the sender owns, for one service.
struct ServiceLoad {
    std::string service;
    std::uint32_t slots = 0; ///< slots of all usable owned targets
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
};

/// \brief A daemon as other daemons see it.
struct Member {
    ProcessId process;
    std::string region;
    std::string failureDomain;
    std::string callerAddress;
    std::string peerAddress;
    bool leaving = false;
};

/// \brief Sent to each peer once a second, and at once when the sender starts to leave.
struct Heartbeat {
    Member sender; ///< region, failure domain and addresses are empty while the receiver knows them
    ManifestVersion manifestVersion = 0; ///< version in force at the sender
    std::int64_t stalenessMicros = 0; ///< time since the sender knew that its version was current; negative if never
    std::vector<ServiceLoad> loads;
    std::vector<Member> relayedMembers; ///< a few other members that the sender hears directly
};

// --- Configuration ---------------------------------------------------------------------------------------------------

/// \brief The manifest: which immutable parts make up one version of the configuration.
struct Manifest {
    ManifestVersion version = 0;
    std::string changeId;
    std::map<std::string, std::string> parts; ///< part name to SHA-256 in hex
};

/// \brief A relay passes on the manifest.
struct ManifestPush {
    Manifest manifest;
    std::int64_t stalenessMicros = 0; ///< as in \ref Heartbeat
};

/// \brief Asks a peer for its manifest (part hash empty) or for parts by hash.
struct PartRequest {
    std::vector<std::string> hashes;
};

/// \brief Parts by hash, as canonical JSON text.
struct PartReply {
    std::map<std::string, std::string> parts;
};

// --- Quotas ----------------------------------------------------------------------------------------------------------

/// \brief One holder's line in a ledger.
struct LedgerHolder {
    ProcessId process;
    MicroTokens recordedRate = 0; ///< most that the holder may be using, micro-tokens per second
    MicroTokens recordedBurst = 0;
    MicroTokens assignedRate = 0; ///< what the holder should use
    MicroTokens assignedBurst = 0;
};

/// \brief Shares of one quota.
struct LedgerEntry {
    MicroTokens grantRate = 0; ///< micro-tokens per second
    MicroTokens grantBurst = 0;
    std::vector<LedgerHolder> holders;
};

/// \brief All quotas of one shard, as the store keeps them.
struct Ledger {
    std::uint32_t shard = 0;
    ObjectVersion version = 0;
    std::map<std::string, LedgerEntry> quotas; ///< by quota key
};

/// \brief Passes on a ledger that the sender read or wrote.
struct LedgerPush {
    Ledger ledger;
};

/// \brief A holder confirms that it uses at most the wanted shares of a ledger version.
struct ShareConfirm {
    std::uint32_t shard = 0;
    ObjectVersion version = 0;
};

/// \brief Asks a holder for tokens.
struct LoanRequest {
    std::uint64_t loanId = 0; ///< unique within the borrower's incarnation
    std::string quota;
    MicroTokens tokens = 0;
    std::vector<std::uint64_t> finishedLoans; ///< earlier loans from this lender, spent or expired
};

/// \brief Answers a \ref LoanRequest. Zero tokens is a refusal.
struct LoanReply {
    std::uint64_t loanId = 0;
    std::string quota;
    MicroTokens tokens = 0;
    MicroTokens balance = 0; ///< what the lender has left, for the choice of the next lender
    std::int64_t retryAfterMicros = 0; ///< when the lender expects one token, if it refused
};

// --- Idempotency keys ------------------------------------------------------------------------------------------------

/// \brief Asks a record holder to record an idempotency key before the request runs.
struct ReserveRequest {
    std::uint64_t reservationId = 0; ///< unique within the sender's incarnation
    std::string account;
    std::string key;
};

/// \brief State of a recorded request.
enum class RecordState : std::uint8_t { New, Started, Complete, Unknown, NotRun };

/// \brief Answers a \ref ReserveRequest; \ref RecordState::New means that the record was made now, NotRun that none
/// was made because the table is full.
struct ReserveReply {
    std::uint64_t reservationId = 0;
    RecordState state = RecordState::New;
    bool isTableComplete = false; ///< the sender has run for as long as records last, so no restart made it forget any
};

/// \brief Tells a record holder how the request ended. NotRun removes the record.
struct RecordOutcome {
    std::uint64_t reservationId = 0;
    std::string account;
    std::string key;
    RecordState state = RecordState::Unknown;
};

// --- Target ownership ------------------------------------------------------------------------------------------------

/// \brief A new owner asks the former owner about targets.
struct OwnerQuery {
    std::vector<std::string> targets;
};

/// \brief Requests that the former owner still runs on each target; it sends no new ones there.
struct OwnerReply {
    std::map<std::string, std::uint32_t> inFlight;
};

// --- Proof of withdrawal ---------------------------------------------------------------------------------------------

/// \brief Asks what a daemon knows of one account's traffic.
struct ProofRequest {
    std::uint64_t queryId = 0;
    std::string account;
};

/// \brief What one entry did for an account. Ages count back from the reply; negative means never.
struct ProofReply {
    std::uint64_t queryId = 0;
    std::string account;
    ProcessId process;
    ManifestVersion manifestVersion = 0;
    bool withdrawn = false; ///< the entry's configuration refuses the account
    std::int64_t refusingForMicros = -1;
    std::int64_t lastRequestAgeMicros = -1; ///< since the last request was sent to a target
    std::int64_t lastAnswerAgeMicros = -1; ///< since the last byte from a target
    std::uint32_t inFlight = 0;
};

/// \brief Any message between daemons.
using PeerMessage = std::variant<Heartbeat, ManifestPush, PartRequest, PartReply, LedgerPush, ShareConfirm, LoanRequest,
    LoanReply, ReserveRequest, ReserveReply, RecordOutcome, OwnerQuery, OwnerReply, ProofRequest, ProofReply>;

} // namespace arbutuscrank
