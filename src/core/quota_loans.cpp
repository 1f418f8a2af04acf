#include "quota_operations.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace arbutuscrank::quota {

namespace {

    /// A loan request also covers the demand expected within this time. The time is well below the lifetime that is
    /// left after a round trip between regions (300 - 110 ms), so that few tokens expire unspent.
    constexpr Duration prefetchTime = std::chrono::milliseconds(50);
    /// Time constant in which the estimate of unmet demand decays.
    constexpr double unmetDemandDecaySeconds = 0.5;
    /// Prefetched tokens are limited to the lender's burst share divided by this.
    constexpr MicroTokens prefetchBurstDivisor = 4;
    /// A loan larger than the lender's burst share divided by this is reported as finished at once if waiting requests
    /// spend it on arrival. All others are reported with the next loan request or tick.
    constexpr MicroTokens reportBurstDivisor = 8;
    /// Time after which another lender is asked if a lender of this region has not answered. It allows for a round trip
    /// within the region (3 ms) and for a busy process.
    constexpr Duration sameRegionTimeout = std::chrono::milliseconds(30);
    /// The same for a lender of another region, with a round trip of 110 ms.
    constexpr Duration otherRegionTimeout = std::chrono::milliseconds(150);
    /// A lender that did not answer in time gets no further loan request for this long.
    constexpr Duration overdueLenderPause = std::chrono::milliseconds(500);
    /// Retry delay in the reply of a daemon that has no share.
    constexpr Duration notHolderRetryAfter = std::chrono::seconds(1);
    /// Minimum retry delay in the reply of a lender whose own requests wait for tokens. It is half of the longest wait
    /// for a loan.
    constexpr Duration ownWaitersRetryAfter = std::chrono::milliseconds(125);
    /// Maximum retry delay in a reply. It bounds the time until borrowers notice that a share was raised.
    constexpr Duration maxReplyRetryAfter = std::chrono::seconds(10);
    /// Minimum time between two pushes of the ledger to a borrower whose ledger is outdated.
    constexpr Duration minPushInterval = std::chrono::milliseconds(200);

    enum class Distance { FailureDomain, Region, OtherRegion };

    Distance distanceTo(const State& state, std::string_view vm)
    {
        const auto* record = membership::find(state, vm);
        if (record == nullptr || record->member.region != state.self.region)
            return Distance::OtherRegion;
        return record->member.failureDomain == state.self.failureDomain ? Distance::FailureDomain : Distance::Region;
    }

    struct LenderChoice {
        const LedgerHolder* holder = nullptr;
        MicroTokens expected = 0; ///< estimated current balance of the lender
    };

    /// Estimates the balance of a lender: its last known balance plus the tokens that its share has earned since. A
    /// lender without a known balance is assumed to have a full bucket.
    MicroTokens expectedBalance(const QuotaPool& pool, const LedgerHolder& holder, TimePoint now)
    {
        const auto burst = std::min(holder.recordedBurst, holder.assignedBurst);
        const auto it = pool.lenders.find(holder.process.vm);
        if (it == pool.lenders.end())
            return burst;
        const auto seconds = std::chrono::duration<double>(now - it->second.balanceAt).count();
        const auto rate = std::min(holder.recordedRate, holder.assignedRate);
        const auto earned = std::min(static_cast<double>(rate) * seconds, static_cast<double>(burst));
        return std::min(burst, it->second.balance + static_cast<MicroTokens>(earned));
    }

    /// Chooses the lender for a loan. Lenders that are expected to have enough tokens come first, then nearer ones,
    /// then those with the higher expected balance. Leaves out holders that are suspected or paused, that give up their
    /// share, or that have a request open.
    LenderChoice chooseLender(const State& state, const QuotaPool& pool, MicroTokens neededTokens, TimePoint now)
    {
        LenderChoice best;
        std::tuple<bool, Distance, MicroTokens> bestRank;
        const auto* entry = findLedgerEntry(state, pool.key);
        if (entry == nullptr)
            return best;
        for (const auto& it : entry->holders) {
            const auto& vm = it.process.vm;
            if (vm == state.self.process.vm || it.assignedBurst <= 0 || !membership::isTrusted(state, vm))
                continue;
            const bool hasOpenRequest = std::any_of(pool.requestedLoans.begin(), pool.requestedLoans.end(),
                [&](const QuotaPool::RequestedLoan& a) { return a.lender == vm; });
            const auto found = pool.lenders.find(vm);
            if (hasOpenRequest || (found != pool.lenders.end() && found->second.pausedUntil > now))
                continue;
            const auto expected = expectedBalance(pool, it, now);
            const std::tuple rank(expected < neededTokens, distanceTo(state, vm), -expected);
            if (best.holder == nullptr || rank < bestRank) {
                best = { &it, expected };
                bestRank = rank;
            }
        }
        return best;
    }

