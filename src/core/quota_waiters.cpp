#include "quota_operations.hpp"

#include <algorithm>

namespace arbutuscrank::quota {

namespace {

    /// Maximum number of requests that wait for one quota at one daemon. At 20,000 requests/s of one account it is
    /// reached after 250 ms, the longest wait for a loan.
    constexpr std::size_t maxWaiters = 5000;
    /// Maximum Retry-After of a refusal, so that callers notice a raised rate in time.
    constexpr Duration maxRetryAfter = std::chrono::seconds(60);
    /// Retry-After if neither a lender nor the rate of the quota is known.
    constexpr Duration unknownRetryAfter = std::chrono::seconds(1);

} // namespace

Decision acquire(
    State& state, std::string_view key, RequestId waiter, MicroTokens tokens, TimePoint waitUntil, Context& context)
{
    auto& pool = findOrAddPool(state, key);
    if (pool.waiters.empty()) {
        if (pool.borrowedLoans.empty() && pool.bucket.trySpend(tokens, context.now))
            return { Decision::Kind::Granted, {} };
        addUnmetDemand(pool, tokens, context.now);
        releaseExpiredLoans(pool, context.now);
        if (spendTokens(pool, tokens, context.now))
            return { Decision::Kind::Granted, {} };
    } else {
        addUnmetDemand(pool, tokens, context.now);
    }
    const auto grant = state.quota.grants.find(key);
    const bool exceedsBurst = grant != state.quota.grants.end() && tokens > grant->second.burst;
    if (exceedsBurst || waitUntil <= context.now || pool.waiters.size() >= maxWaiters)
        return { Decision::Kind::Refused, retryAfter(state, pool, tokens, context.now) };
    pool.waiters.push_back({ waiter, tokens, waitUntil });
    state.quota.poolByWaiter[waiter] = &pool;
    state.quota.activePools.emplace(pool.key, &pool);
    requestLoans(state, pool, context);
    return { Decision::Kind::Waiting, {} };
}

void cancelWait(State& state, RequestId waiter)
{
    const auto it = state.quota.poolByWaiter.find(waiter);
    if (it == state.quota.poolByWaiter.end())
        return;
    std::erase_if(it->second->waiters, [waiter](const QuotaPool::Waiter& w) { return w.id == waiter; });
    state.quota.poolByWaiter.erase(it);
}

void serveWaiters(State& state, QuotaPool& pool, Context& context)
{
    while (!pool.waiters.empty()) {
        const auto& first = pool.waiters.front();
        if (first.waitUntil > context.now) {
            if (!spendTokens(pool, first.tokens, context.now))
                break;
            context.followUp(QuotaResolved { first.id, pool.key, true, {} });
        } else {
            context.followUp(
                QuotaResolved { first.id, pool.key, false, retryAfter(state, pool, first.tokens, context.now) });
        }
        state.quota.poolByWaiter.erase(first.id);
        pool.waiters.pop_front();
    }
    requestLoans(state, pool, context);
}

void refuseExpiredWaiters(State& state, QuotaPool& pool, Context& context)
{
    // Checks all requests, because one with an early \c waitUntil may be queued behind one that can wait longer.
    std::erase_if(pool.waiters, [&](const QuotaPool::Waiter& it) {
        if (it.waitUntil > context.now)
            return false;
        context.followUp(QuotaResolved { it.id, pool.key, false, retryAfter(state, pool, it.tokens, context.now) });
        state.quota.poolByWaiter.erase(it.id);
        return true;
    });
}

Duration retryAfter(const State& state, QuotaPool& pool, MicroTokens tokens, TimePoint now)
{
    auto best = pool.bucket.timeUntil(tokens, now);
    bool hasPausedLender = false;
    for (const auto& [vm, lender] : pool.lenders) {
        if (lender.pausedUntil > now && membership::isTrusted(state, vm)) {
            best = std::min(best, lender.pausedUntil - now);
            hasPausedLender = true;
        }
    }
    if (best == Duration::max() && !hasPausedLender) {
        const auto grant = state.quota.grants.find(pool.key);
        best = unknownRetryAfter;
        if (grant != state.quota.grants.end() && grant->second.rate > 0) {
            const auto seconds = static_cast<double>(tokens) / static_cast<double>(grant->second.rate);
            best = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(std::min(seconds, std::chrono::duration<double>(maxRetryAfter).count())));
        }
    }
    return std::clamp<Duration>(best, Duration(1), maxRetryAfter);
}

} // namespace arbutuscrank::quota
