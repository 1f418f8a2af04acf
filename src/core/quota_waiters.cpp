#include "quota_operations.hpp"

#include <algorithm>

namespace arbutuscrank::quota {

namespace {

    /// Requests that may wait for one quota at one entry: at 20,000 requests/s of one account the full wait.
    constexpr std::size_t maxWaiters = 5000;
    /// Longest time that a refusal names: callers come back in time for a raised rate.
    constexpr Duration maxRetryAfter = std::chrono::seconds(60);
    /// Named when neither a ledger nor a rate is known.
    constexpr Duration unknownRetryAfter = std::chrono::seconds(1);

} // namespace

Decision acquire(
    State& state, std::string_view key, RequestId waiter, MicroTokens tokens, TimePoint waitUntil, Context& context)
{
    auto& pool = poolFor(state, key);
    if (pool.waiters.empty()) {
        if (pool.borrowed.empty() && pool.bucket.trySpend(tokens, context.now))
            return { Decision::Kind::Granted, {} };
        countBorrowing(pool, tokens, context.now);
        settleExpired(pool, context.now);
        if (spend(pool, tokens, context.now))
            return { Decision::Kind::Granted, {} };
    } else {
        countBorrowing(pool, tokens, context.now);
    }
    const auto grant = state.quota.grants.find(key);
    const bool neverEnough = grant != state.quota.grants.end() && tokens > grant->second.burst;
    if (neverEnough || waitUntil <= context.now || pool.waiters.size() >= maxWaiters)
        return { Decision::Kind::Refused, retryAfter(state, pool, tokens, context.now) };
    pool.waiters.push_back({ waiter, tokens, waitUntil });
    state.quota.waiting[waiter] = &pool;
    state.quota.busy.emplace(pool.key, &pool);
    requestLoans(state, pool, context);
    return { Decision::Kind::Waiting, {} };
}

void cancelWait(State& state, RequestId waiter)
{
    const auto it = state.quota.waiting.find(waiter);
    if (it == state.quota.waiting.end())
        return;
    std::erase_if(it->second->waiters, [waiter](const QuotaPool::Waiter& w) { return w.id == waiter; });
    state.quota.waiting.erase(it);
}

void serveWaiters(State& state, QuotaPool& pool, Context& context)
{
    while (!pool.waiters.empty()) {
        const auto& first = pool.waiters.front();
        if (first.until > context.now) {
            if (!spend(pool, first.tokens, context.now))
                break;
            context.followUp(QuotaResolved { first.id, pool.key, true, {} });
        } else {
            context.followUp(
                QuotaResolved { first.id, pool.key, false, retryAfter(state, pool, first.tokens, context.now) });
        }
        state.quota.waiting.erase(first.id);
        pool.waiters.pop_front();
    }
    requestLoans(state, pool, context);
}

void expireWaiters(State& state, QuotaPool& pool, Context& context)
{
    // Not only the first: a request with a short deadline may stand behind one with a long wait.
    std::erase_if(pool.waiters, [&](const QuotaPool::Waiter& it) {
        if (it.until > context.now)
            return false;
        context.followUp(QuotaResolved { it.id, pool.key, false, retryAfter(state, pool, it.tokens, context.now) });
        state.quota.waiting.erase(it.id);
        return true;
    });
}

Duration retryAfter(const State& state, QuotaPool& pool, MicroTokens tokens, TimePoint now)
{
    auto best = pool.bucket.timeUntil(tokens, now);
    bool lenderKnown = false;
    for (const auto& [vm, lender] : pool.lenders) {
        if (lender.refusesUntil > now && membership::isTrusted(state, vm)) {
            best = std::min(best, lender.refusesUntil - now);
            lenderKnown = true;
        }
    }
    if (best == Duration::max() && !lenderKnown) {
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