    void reportFinishedLoans(QuotaPool& pool, const VmId& lender, Context& context)
    {
        const auto it = pool.unreportedLoans.find(lender);
        if (it == pool.unreportedLoans.end())
            return;
        context.send(lender, LoanRequest { 0, pool.key, 0, std::move(it->second) });
        pool.unreportedLoans.erase(it);
    }

    void sendLoanRequest(State& state, QuotaPool& pool, const VmId& lender, MicroTokens tokens, Context& context)
    {
        LoanRequest request { ++state.quota.loanRequestsSent, pool.key, tokens, {} };
        // The random offset makes loan IDs differ between incarnations. Otherwise a late answer to an earlier
        // incarnation could match a request of this one, and its older loan would be considered valid for too long.
        request.loanId += Random(state.self.process.incarnation).next();
        const auto it = pool.unreportedLoans.find(lender);
        if (it != pool.unreportedLoans.end()) {
            request.finishedLoans = std::move(it->second);
            pool.unreportedLoans.erase(it);
        }
        pool.requestedLoans.push_back({ request.loanId, lender, tokens, context.now });
        context.send(lender, std::move(request));
    }

    MicroTokens roundDownToWholeTokens(MicroTokens tokens) { return tokens / oneToken * oneToken; }

    /// Whether a finished loan is large enough to be reported in a message of its own.
    bool isReportedAtOnce(const State& state, const QuotaPool& pool, const QuotaPool::BorrowedLoan& loan)
    {
        const auto* entry = findLedgerEntry(state, pool.key);
        if (entry == nullptr)
            return false;
        return std::any_of(entry->holders.begin(), entry->holders.end(), [&](const LedgerHolder& it) {
            return it.process.vm == loan.lender && loan.tokens > it.assignedBurst / reportBurstDivisor;
        });
    }

} // namespace

// --- Spending --------------------------------------------------------------------------------------------------------

MicroTokens dropFinishedLoans(QuotaPool& pool, TimePoint now)
{
    while (!pool.borrowedLoans.empty()
        && (pool.borrowedLoans.front().expires <= now || pool.borrowedLoans.front().remaining == 0)) {
        pool.unreportedLoans[pool.borrowedLoans.front().lender].push_back(pool.borrowedLoans.front().loanId);
        pool.borrowedLoans.pop_front();
    }
    MicroTokens sum = 0;
    for (const auto& it : pool.borrowedLoans)
        sum += it.remaining;
    return sum;
}

bool spendTokens(QuotaPool& pool, MicroTokens tokens, TimePoint now)
{
    const auto borrowed = dropFinishedLoans(pool, now);
    const auto own = std::max<MicroTokens>(0, tokens - borrowed);
    if (own > 0 && !pool.bucket.trySpend(own, now))
        return false;
    auto rest = tokens - own;
    for (auto& it : pool.borrowedLoans) {
        const auto spent = std::min(rest, it.remaining);
        it.remaining -= spent;
        rest -= spent;
    }
    (void)dropFinishedLoans(pool, now); // marks spent loans for a report
    return true;
}

void addUnmetDemand(QuotaPool& pool, MicroTokens tokens, TimePoint now)
{
    const auto seconds = std::chrono::duration<double>(now - pool.unmetDemandAt).count();
    pool.unmetDemandPerSecond *= std::exp(-seconds / unmetDemandDecaySeconds);
    pool.unmetDemandPerSecond += static_cast<double>(tokens) / unmetDemandDecaySeconds;
    pool.unmetDemandAt = now;
}

// --- Lending ---------------------------------------------------------------------------------------------------------

void releaseExpiredLoans(QuotaPool& pool, TimePoint now)
{
    while (!pool.lentLoans.empty() && pool.lentLoans.front().reservedUntil <= now) {
        pool.bucket.releaseLoan(pool.lentLoans.front().tokens, now);
        pool.lentLoans.pop_front();
    }
}

