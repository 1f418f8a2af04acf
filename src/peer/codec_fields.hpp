#pragma once

#include <arbutuscrank/core/messages.hpp>

/// \file
/// \brief Field lists of the peer messages. The same list serves encoding and decoding.
///
/// Field names are one character long because heartbeats dominate the control traffic. A name is never reused with
/// another meaning; new fields get new names.

namespace arbutuscrank::peer {

// --- Membership ------------------------------------------------------------------------------------------------------

template <typename A> void visitFields(A& archive, ProcessId& it)
{
    archive("v", it.vm);
    archive("i", it.incarnation);
}

template <typename A> void visitFields(A& archive, ServiceLoad& it)
{
    archive("n", it.service);
    archive("s", it.slots);
    archive("f", it.inFlight);
    archive("q", it.queued);
}

template <typename A> void visitFields(A& archive, Member& it)
{
    archive("v", it.process.vm);
    archive("i", it.process.incarnation);
    archive("r", it.region);
    archive("d", it.failureDomain);
    archive("c", it.callerAddress);
    archive("p", it.peerAddress);
    archive("l", it.leaving);
}

template <typename A> void visitFields(A& archive, Heartbeat& it)
{
    archive("s", it.sender);
    archive("m", it.manifestVersion);
    archive("f", it.stalenessMicros);
    archive("l", it.loads);
    archive("o", it.relayedMembers);
}

// --- Configuration ---------------------------------------------------------------------------------------------------

template <typename A> void visitFields(A& archive, Manifest& it)
{
    archive("v", it.version);
    archive("c", it.changeId);
    archive.hashes("p", it.parts);
}

template <typename A> void visitFields(A& archive, ManifestPush& it)
{
    archive("m", it.manifest);
    archive("f", it.stalenessMicros);
}

template <typename A> void visitFields(A& archive, PartRequest& it) { archive.hashes("h", it.hashes); }

template <typename A> void visitFields(A& archive, PartReply& it) { archive("p", it.parts); }

// --- Quotas ----------------------------------------------------------------------------------------------------------

template <typename A> void visitFields(A& archive, LedgerHolder& it)
{
    archive("v", it.process.vm);
    archive("i", it.process.incarnation);
    archive("r", it.recordedRate);
    archive("b", it.recordedBurst);
    archive("w", it.assignedRate);
    archive("x", it.assignedBurst);
}

template <typename A> void visitFields(A& archive, LedgerEntry& it)
{
    archive("r", it.grantRate);
    archive("b", it.grantBurst);
    archive("h", it.holders);
}

template <typename A> void visitFields(A& archive, Ledger& it)
{
    archive("s", it.shard);
    archive("v", it.version);
    archive("q", it.quotas);
}

template <typename A> void visitFields(A& archive, LedgerPush& it) { archive("l", it.ledger); }

template <typename A> void visitFields(A& archive, ShareConfirm& it)
{
    archive("s", it.shard);
    archive("v", it.version);
}

template <typename A> void visitFields(A& archive, LoanRequest& it)
{
    archive("i", it.loanId);
    archive("q", it.quota);
    archive("t", it.tokens);
    archive("f", it.finishedLoans);
}

template <typename A> void visitFields(A& archive, LoanReply& it)
{
    archive("i", it.loanId);
    archive("q", it.quota);
    archive("t", it.tokens);
    archive("b", it.balance);
    archive("r", it.retryAfterMicros);
}

// --- Idempotency keys ------------------------------------------------------------------------------------------------

template <typename A> void visitFields(A& archive, ReserveRequest& it)
{
    archive("i", it.reservationId);
    archive("a", it.account);
    archive("k", it.key);
}

template <typename A> void visitFields(A& archive, ReserveReply& it)
{
    archive("i", it.reservationId);
    archive("s", it.state);
    archive("f", it.isTableComplete);
}

template <typename A> void visitFields(A& archive, RecordOutcome& it)
{
    archive("i", it.reservationId);
    archive("a", it.account);
    archive("k", it.key);
    archive("s", it.state);
}

// --- Target ownership ------------------------------------------------------------------------------------------------

template <typename A> void visitFields(A& archive, OwnerQuery& it) { archive("t", it.targets); }

template <typename A> void visitFields(A& archive, OwnerReply& it) { archive("f", it.inFlight); }

// --- Proof of withdrawal ---------------------------------------------------------------------------------------------

template <typename A> void visitFields(A& archive, ProofRequest& it)
{
    archive("q", it.queryId);
    archive("a", it.account);
}

template <typename A> void visitFields(A& archive, ProofReply& it)
{
    archive("q", it.queryId);
    archive("a", it.account);
    archive("p", it.process);
    archive("m", it.manifestVersion);
    archive("w", it.withdrawn);
    archive("r", it.refusingForMicros);
    archive("l", it.lastRequestAgeMicros);
    archive("y", it.lastAnswerAgeMicros);
    archive("f", it.inFlight);
}

} // namespace arbutuscrank::peer
