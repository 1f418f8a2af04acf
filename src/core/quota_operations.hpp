#pragma once

#include <arbutuscrank/core/state.hpp>

/// \file
/// \brief Operations on pools, loans, shares and ledgers that the source files of the topic "quota" share.

namespace arbutuscrank::quota {

// --- Pools (quota.cpp) -----------------------------------------------------------------------------------------------

/// \brief Returns the pool of a quota and adds one if there is none.
QuotaPool& findOrAddPool(State& state, std::string_view key);

/// \brief Finds the ledger entry of a quota.
/// \returns null if there is none
[[nodiscard]] const LedgerEntry* findLedgerEntry(const State& state, std::string_view key);

// --- Loans (quota_loans.cpp) -----------------------------------------------------------------------------------------

/// \brief Removes loans that are spent or expired, and marks them for a report to their lenders.
/// \returns tokens left in the other borrowed loans
[[nodiscard]] MicroTokens dropFinishedLoans(QuotaPool& pool, TimePoint now);

/// \brief Spends tokens of borrowed loans first, because those expire, and then of the own bucket.
/// \returns false if there are not enough, and then spends none
[[nodiscard]] bool spendTokens(QuotaPool& pool, MicroTokens tokens, TimePoint now);

/// \brief Frees the burst of the bucket that is reserved for expired loans.
void releaseExpiredLoans(QuotaPool& pool, TimePoint now);

/// \brief Requests loans for the tokens that the waiting requests lack.
void requestLoans(State& state, QuotaPool& pool, Context& context);

/// \brief Adds tokens to the estimate \ref QuotaPool::unmetDemandPerSecond.
void addUnmetDemand(QuotaPool& pool, MicroTokens tokens, TimePoint now);

/// \brief Handles loan requests whose answer is late, and sends the reports of finished loans that no loan request has
/// carried.
void updateLoans(State& state, QuotaPool& pool, Context& context);

// --- Waiting requests (quota_waiters.cpp) ----------------------------------------------------------------------------

/// \brief Resolves waiting requests in order of arrival while there are tokens, and requests loans for the rest.
void serveWaiters(State& state, QuotaPool& pool, Context& context);

/// \brief Refuses the requests whose \ref QuotaPool::Waiter::waitUntil has passed.
void refuseExpiredWaiters(State& state, QuotaPool& pool, Context& context);

/// \brief Time until the tokens are expected in the own bucket or at a lender.
[[nodiscard]] Duration retryAfter(const State& state, QuotaPool& pool, MicroTokens tokens, TimePoint now);

// --- Shares (quota_shares.cpp) ---------------------------------------------------------------------------------------

/// \brief Applies the shares of a ledger if it is newer than the one in use.
/// \param from VM that passed the ledger on; empty if the store did
void applyLedger(State& state, const Ledger& ledger, const VmId& from, Context& context);

/// \brief Confirms the ledger in use as soon as the outstanding loans fit into the shares that it gives this daemon.
void confirmShares(State& state, LedgerShard& shard, Context& context);

/// \brief Whether the ledger names this incarnation as a holder.
[[nodiscard]] bool holdsShare(const State& state, const LedgerShard& shard);

/// \brief Schedules a new plan of the shard after planDelay, unless one is scheduled already.
void schedulePlan(LedgerShard& shard, TimePoint now);

// --- Writing (quota_writer.cpp) --------------------------------------------------------------------------------------

/// \brief Whether this daemon is the writer of the shard.
[[nodiscard]] bool isWriter(const State& state, const LedgerShard& shard);

/// \brief Computes again which VM writes a shard and whether this daemon would get a share in it.
void refreshShardRoles(State& state, std::uint32_t shard, TimePoint now);

/// \brief Computes the ledger content that this daemon should write now. As the writer, also clears or postpones
/// \ref LedgerShard::planAt.
/// \returns nullopt if the stored content needs no change or may not be changed yet
[[nodiscard]] std::optional<ledger::Stored> proposeLedger(State& state, LedgerShard& shard, TimePoint now);

/// \brief Whether it is time for this daemon to check with \ref proposeLedger if it has to write the shard.
[[nodiscard]] bool isWriteCheckDue(const State& state, const LedgerShard& shard, TimePoint now);

/// \brief Sends the ledger to its holders. If the holders changed, also sends it to all active members of their
/// regions, which may borrow from them.
void pushLedger(State& state, LedgerShard& shard, bool holdersChanged, Context& context);

/// \brief As the writer, periodically sends the ledger again to holders that have not confirmed it.
void repushUnconfirmed(State& state, LedgerShard& shard, Context& context);

// --- Store calls (quota_store.cpp) -----------------------------------------------------------------------------------

/// \brief Starts the next store call of a shard if one is needed, none is open and the backoff has passed.
void startNextStoreCall(State& state, std::uint32_t index, Context& context);

} // namespace arbutuscrank::quota
