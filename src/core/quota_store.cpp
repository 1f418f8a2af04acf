#include "quota_operations.hpp"

#include <algorithm>

namespace arbutuscrank::quota {

namespace {

    /// Backoff after the first failed call. It doubles with each further failure.
    constexpr Duration minBackoff = std::chrono::milliseconds(200);
    /// Upper bound of the backoff.
    constexpr Duration maxBackoff = std::chrono::seconds(30);
    /// Maximum jitter before the retry after a conflict, so that competing writers retry at different times.
    constexpr Duration maxConflictJitter = std::chrono::milliseconds(100);
    /// A read or write without an answer for this long is abandoned.
    constexpr Duration storeCallTimeout = std::chrono::seconds(10);
    /// Interval at which holders other than the writer read the ledger, in case pushes do not reach them.
    constexpr Duration pollInterval = std::chrono::seconds(30);

    StoreToken nextToken(State& state)
    {
        return (++state.quota.storeTokensIssued << storeTopicBits) | static_cast<StoreToken>(StoreTopic::Quota);
    }

    Duration randomJitter(State& state, Duration span)
    {
        return Duration(static_cast<std::int64_t>(state.random.unit() * static_cast<double>(span.count())));
    }

    void backOffAfterFailure(State& state, LedgerShard& shard, std::string detail, Context& context)
    {
        shard.backoff = std::clamp(shard.backoff * 2, minBackoff, maxBackoff);
        shard.nextCallAt = context.now + shard.backoff / 2 + randomJitter(state, shard.backoff / 2);
        if (!std::exchange(shard.isStoreFailing, true))
            context.log(LogEvent::StoreFailed, std::move(detail));
    }

    void resetBackoff(LedgerShard& shard, std::uint32_t index, Context& context)
    {
        shard.backoff = Duration::zero();
        if (std::exchange(shard.isStoreFailing, false))
            context.log(LogEvent::StoreRecovered, "key=" + ledger::objectKey(index));
    }

    void startRead(State& state, LedgerShard& shard, std::uint32_t index, Context& context)
    {
        shard.call = LedgerShard::StoreCall { LedgerShard::StoreCall::Kind::Read, nextToken(state), context.now, {} };
        context.effect(ReadObject { shard.call->token, ledger::objectKey(index) });
    }

    void startWrite(State& state, LedgerShard& shard, std::uint32_t index, ledger::Stored next, Context& context)
    {
        const auto expected = shard.stored->ledger.version;
        auto value = ledger::toJson(next);
        shard.call = LedgerShard::StoreCall { LedgerShard::StoreCall::Kind::Write, nextToken(state), context.now,
            std::move(next) };
        context.effect(WriteObject { shard.call->token, ledger::objectKey(index), std::move(value), expected });
    }

