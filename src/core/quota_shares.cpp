#include "quota_internal.hpp"

#include <algorithm>

namespace arbutuscrank::quota {

namespace {

    /// Changes that come within this time go into one write.
    constexpr Duration planDelay = std::chrono::milliseconds(300);

    const LedgerHolder* ownLine(const State& state, const LedgerEntry& entry)
    {
        const auto it = std::find_if(entry.holders.begin(), entry.holders.end(),
            [&](const LedgerHolder& line) { return line.process == state.self.process; });
        return it == entry.holders.end() ? nullptr : &*it;
    }

    /// Gives each bucket of the shard its share of the ledger in force.
    void setShares(State& state, LedgerShard& shard, TimePoint now)
    {
        bool lowered = false;
        for (const auto& [key, entry] : shard.ledger->quotas) {
            const auto* line = ownLine(state, entry);
            if (line == nullptr)
                continue;
            lowered = lowered || line->recordedRate > line->assignedRate || line->recordedBurst > line->assignedBurst;
            if (!state.quota.leaving) {
                poolFor(state, key)
                    .bucket.setShare(std::min(line->recordedRate, line->assignedRate),
                        std::min(line->recordedBurst, line->assignedBurst), now);
            }
        }
        for (auto& [key, pool] : state.quota.pools) {
            if (pool.bucket.burst() == 0 || ledger::shardOf(key) != shard.ledger->shard)
                continue;
            const auto* entry = entryFor(state, key);
            if (entry == nullptr || ownLine(state, *entry) == nullptr)
                pool.bucket.setShare(0, 0, now);
        }
        if (!lowered)
            shard.loweredSince.reset();
        else if (!shard.loweredSince)
            shard.loweredSince = now;
    }

} // namespace

bool holdsShare(const State& state, const LedgerShard& shard)
{
    return shard.ledger && std::any_of(shard.ledger->quotas.begin(), shard.ledger->quotas.end(), [&](const auto& it) {
        return ownLine(state, it.second) != nullptr;
    });
}

void planSoon(LedgerShard& shard, TimePoint now)
{
    if (!shard.planAt)
        shard.planAt = now + planDelay;
}

void applyLedger(State& state, const Ledger& ledger, const VmId& from, Context& context)
{
    auto& shard = state.quota.shards[ledger.shard];
    if (shard.ledger && ledger.version <= shard.ledger->version)
        return;
    shard.ledger = ledger;
    for (const auto& [key, entry] : ledger.quotas) {
        for (const auto& it : entry.holders)
            membership::noteProcess(state, it.process, context);
    }
    setShares(state, shard, context.now);
    shard.confirmDue = holdsShare(state, shard);
    shard.confirmTo = from;
    context.log(LogEvent::LedgerApplied,
        "shard=" + std::to_string(ledger.shard) + " version=" + std::to_string(ledger.version));
    confirmShares(state, shard, context);
    planSoon(shard, context.now);
    for (auto& [id, pool] : state.quota.busy) {
        if (ledger::shardOf(pool->key) == ledger.shard)
            serveWaiters(state, *pool, context);
    }
}

void confirmShares(State& state, LedgerShard& shard, Context& context)
{
    if (!shard.confirmDue)
        return;
    // Loans out of the former share can still be spent: until they are settled the share is in use.
    for (const auto& [key, entry] : shard.ledger->quotas) {
        const auto* line = ownLine(state, entry);
        const auto pool = state.quota.pools.find(key);
        if (line != nullptr && pool != state.quota.pools.end()
            && pool->second.bucket.lent() > std::min(line->recordedBurst, line->assignedBurst))
            return;
    }
    shard.confirmDue = false;
    shard.confirmed[state.self.process] = shard.ledger->version;
    if (isWriter(state, shard))
        planSoon(shard, context.now);
    const ShareConfirm message { shard.ledger->shard, shard.ledger->version };
    for (const auto& vm : { shard.writer, shard.confirmTo == shard.writer ? VmId {} : shard.confirmTo }) {
        if (!vm.empty() && vm != state.self.process.vm)
            context.send(vm, message);
    }
}

void onLedgerPush(State& state, const ProcessId& from, const LedgerPush& message, Context& context)
{
    if (message.ledger.shard >= ledger::shardCount)
        return;
    auto& shard = state.quota.shards[message.ledger.shard];
    if (shard.ledger && message.ledger.version == shard.ledger->version && holdsShare(state, shard)) {
        shard.confirmDue = true; // the confirmation before was lost, or went to another writer
        shard.confirmTo = from.vm;
        confirmShares(state, shard, context);
    }
    applyLedger(state, message.ledger, from.vm, context);
}

void onShareConfirm(State& state, const ProcessId& from, const ShareConfirm& message, Context& context)
{
    if (message.shard >= ledger::shardCount)
        return;
    auto& shard = state.quota.shards[message.shard];
    auto& confirmed = shard.confirmed[from];
    if (message.version <= confirmed)
        return;
    confirmed = message.version;
    if (!shard.ledger || shard.ledger->version != message.version)
        return;
    for (const auto& [key, entry] : shard.ledger->quotas) {
        for (const auto& it : entry.holders) {
            if (it.process == from && (it.recordedRate > it.assignedRate || it.recordedBurst > it.assignedBurst))
                planSoon(shard, context.now);
        }
    }
}

} // namespace arbutuscrank::quota
