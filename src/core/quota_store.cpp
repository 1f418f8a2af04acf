#include "quota_operations.hpp"

#include <algorithm>

namespace arbutuscrank::quota {

namespace {

    /// Pause after a failed call: doubles from the first to the last of these.
    constexpr Duration firstBackoff = std::chrono::milliseconds(200);
    constexpr Duration lastBackoff = std::chrono::seconds(30);
    /// After a conflict the writers try again at different times within this span.
    constexpr Duration conflictSpan = std::chrono::milliseconds(100);
    /// A read or write without any answer for so long is taken as lost.
    constexpr Duration callTimeout = std::chrono::seconds(10);
    /// Interval at which holders that do not write a ledger read it, in case that pushes do not reach them.
    constexpr Duration pollInterval = std::chrono::seconds(30);

    StoreToken nextToken(State& state)
    {
        return (++state.quota.tokens << storeTopicBits) | static_cast<StoreToken>(StoreTopic::Quota);
    }

    Duration jitter(State& state, Duration span)
    {
        return Duration(static_cast<std::int64_t>(state.random.unit() * static_cast<double>(span.count())));
    }

    void backOff(State& state, LedgerShard& shard, std::string detail, Context& context)
    {
        shard.backoff = std::clamp(shard.backoff * 2, firstBackoff, lastBackoff);
        shard.nextCall = context.now + shard.backoff / 2 + jitter(state, shard.backoff / 2);
        if (!std::exchange(shard.failing, true))
            context.log(LogEvent::StoreFailed, std::move(detail));
    }

    void succeeded(LedgerShard& shard, std::uint32_t index, Context& context)
    {
        shard.backoff = Duration::zero();
        if (std::exchange(shard.failing, false))
            context.log(LogEvent::StoreRecovered, "key=" + ledger::objectKey(index));
    }

    void read(State& state, LedgerShard& shard, std::uint32_t index, Context& context)
    {
        shard.call = LedgerShard::Call { LedgerShard::Call::Kind::Read, nextToken(state), context.now, {} };
        context.effect(ReadObject { shard.call->token, ledger::objectKey(index) });
    }

    void write(State& state, LedgerShard& shard, std::uint32_t index, ledger::Stored next, Context& context)
    {
        const auto expected = shard.stored->ledger.version;
        auto value = ledger::toJson(next);
        shard.call
            = LedgerShard::Call { LedgerShard::Call::Kind::Write, nextToken(state), context.now, std::move(next) };
        context.effect(WriteObject { shard.call->token, ledger::objectKey(index), std::move(value), expected });
    }

    /// Takes over a ledger from the store and, as its writer, passes it on.
    void adopt(State& state, LedgerShard& shard, ledger::Stored stored, Context& context)
    {
        if (shard.stored && stored.ledger.version <= shard.stored->ledger.version)
            return;
        const bool holdersChanged = !shard.ledger || !ledger::sameHolders(*shard.ledger, stored.ledger);
        const bool isNew = !shard.ledger || shard.ledger->version < stored.ledger.version;
        shard.stored = std::move(stored);
        if (shard.stored->ledger.version == 0)
            return;
        applyLedger(state, shard.stored->ledger, {}, context);
        if (isNew && isWriter(state, shard))
            pushLedger(state, shard, holdersChanged, context);
    }

} // namespace

void stepStore(State& state, std::uint32_t index, Context& context)
{
    auto& shard = state.quota.shards[index];
    if (shard.call) {
        if (context.now - shard.call->since < callTimeout)
            return;
        shard.rereadNeeded = shard.rereadNeeded || shard.call->kind == LedgerShard::Call::Kind::Write;
        shard.call.reset();
        backOff(state, shard, "key=" + ledger::objectKey(index) + " detail=no answer", context);
    }
    if (context.now < shard.nextCall)
        return;
    const bool stale
        = !shard.stored || shard.rereadNeeded || (shard.ledger && shard.stored->ledger.version < shard.ledger->version);
    if (wantsWrite(state, shard, context.now)) {
        if (stale)
            return read(state, shard, index, context);
        if (auto next = propose(state, shard, context.now))
            return write(state, shard, index, std::move(*next), context);
    }
    if (isWriter(state, shard)) {
        if (stale)
            return read(state, shard, index, context);
        if (!shard.watch) {
            shard.watch = nextToken(state);
            context.effect(WatchObject { *shard.watch, ledger::objectKey(index), shard.stored->ledger.version });
        }
    } else if (!state.quota.leaving && (shard.mayHold || holdsShare(state, shard)) && context.now >= shard.nextPoll) {
        shard.nextPoll = context.now + pollInterval + jitter(state, pollInterval / 4);
        read(state, shard, index, context);
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
        return backOff(state, shard, "key=" + event.key + " detail=not a ledger", context);
    }
    succeeded(shard, *index, context);
    if (answersCall)
        shard.rereadNeeded = false;
    adopt(state, shard, std::move(*stored), context);
    stepStore(state, *index, context);
}

void onObjectWritten(State& state, const ObjectWritten& event, Context& context)
{
    const auto index = ledger::shardOfObject(event.key);
    if (!index)
        return;
    auto& shard = state.quota.shards[*index];
    if (!shard.call || shard.call->token != event.token)
        return; // given up before; the ledger was read again since, or will be
    auto written = std::move(shard.call->written);
    shard.call.reset();
    written.ledger.version = event.version;
    succeeded(shard, *index, context);
    context.log(LogEvent::LedgerWritten, "key=" + event.key + " version=" + std::to_string(event.version));
    adopt(state, shard, std::move(written), context);
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
    const bool wasWrite = wasCall && shard.call->kind == LedgerShard::Call::Kind::Write;
    if (wasCall)
        shard.call.reset();
    if (!wasWatch && !wasCall)
        return;
    if (wasWatch && event.failure == StoreFailure::TimedOut)
        return; // the usual end of a watch without a change
    // A conflict needs the newer version; a lost answer is resolved by looking whether the write took effect.
    if (wasWrite) {
        shard.rereadNeeded = true;
        planSoon(shard, context.now);
    }
    if (event.failure == StoreFailure::Conflict) {
        context.log(LogEvent::LedgerConflict, "key=" + event.key);
        shard.nextCall = context.now + jitter(state, conflictSpan);
        return;
    }
    backOff(state, shard, "key=" + event.key + " detail=" + event.detail, context);
}

} // namespace arbutuscrank::quota