void onLoanRequest(State& state, const ProcessId& from, const LoanRequest& message, Context& context)
{
    const auto* entry = findLedgerEntry(state, message.quota);
    const auto found = state.quota.pools.find(message.quota);
    if (found != state.quota.pools.end()) {
        auto& pool = found->second;
        for (const auto id : message.finishedLoans) {
            const auto it = std::find_if(pool.lentLoans.begin(), pool.lentLoans.end(),
                [&](const QuotaPool::LentLoan& lent) { return lent.loanId == id && lent.borrower == from; });
            if (it != pool.lentLoans.end()) {
                pool.bucket.releaseLoan(it->tokens, context.now);
                pool.lentLoans.erase(it);
            }
        }
        releaseExpiredLoans(pool, context.now);
        serveWaiters(state, pool, context);
    }
    if (message.tokens <= 0)
        return;

    LoanReply reply { message.loanId, message.quota, 0, 0, std::chrono::microseconds(notHolderRetryAfter).count() };
    if (found == state.quota.pools.end() || found->second.bucket.burst() == 0) {
        // The ledger is sent before the refusal, so that the refusal makes the borrower ask a holder at once.
        auto& shard = state.quota.shards[ledger::shardOf(message.quota)];
        auto& lastPush = shard.lastPushAt[from.vm];
        if (entry != nullptr && (lastPush == TimePoint {} || context.now - lastPush >= minPushInterval)) {
            lastPush = context.now;
            context.send(from.vm, LedgerPush { *shard.ledger });
        }
        context.send(from.vm, reply);
        return;
    }
    auto& pool = found->second;
    auto granted = message.tokens;
    const auto level = pool.waiters.empty() ? pool.bucket.level(context.now) : 0;
    if (level < granted) // grants a part only in whole tokens, because small fractions would expire unspent
        granted = roundDownToWholeTokens(level);
    if (granted > 0 && pool.bucket.tryLend(granted, context.now)) {
        pool.lentLoans.push_back({ from, message.loanId, granted, context.now + loanLifetime + loanMargin });
        state.quota.activePools.emplace(pool.key, &pool);
        reply.tokens = granted;
    }
    reply.balance = pool.waiters.empty() ? pool.bucket.level(context.now) : 0;
    const auto refillTime
        = std::min(pool.bucket.timeUntil(std::min(oneToken, message.tokens), context.now), maxReplyRetryAfter);
    const auto retryDelay = pool.waiters.empty() ? refillTime : std::max(refillTime, ownWaitersRetryAfter);
    reply.retryAfterMicros = reply.tokens == 0 ? std::chrono::microseconds(retryDelay).count() : 0;
    if (reply.tokens == 0)
        context.log(LogEvent::LoanRefused, "quota=" + pool.key + " borrower=" + from.vm);
    context.send(from.vm, reply);
}

// --- Borrowing -------------------------------------------------------------------------------------------------------

void requestLoans(State& state, QuotaPool& pool, Context& context)
{
    if (pool.waiters.empty())
        return;
    MicroTokens neededTokens = -pool.bucket.level(context.now) - dropFinishedLoans(pool, context.now);
    for (const auto& it : pool.waiters)
        neededTokens += it.tokens;
    for (const auto& it : pool.requestedLoans)
        neededTokens -= it.isOverdue ? 0 : it.tokens;
    if (neededTokens <= 0)
        return;
    if (findLedgerEntry(state, pool.key) == nullptr) {
        // The writer normally knows the ledger. It lends the tokens if it has a share, and otherwise sends the ledger
        // before it refuses.
        const auto& writer = state.quota.shards[ledger::shardOf(pool.key)].writer;
        const bool isAnswerPending = std::any_of(pool.requestedLoans.begin(), pool.requestedLoans.end(),
            [&](const QuotaPool::RequestedLoan& it) { return !it.isOverdue; });
        const auto found = pool.lenders.find(writer);
        const bool isPaused = found != pool.lenders.end() && found->second.pausedUntil > context.now;
        if (!isAnswerPending && !isPaused && !writer.empty() && writer != state.self.process.vm)
            sendLoanRequest(state, pool, writer, neededTokens, context);
        return;
    }
    addUnmetDemand(pool, 0, context.now);
    const auto expectedDemand
        = static_cast<MicroTokens>(pool.unmetDemandPerSecond * std::chrono::duration<double>(prefetchTime).count());
    while (neededTokens > 0) {
        const auto choice = chooseLender(state, pool, neededTokens, context.now);
        if (choice.holder == nullptr)
            return;
        const auto extra
            = roundDownToWholeTokens(std::min(expectedDemand, choice.holder->assignedBurst / prefetchBurstDivisor));
        // A lender that is not expected to have enough is asked for its expected balance, and at least for one token.
        // The next lender is asked for the rest at the same time, because after a round trip to another region no time
        // is left to do so.
        auto tokens = neededTokens
            + std::min(extra, std::max<MicroTokens>(0, roundDownToWholeTokens(choice.expected - neededTokens)));
        if (choice.expected < neededTokens)
            tokens = std::min(neededTokens, std::max(oneToken, roundDownToWholeTokens(choice.expected)));
        sendLoanRequest(state, pool, choice.holder->process.vm, tokens, context);
        neededTokens -= tokens;
    }
}

