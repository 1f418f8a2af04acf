#include "quota_internal.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace arbutuscrank::quota {

namespace {

    /// Length of arrivals for which a loan is made larger than the waiting requests need. Well below the part of the
    /// loan's life that is left after a round trip between regions (300 - 110 ms), so that few tokens expire unspent.
    constexpr Duration prefetch = std::chrono::milliseconds(50);
    /// Time constant of the estimate of borrowed demand.
    constexpr double borrowRateSeconds = 0.5;
    /// A prefetch never takes more than this part of the lender's burst.
    constexpr MicroTokens prefetchBurstPart = 4;
    /// A finished loan is reported at once if it takes up more than this part of the lender's burst; otherwise with the
    /// next request or tick.
    constexpr MicroTokens reportBurstPart = 8;
    /// Time after which another lender is asked: a round trip in the region (3 ms) or between regions (110 ms), and
    /// time for a busy process to answer.
    constexpr Duration nearPatience = std::chrono::milliseconds(30);
    constexpr Duration farPatience = std::chrono::milliseconds(150);
    /// Time for which a silent lender is left alone.
    constexpr Duration silentPause = std::chrono::milliseconds(500);
    /// Named to a borrower that asked a daemon without a share.
    constexpr Duration notHolderPause = std::chrono::seconds(1);
    /// Named to a borrower by a lender whose own requests wait for tokens: half of the longest wait for a loan.
    constexpr Duration ownWaitersPause = std::chrono::milliseconds(125);
    /// Longest time that a lender names, so that a raised share is noticed.
    constexpr Duration longestRefusal = std::chrono::seconds(10);
    /// At most one push to a borrower with an old ledger in this time.
    constexpr Duration pushPause = std::chrono::milliseconds(200);

    enum class Distance { FailureDomain, Region, Far };

    Distance distanceTo(const State& state, std::string_view vm)
    {
        const auto* record = membership::find(state, vm);
        if (record == nullptr || record->member.region != state.self.region)
            return Distance::Far;
        return record->member.failureDomain == state.self.failureDomain ? Distance::FailureDomain : Distance::Region;
    }

    struct LenderChoice {
        const LedgerHolder* holder = nullptr;
        MicroTokens expected = 0; ///< balance that the lender should have now
    };

    /// Last known balance plus what the share has earned since; a full bucket if nothing is known.
    MicroTokens expectedBalance(const QuotaPool& pool, const LedgerHolder& holder, TimePoint now)
    {
        const auto burst = std::min(holder.recordedBurst, holder.assignedBurst);
        const auto it = pool.lenders.find(holder.process.vm);
        if (it == pool.lenders.end())
            return burst;
        const auto seconds = std::chrono::duration<double>(now - it->second.knownAt).count();
        const auto rate = std::min(holder.recordedRate, holder.assignedRate);
        const auto earned = std::min(static_cast<double>(rate) * seconds, static_cast<double>(burst));
        return std::min(burst, it->second.balance + static_cast<MicroTokens>(earned));
    }

    /// Chooses by last known balance, nearest first.
    LenderChoice chooseLender(const State& state, const QuotaPool& pool, MicroTokens need, TimePoint now)
    {
        LenderChoice best;
        std::tuple<bool, Distance, MicroTokens> bestRank;
        const auto* entry = entryFor(state, pool.key);
        if (entry == nullptr)
            return best;
        for (const auto& it : entry->holders) {
            const auto& vm = it.process.vm;
            if (vm == state.self.process.vm || it.assignedBurst <= 0 || !membership::isTrusted(state, vm))
                continue;
            const bool asked = std::any_of(
                pool.asked.begin(), pool.asked.end(), [&](const QuotaPool::Asked& a) { return a.lender == vm; });
            const auto known = pool.lenders.find(vm);
            if (asked || (known != pool.lenders.end() && known->second.refusesUntil > now))
                continue;
            const auto expected = expectedBalance(pool, it, now);
            const std::tuple rank(expected < need, distanceTo(state, vm), -expected);
            if (best.holder == nullptr || rank < bestRank) {
                best = { &it, expected };
                bestRank = rank;
            }
        }
        return best;
    }

    void reportFinished(QuotaPool& pool, const VmId& lender, Context& context)
    {
        const auto it = pool.finished.find(lender);
        if (it == pool.finished.end())
            return;
        context.send(lender, LoanRequest { 0, pool.key, 0, std::move(it->second) });
        pool.finished.erase(it);
    }

    void ask(State& state, QuotaPool& pool, const VmId& lender, MicroTokens tokens, Context& context)
    {
        LoanRequest request { ++state.quota.loans, pool.key, tokens, {} };
        // A late answer to an earlier incarnation must not pass for an answer to this one: its loan is older than this
        // daemon's request, and would be taken as valid for too long.
        request.loanId += Random(state.self.process.incarnation).next();
        const auto it = pool.finished.find(lender);
        if (it != pool.finished.end()) {
            request.finishedLoans = std::move(it->second);
            pool.finished.erase(it);
        }
        pool.asked.push_back({ request.loanId, lender, tokens, context.now });
        context.send(lender, std::move(request));
    }

