#include "quota_operations.hpp"

#include <algorithm>

namespace arbutuscrank::quota {

namespace {

    /// Delay of a plan, so that all changes within this time go into one write.
    constexpr Duration planDelay = std::chrono::milliseconds(300);

    const LedgerHolder* findOwnHolder(const State& state, const LedgerEntry& entry)
    {
        const auto it = std::find_if(entry.holders.begin(), entry.holders.end(),
            [&](const LedgerHolder& holder) { return holder.process == state.self.process; });
        return it == entry.holders.end() ? nullptr : &*it;
    }

    /// Sets the share of each bucket of the shard from the ledger in use.
    void applyShares(State& state, LedgerShard& shard, TimePoint now)
    {
        bool isLowered = false;
        for (const auto& [key, entry] : shard.ledger->quotas) {
            const auto* holder = findOwnHolder(state, entry);
            if (holder == nullptr)
                continue;
            isLowered = isLowered || holder->recordedRate > holder->assignedRate
                || holder->recordedBurst > holder->assignedBurst;
            if (!state.quota.selfLeaving) {
                findOrAddPool(state, key)
                    .bucket.setShare(std::min(holder->recordedRate, holder->assignedRate),
                        std::min(holder->recordedBurst, holder->assignedBurst), now);
            }
        }
        for (auto& [key, pool] : state.quota.pools) {
            if (pool.bucket.burst() == 0 || ledger::shardOf(key) != shard.ledger->shard)
                continue;
            const auto* entry = findLedgerEntry(state, key);
            if (entry == nullptr || findOwnHolder(state, *entry) == nullptr)
                pool.bucket.setShare(0, 0, now);
        }
        if (!isLowered)
            shard.loweredSince.reset();
        else if (!shard.loweredSince)
            shard.loweredSince = now;
    }

} // namespace

bool holdsShare(const State& state, const LedgerShard& shard)
{
    return shard.ledger && std::any_of(shard.ledger->quotas.begin(), shard.ledger->quotas.end(), [&](const auto& it) {
        return findOwnHolder(state, it.second) != nullptr;
    });
}

void schedulePlan(LedgerShard& shard, TimePoint now)
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
            membership::registerProcess(state, it.process, context);
    }
    applyShares(state, shard, context.now);
    shard.isConfirmationDue = holdsShare(state, shard);
    shard.confirmationReceiver = from;
    context.log(LogEvent::LedgerApplied,
        "shard=" + std::to_string(ledger.shard) + " version=" + std::to_string(ledger.version));
    confirmShares(state, shard, context);
    schedulePlan(shard, context.now);
    for (auto& [id, pool] : state.quota.activePools) {
        if (ledger::shardOf(pool->key) == ledger.shard)
            serveWaiters(state, *pool, context);
    }
}

void confirmShares(State& state, LedgerShard& shard, Context& context)
{
    if (!shard.isConfirmationDue)
        return;
    // Outstanding loans from the former share can still be spent. The lower share is confirmed only when they fit into
    // it, so that the writer does not give the difference to other holders before.
    for (const auto& [key, entry] : shard.ledger->quotas) {
        const auto* holder = findOwnHolder(state, entry);
        const auto pool = state.quota.pools.find(key);
        if (holder != nullptr && pool != state.quota.pools.end()
            && pool->second.bucket.lent() > std::min(holder->recordedBurst, holder->assignedBurst))
            return;
    }
    shard.isConfirmationDue = false;
    shard.confirmedVersions[state.self.process] = shard.ledger->version;
    if (isWriter(state, shard))
        schedulePlan(shard, context.now);
    const ShareConfirm message { shard.ledger->shard, shard.ledger->version };
    for (const auto& vm :
        { shard.writer, shard.confirmationReceiver == shard.writer ? VmId {} : shard.confirmationReceiver }) {
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
        shard.isConfirmationDue = true; // the previous confirmation was lost or went to another writer
        shard.confirmationReceiver = from.vm;
        confirmShares(state, shard, context);
    }
    applyLedger(state, message.ledger, from.vm, context);
}

void onShareConfirm(State& state, const ProcessId& from, const ShareConfirm& message, Context& context)
{
    if (message.shard >= ledger::shardCount)
        return;
    auto& shard = state.quota.shards[message.shard];
    auto& confirmed = shard.confirmedVersions[from];
    if (message.version <= confirmed)
        return;
    confirmed = message.version;
    if (!shard.ledger || shard.ledger->version != message.version)
        return;
    for (const auto& [key, entry] : shard.ledger->quotas) {
        for (const auto& it : entry.holders) {
            if (it.process == from && (it.recordedRate > it.assignedRate || it.recordedBurst > it.assignedBurst))
                schedulePlan(shard, context.now);
        }
    }
}

} // namespace arbutuscrank::quota