void onLoanReply(State& state, const ProcessId& from, const LoanReply& message, Context& context)
{
    const auto found = state.quota.pools.find(message.quota);
    if (found == state.quota.pools.end())
        return;
    auto& pool = found->second;
    const auto it = std::find_if(pool.requestedLoans.begin(), pool.requestedLoans.end(),
        [&](const QuotaPool::RequestedLoan& a) { return a.loanId == message.loanId && a.lender == from.vm; });
    if (it == pool.requestedLoans.end())
        return; // the request was dropped as too old, and its loan is reported as finished
    const auto requestedLoan = *it;
    pool.requestedLoans.erase(it);
    auto& lender = pool.lenders[from.vm];
    lender.balance = message.balance;
    lender.balanceAt = context.now;
    lender.pausedUntil = context.now + Duration(message.tokens > 0 ? 0 : message.retryAfterMicros);
    QuotaPool::BorrowedLoan loan;
    if (message.tokens > 0) {
        loan = { message.loanId, from.vm, message.tokens, message.tokens, requestedLoan.sentAt + loanLifetime };
        const auto position = std::upper_bound(pool.borrowedLoans.begin(), pool.borrowedLoans.end(), loan,
            [](const auto& a, const auto& b) { return a.expires < b.expires; });
        pool.borrowedLoans.insert(position, loan);
        state.quota.activePools.emplace(pool.key, &pool);
    }
    serveWaiters(state, pool, context);
    if (message.tokens > 0 && isReportedAtOnce(state, pool, loan))
        reportFinishedLoans(pool, from.vm, context); // usually there are none unless this loan is spent already
}

void updateLoans(State& state, QuotaPool& pool, Context& context)
{
    bool hasOverdue = false;
    std::erase_if(pool.requestedLoans, [&](QuotaPool::RequestedLoan& it) {
        const auto age = context.now - it.sentAt;
        const auto answerTimeout
            = distanceTo(state, it.lender) == Distance::OtherRegion ? otherRegionTimeout : sameRegionTimeout;
        if (!it.isOverdue && age >= answerTimeout) {
            it.isOverdue = true;
            hasOverdue = true;
            pool.lenders[it.lender].pausedUntil = context.now + overdueLenderPause;
        }
        if (age < loanLifetime)
            return false;
        pool.unreportedLoans[it.lender].push_back(it.loanId);
        return true;
    });
    if (hasOverdue)
        requestLoans(state, pool, context);
    while (!pool.unreportedLoans.empty())
        reportFinishedLoans(pool, VmId(pool.unreportedLoans.begin()->first), context);
}

void onPeerConnectionLost(State& state, const PeerConnectionLost& event, Context& context)
{
    for (auto& [key, pool] : state.quota.activePools) {
        bool hasOverdue = false;
        for (auto& it : pool->requestedLoans) {
            if (it.lender == event.vm && !it.isOverdue) {
                it.isOverdue = true;
                hasOverdue = true;
                pool->lenders[it.lender].pausedUntil = context.now + overdueLenderPause;
            }
        }
        if (hasOverdue)
            requestLoans(state, *pool, context);
    }
}

} // namespace arbutuscrank::quota
