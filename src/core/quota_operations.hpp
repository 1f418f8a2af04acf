#pragma once

#include <arbutuscrank/core/state.hpp>

/// \file
/// \brief Functions that the sources of the topic "quota" share.

namespace arbutuscrank::quota {

// --- Pools (quota.cpp) -----------------------------------------------------------------------------------------------

/// Pool of a quota, made if there is none.
QuotaPool& poolFor(State& state, std::string_view key);

/// Ledger entry of a quota, or null.
[[nodiscard]] const LedgerEntry* entryFor(const State& state, std::string_view key);

// --- Loans (quota_loans.cpp) -----------------------------------------------------------------------------------------

/// Tokens of loans that are valid now. Expired ones are moved to the reports.
[[nodiscard]] MicroTokens borrowedLevel(QuotaPool& pool, TimePoint now);

/// Spends tokens of loans first, because they expire, then of the own bucket; all or nothing.
[[nodiscard]] bool spend(QuotaPool& pool, MicroTokens tokens, TimePoint now);

/// Settles the loans that no borrower can spend any more.
void settleExpired(QuotaPool& pool, TimePoint now);

/// Asks lenders for what the waiting requests lack.
void requestLoans(State& state, QuotaPool& pool, Context& context);

/// Counts demand that the own bucket did not meet.
void countBorrowing(QuotaPool& pool, MicroTokens tokens, TimePoint now);

/// Sends reports of finished loans that no request carried, and gives up on late answers.
void tickLoans(State& state, QuotaPool& pool, Context& context);

// --- Waiting requests (quota_waiters.cpp) ----------------------------------------------------------------------------

/// Resolves waiting requests in order of arrival, as far as the tokens go, and asks for loans for the rest.
void serveWaiters(State& state, QuotaPool& pool, Context& context);

/// Refuses the requests whose time is up.
void expireWaiters(State& state, QuotaPool& pool, Context& context);

/// Time until tokens are expected here or at a lender.
[[nodiscard]] Duration retryAfter(const State& state, QuotaPool& pool, MicroTokens tokens, TimePoint now);

// --- Shares (quota_shares.cpp) ---------------------------------------------------------------------------------------

/// Puts a ledger in force if it is newer than the one before.
void applyLedger(State& state, const Ledger& ledger, const VmId& from, Context& context);

/// Confirms the ledger in force, once the loans out of a lowered share allow it.
void confirmShares(State& state, LedgerShard& shard, Context& context);

/// Whether the ledger names this incarnation.
[[nodiscard]] bool holdsShare(const State& state, const LedgerShard& shard);

/// Asks for a new plan of the shard within planDelay.
void planSoon(LedgerShard& shard, TimePoint now);

// --- Writing (quota_writer.cpp) --------------------------------------------------------------------------------------

/// Whether this daemon normally writes the shard.
[[nodiscard]] bool isWriter(const State& state, const LedgerShard& shard);

/// Works out again who writes a shard and whether this daemon would hold shares in it.
void refreshRoles(State& state, std::uint32_t shard, TimePoint now);

/// What this daemon would write now; nullopt if nothing.
[[nodiscard]] std::optional<ledger::Stored> propose(State& state, LedgerShard& shard, TimePoint now);

/// Whether this daemon has a reason to write the shard now.
[[nodiscard]] bool wantsWrite(const State& state, const LedgerShard& shard, TimePoint now);

/// Sends a ledger that this daemon wrote to the holders, and to readers if the holders changed.
void pushLedger(State& state, LedgerShard& shard, bool holdersChanged, Context& context);

/// Sends the ledger again to holders that have not confirmed it.
void repeatPush(State& state, LedgerShard& shard, Context& context);

// --- Store calls (quota_store.cpp) -----------------------------------------------------------------------------------

/// Makes the next store call of a shard if one is needed and allowed.
void stepStore(State& state, std::uint32_t index, Context& context);

} // namespace arbutuscrank::quota