    MicroTokens wholeTokens(MicroTokens tokens) { return tokens / oneToken * oneToken; }

    /// Whether a finished loan is worth a message of its own.
    bool reportAtOnce(const State& state, const QuotaPool& pool, const QuotaPool::Borrowed& loan)
    {
        const auto* entry = entryFor(state, pool.key);
        if (entry == nullptr)
            return false;
        return std::any_of(entry->holders.begin(), entry->holders.end(), [&](const LedgerHolder& it) {
            return it.process.vm == loan.lender && loan.tokens > it.assignedBurst / reportBurstPart;
        });
    }

} // namespace

// --- Spending --------------------------------------------------------------------------------------------------------

MicroTokens borrowedLevel(QuotaPool& pool, TimePoint now)
{
    while (!pool.borrowed.empty() && (pool.borrowed.front().expires <= now || pool.borrowed.front().left == 0)) {
        pool.finished[pool.borrowed.front().lender].push_back(pool.borrowed.front().loanId);
        pool.borrowed.pop_front();
    }
    MicroTokens sum = 0;
    for (const auto& it : pool.borrowed)
        sum += it.left;
    return sum;
}

bool spend(QuotaPool& pool, MicroTokens tokens, TimePoint now)
{
    const auto borrowed = borrowedLevel(pool, now);
    const auto own = std::max<MicroTokens>(0, tokens - borrowed);
    if (own > 0 && !pool.bucket.trySpend(own, now))
        return false;
    auto rest = tokens - own;
    for (auto& it : pool.borrowed) {
        const auto part = std::min(rest, it.left);
        it.left -= part;
        rest -= part;
    }
    (void)borrowedLevel(pool, now); // moves used-up loans to the reports
    return true;
}

void countBorrowing(QuotaPool& pool, MicroTokens tokens, TimePoint now)
{
    const auto seconds = std::chrono::duration<double>(now - pool.borrowRateAt).count();
    pool.borrowRate *= std::exp(-seconds / borrowRateSeconds);
    pool.borrowRate += static_cast<double>(tokens) / borrowRateSeconds;
    pool.borrowRateAt = now;
}

// --- Lending ---------------------------------------------------------------------------------------------------------

void settleExpired(QuotaPool& pool, TimePoint now)
{
    while (!pool.lent.empty() && pool.lent.front().until <= now) {
        pool.bucket.settle(pool.lent.front().tokens, now);
        pool.lent.pop_front();
    }
}

void onLoanRequest(State& state, const ProcessId& from, const LoanRequest& message, Context& context)
{
    const auto* entry = entryFor(state, message.quota);
    const auto known = state.quota.pools.find(message.quota);
    if (known != state.quota.pools.end()) {
        auto& pool = known->second;
        for (const auto id : message.finishedLoans) {
            const auto it = std::find_if(pool.lent.begin(), pool.lent.end(),
                [&](const QuotaPool::Lent& lent) { return lent.loanId == id && lent.borrower == from; });
            if (it != pool.lent.end()) {
                pool.bucket.settle(it->tokens, context.now);
                pool.lent.erase(it);
            }
        }
        settleExpired(pool, context.now);
        serveWaiters(state, pool, context);
    }
    if (message.tokens <= 0)
        return;

    LoanReply reply { message.loanId, message.quota, 0, 0, std::chrono::microseconds(notHolderPause).count() };
    if (known == state.quota.pools.end() || known->second.bucket.burst() == 0) {
        // The ledger goes first, so that the refusal makes the borrower ask a holder at once.
        auto& shard = state.quota.shards[ledger::shardOf(message.quota)];
        auto& pushed = shard.pushedAt[from.vm];
        if (entry != nullptr && (pushed == TimePoint {} || context.now - pushed >= pushPause)) {
            pushed = context.now;
            context.send(from.vm, LedgerPush { *shard.ledger });
        }
        context.send(from.vm, reply);
        return;
    }
    auto& pool = known->second;
    auto granted = message.tokens;
    const auto level = pool.waiters.empty() ? pool.bucket.level(context.now) : 0;
    if (level < granted) // part of a request is lent only in whole tokens: scattered fractions would expire unspent
        granted = wholeTokens(level);
    if (granted > 0 && pool.bucket.tryLend(granted, context.now)) {
        pool.lent.push_back({ from, message.loanId, granted, context.now + loanLifetime + loanMargin });
        state.quota.busy.emplace(pool.key, &pool);
        reply.tokens = granted;
    }
    reply.balance = pool.waiters.empty() ? pool.bucket.level(context.now) : 0;
    const auto wait = std::min(pool.bucket.timeUntil(std::min(oneToken, message.tokens), context.now), longestRefusal);
    const auto pause = pool.waiters.empty() ? wait : std::max(wait, ownWaitersPause);
    reply.retryAfterMicros = reply.tokens == 0 ? std::chrono::microseconds(pause).count() : 0;
    if (reply.tokens == 0)
        context.log(LogEvent::LoanRefused, "quota=" + pool.key + " borrower=" + from.vm);
    context.send(from.vm, reply);
}