    /// Applies a ledger from the store if it is newer than the last one from there. The writer also pushes it to the
    /// holders.
    void applyStored(State& state, LedgerShard& shard, ledger::Stored stored, Context& context)
    {
        if (shard.stored && stored.ledger.version <= shard.stored->ledger.version)
            return;
        const bool holdersChanged = !shard.ledger || !ledger::haveSameHolders(*shard.ledger, stored.ledger);
        const bool isNewer = !shard.ledger || shard.ledger->version < stored.ledger.version;
        shard.stored = std::move(stored);
        if (shard.stored->ledger.version == 0)
            return;
        applyLedger(state, shard.stored->ledger, {}, context);
        if (isNewer && isWriter(state, shard))
            pushLedger(state, shard, holdersChanged, context);
    }

} // namespace

void startNextStoreCall(State& state, std::uint32_t index, Context& context)
{
    auto& shard = state.quota.shards[index];
    if (shard.call) {
        if (context.now - shard.call->calledAt < storeCallTimeout)
            return;
        shard.needsReread = shard.needsReread || shard.call->kind == LedgerShard::StoreCall::Kind::Write;
        shard.call.reset();
        backOffAfterFailure(state, shard,
            "key=" + ledger::objectKey(index) + " detail=the store call got no answer within 10 s", context);
    }
    if (context.now < shard.nextCallAt)
        return;
    const bool isStale
        = !shard.stored || shard.needsReread || (shard.ledger && shard.stored->ledger.version < shard.ledger->version);
    if (isWriteCheckDue(state, shard, context.now)) {
        if (isStale)
            return startRead(state, shard, index, context);
        if (auto next = proposeLedger(state, shard, context.now))
            return startWrite(state, shard, index, std::move(*next), context);
    }
    if (isWriter(state, shard)) {
        if (isStale)
            return startRead(state, shard, index, context);
        if (!shard.watch) {
            shard.watch = nextToken(state);
            context.effect(WatchObject { *shard.watch, ledger::objectKey(index), shard.stored->ledger.version });
        }
    } else if (!state.quota.selfLeaving && (shard.isChosenHolder || holdsShare(state, shard))
        && context.now >= shard.nextPollAt) {
        shard.nextPollAt = context.now + pollInterval + randomJitter(state, pollInterval / 4);
        startRead(state, shard, index, context);
    }
}

void onObjectRead(State& state, const ObjectRead& event, Context& context)
{
    const auto index = ledger::shardOfObject(event.key);
    if (!index)
        return;
    auto& shard = state.quota.shards[*index];
    if (shard.watch == event.token)
        shard.watch.reset();
    const bool answersCall = shard.call && shard.call->token == event.token;
    if (answersCall)
        shard.call.reset();
    auto stored = event.version == 0 ? ledger::Stored { Ledger { *index, 0, {} }, 0 }
                                     : ledger::fromJson(event.value, *index, event.version);
    if (!stored) {
        context.log(LogEvent::LedgerUnreadable, "key=" + event.key + " version=" + std::to_string(event.version));
        return backOffAfterFailure(
            state, shard, "key=" + event.key + " detail=the object is not a valid ledger", context);
    }
    resetBackoff(shard, *index, context);
    if (answersCall)
        shard.needsReread = false;
    applyStored(state, shard, std::move(*stored), context);
    startNextStoreCall(state, *index, context);
}

void onObjectWritten(State& state, const ObjectWritten& event, Context& context)
{
    const auto index = ledger::shardOfObject(event.key);
    if (!index)
        return;
    auto& shard = state.quota.shards[*index];
    if (!shard.call || shard.call->token != event.token)
        return; // the call was abandoned; the ledger has been read again since, or will be
    auto written = std::move(shard.call->written);
    shard.call.reset();
    written.ledger.version = event.version;
    resetBackoff(shard, *index, context);
    context.log(LogEvent::LedgerWritten, "key=" + event.key + " version=" + std::to_string(event.version));
    applyStored(state, shard, std::move(written), context);
}

void onStoreCallFailed(State& state, const StoreCallFailed& event, Context& context)
{
    const auto index = ledger::shardOfObject(event.key);
    if (!index)
        return;
    auto& shard = state.quota.shards[*index];
    const bool wasWatch = shard.watch == event.token;
    if (wasWatch)
        shard.watch.reset();
    const bool wasCall = shard.call && shard.call->token == event.token;
    const bool wasWrite = wasCall && shard.call->kind == LedgerShard::StoreCall::Kind::Write;
    if (wasCall)
        shard.call.reset();
    if (!wasWatch && !wasCall)
        return;
    if (wasWatch && event.failure == StoreFailure::TimedOut)
        return; // a watch without a change ends like this
    // After a conflict the newer version is needed. After a lost answer, reading shows whether the write took effect.
    if (wasWrite) {
        shard.needsReread = true;
        schedulePlan(shard, context.now);
    }
    if (event.failure == StoreFailure::Conflict) {
        context.log(LogEvent::LedgerConflict, "key=" + event.key);
        shard.nextCallAt = context.now + randomJitter(state, maxConflictJitter);
        return;
    }
    backOffAfterFailure(state, shard, "key=" + event.key + " detail=" + event.detail, context);
}

} // namespace arbutuscrank::quota
