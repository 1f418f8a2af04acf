#include "quota_operations.hpp"

#include <algorithm>
#include <set>

#include <xxhash.h>

namespace arbutuscrank {

std::size_t QuotaKeyHash::operator()(std::string_view key) const noexcept
{
    return static_cast<std::size_t>(XXH3_64bits(key.data(), key.size()));
}

} // namespace arbutuscrank

namespace arbutuscrank::quota {

// --- Keys ------------------------------------------------------------------------------------------------------------

std::string accountKey(std::string_view account) { return "account/" + std::string(account); }

std::string shiftKey(std::string_view shift) { return "shift/" + std::string(shift); }

std::string linkKey(std::string_view from, std::string_view to)
{
    return "link/" + std::string(from) + "/" + std::string(to);
}

std::string spillKey(std::string_view service, std::string_view region)
{
    return "spill/" + std::string(service) + "/" + std::string(region);
}

// --- Pools -----------------------------------------------------------------------------------------------------------

QuotaPool& findOrAddPool(State& state, std::string_view key)
{
    auto& pools = state.quota.pools;
    const auto it = pools.find(key);
    if (it != pools.end())
        return it->second;
    auto& pool = pools[std::string(key)];
    pool.key = key;
    return pool;
}

const LedgerEntry* findLedgerEntry(const State& state, std::string_view key)
{
    const auto& ledger = state.quota.shards[ledger::shardOf(key)].ledger;
    if (!ledger)
        return nullptr;
    const auto it = ledger->quotas.find(std::string(key));
    return it == ledger->quotas.end() ? nullptr : &it->second;
}

std::vector<VmId> holders(const State& state, std::string_view key)
{
    std::vector<VmId> vms;
    const auto* entry = findLedgerEntry(state, key);
    if (entry == nullptr)
        return vms;
    for (const auto& it : entry->holders) {
        if (it.assignedBurst > 0 && std::find(vms.begin(), vms.end(), it.process.vm) == vms.end())
            vms.push_back(it.process.vm);
    }
    return vms;
}

std::vector<VmId> neededPeers(const State& state)
{
    std::set<VmId> vms;
    for (const auto& shard : state.quota.shards) {
        const bool holds = holdsShare(state, shard);
        if (holds || shard.isChosenHolder)
            vms.insert(shard.writer);
        if (!shard.ledger)
            continue;
        for (const auto& [key, entry] : shard.ledger->quotas) {
            if (!isWriter(state, shard) && !state.quota.pools.contains(key))
                continue;
            for (const auto& it : entry.holders)
                vms.insert(it.process.vm);
        }
    }
    vms.erase(VmId {});
    vms.erase(state.self.process.vm);
    return { vms.begin(), vms.end() };
}

// --- Events ----------------------------------------------------------------------------------------------------------

void startLeaving(State& state, Context& context)
{
    state.quota.selfLeaving = true;
    for (auto& [key, pool] : state.quota.pools)
        pool.bucket.setShare(0, 0, context.now);
    for (std::uint32_t n = 0; n < ledger::shardCount; ++n)
        startNextStoreCall(state, n, context);
}

void onTick(State& state, Context& context)
{
    auto& own = state.quota;
    // One shard per tick, because ranking all members for every quota takes milliseconds in the largest fleets.
    if (own.shardsToRefresh > 0) {
        refreshShardRoles(state, own.nextShardToRefresh, context.now);
        own.nextShardToRefresh = (own.nextShardToRefresh + 1) % ledger::shardCount;
        --own.shardsToRefresh;
    }
    for (auto it = own.activePools.begin(); it != own.activePools.end();) {
        auto& pool = *it->second;
        releaseExpiredLoans(pool, context.now);
        (void)dropFinishedLoans(pool, context.now);
        serveWaiters(state, pool, context);
        refuseExpiredWaiters(state, pool, context);
        updateLoans(state, pool, context);
        const bool isIdle = pool.waiters.empty() && pool.lentLoans.empty() && pool.borrowedLoans.empty()
            && pool.requestedLoans.empty() && pool.unreportedLoans.empty();
        it = isIdle ? own.activePools.erase(it) : std::next(it);
    }
    for (std::uint32_t n = 0; n < ledger::shardCount; ++n) {
        auto& shard = own.shards[n];
        confirmShares(state, shard, context);
        repushUnconfirmed(state, shard, context);
        startNextStoreCall(state, n, context);
    }
}

void onConfigurationApplied(State& state, const ConfigurationApplied& /*event*/, Context& context)
{
    auto& own = state.quota;
    own.grants = ledger::grantsOf(configuration::active(state)->document());
    own.shardsToRefresh = ledger::shardCount;
    for (auto& shard : own.shards)
        schedulePlan(shard, context.now);
}

void onMemberChanged(State& state, const MemberChanged& /*event*/, Context& context)
{
    state.quota.shardsToRefresh = ledger::shardCount;
    for (auto& shard : state.quota.shards)
        schedulePlan(shard, context.now);
}

} // namespace arbutuscrank::quota