// --- Borrowing -------------------------------------------------------------------------------------------------------

void requestLoans(State& state, QuotaPool& pool, Context& context)
{
    if (pool.waiters.empty())
        return;
    MicroTokens need = -pool.bucket.level(context.now) - borrowedLevel(pool, context.now);
    for (const auto& it : pool.waiters)
        need += it.tokens;
    for (const auto& it : pool.asked)
        need -= it.silent ? 0 : it.tokens;
    if (need <= 0)
        return;
    if (entryFor(state, pool.key) == nullptr) {
        // Any daemon without a share answers with its ledger; the writer is sure to have it.
        const auto& writer = state.quota.shards[ledger::shardOf(pool.key)].writer;
        const bool waitsForAnswer
            = std::any_of(pool.asked.begin(), pool.asked.end(), [&](const QuotaPool::Asked& it) { return !it.silent; });
        const auto known = pool.lenders.find(writer);
        const bool refuses = known != pool.lenders.end() && known->second.refusesUntil > context.now;
        if (!waitsForAnswer && !refuses && !writer.empty() && writer != state.self.process.vm)
            ask(state, pool, writer, need, context);
        return;
    }
    countBorrowing(pool, 0, context.now);
    const auto arrivals = static_cast<MicroTokens>(pool.borrowRate * std::chrono::duration<double>(prefetch).count());
    while (need > 0) {
        const auto choice = chooseLender(state, pool, need, context.now);
        if (choice.holder == nullptr)
            return;
        const auto extra = wholeTokens(std::min(arrivals, choice.holder->assignedBurst / prefetchBurstPart));
        // A lender that is not expected to have enough is asked for what it may have, and at least one token; the rest
        // is asked of the next one at the same time, because after an answer from afar no time is left for that.
        auto tokens = need + std::min(extra, std::max<MicroTokens>(0, wholeTokens(choice.expected - need)));
        if (choice.expected < need)
            tokens = std::min(need, std::max(oneToken, wholeTokens(choice.expected)));
        ask(state, pool, choice.holder->process.vm, tokens, context);
        need -= tokens;
    }
}

void onLoanReply(State& state, const ProcessId& from, const LoanReply& message, Context& context)
{
    const auto known = state.quota.pools.find(message.quota);
    if (known == state.quota.pools.end())
        return;
    auto& pool = known->second;
    const auto it = std::find_if(pool.asked.begin(), pool.asked.end(),
        [&](const QuotaPool::Asked& a) { return a.loanId == message.loanId && a.lender == from.vm; });
    if (it == pool.asked.end())
        return; // given up, and reported as finished then
    const auto asked = *it;
    pool.asked.erase(it);
    auto& lender = pool.lenders[from.vm];
    lender.balance = message.balance;
    lender.knownAt = context.now;
    lender.refusesUntil = context.now + Duration(message.tokens > 0 ? 0 : message.retryAfterMicros);
    QuotaPool::Borrowed loan;
    if (message.tokens > 0) {
        loan = { message.loanId, from.vm, message.tokens, message.tokens, asked.sentAt + loanLifetime };
        const auto place = std::upper_bound(pool.borrowed.begin(), pool.borrowed.end(), loan,
            [](const auto& a, const auto& b) { return a.expires < b.expires; });
        pool.borrowed.insert(place, loan);
        state.quota.busy.emplace(pool.key, &pool);
    }
    serveWaiters(state, pool, context);
    if (message.tokens > 0 && reportAtOnce(state, pool, loan))
        reportFinished(pool, from.vm, context); // only if it is used up
}

void tickLoans(State& state, QuotaPool& pool, Context& context)
{
    bool late = false;
    std::erase_if(pool.asked, [&](QuotaPool::Asked& it) {
        const auto age = context.now - it.sentAt;
        const auto patience = distanceTo(state, it.lender) == Distance::Far ? farPatience : nearPatience;
        if (!it.silent && age >= patience) {
            it.silent = true;
            late = true;
            pool.lenders[it.lender].refusesUntil = context.now + silentPause;
        }
        if (age < loanLifetime)
            return false;
        pool.finished[it.lender].push_back(it.loanId);
        return true;
    });
    if (late)
        requestLoans(state, pool, context);
    while (!pool.finished.empty())
        reportFinished(pool, VmId(pool.finished.begin()->first), context);
}

void onPeerConnectionLost(State& state, const PeerConnectionLost& event, Context& context)
{
    for (auto& [key, pool] : state.quota.busy) {
        bool late = false;
        for (auto& it : pool->asked) {
            if (it.lender == event.vm && !it.silent) {
                it.silent = true;
                late = true;
                pool->lenders[it.lender].refusesUntil = context.now + silentPause;
            }
        }
        if (late)
            requestLoans(state, *pool, context);
    }
}

} // namespace arbutuscrank::quota
