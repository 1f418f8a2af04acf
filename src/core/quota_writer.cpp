#include "quota_operations.hpp"

#include <algorithm>
#include <set>

namespace arbutuscrank::quota {

namespace {

    /// A holder whose lowered share has not been recorded for this long records it itself, because its confirmations
    /// may not reach the writer.
    constexpr Duration selfRecordDelay = std::chrono::seconds(3);
    /// Interval at which the ledger is sent again to holders that have not confirmed it.
    constexpr Duration repushInterval = std::chrono::seconds(1);
    /// A daemon does not plan for this long after its start, because it knows few members at first and would divide the
    /// shares among those alone.
    constexpr Duration startupPlanDelay = std::chrono::seconds(3);
    /// A daemon that is newly chosen as a holder waits this long for a push before it reads the ledger itself.
    constexpr Duration firstPollDelay = std::chrono::seconds(3);

    bool hasLaterIncarnation(const State& state, const ProcessId& process)
    {
        if (process.vm == state.self.process.vm)
            return state.self.process.incarnation > process.incarnation;
        const auto* record = membership::find(state, process.vm);
        return record != nullptr && record->member.process.incarnation > process.incarnation;
    }

    ledger::HolderStatus holderStatusOf(const State& state, const ProcessId& process)
    {
        if (process == state.self.process)
            return state.quota.selfLeaving ? ledger::HolderStatus::Leaving : ledger::HolderStatus::Usable;
        if (membership::isGone(state, process) || hasLaterIncarnation(state, process))
            return ledger::HolderStatus::Gone;
        const auto* record = membership::find(state, process.vm);
        if (record == nullptr || record->member.process != process)
            return ledger::HolderStatus::Unknown;
        return record->member.leaving ? ledger::HolderStatus::Leaving : ledger::HolderStatus::Usable;
    }

    std::set<ProcessId> holderProcesses(const Ledger& ledger)
    {
        std::set<ProcessId> processes;
        for (const auto& [key, entry] : ledger.quotas) {
            for (const auto& it : entry.holders)
                processes.insert(it.process);
        }
        return processes;
    }

    /// Daemons that may hold shares: the active members, and the holders that are suspected but not proven gone, whose
    /// shares cannot be moved anyway.
    std::vector<ledger::Candidate> eligibleCandidates(const State& state, const Ledger& ledger)
    {
        std::vector<ledger::Candidate> candidates;
        std::set<ProcessId> included;
        for (const auto& it : membership::activeMembers(state, {})) {
            if (holderStatusOf(state, it.process) != ledger::HolderStatus::Usable)
                continue;
            candidates.push_back({ it.process, it.region, it.failureDomain });
            included.insert(it.process);
        }
        for (const auto& process : holderProcesses(ledger)) {
            if (included.contains(process) || holderStatusOf(state, process) != ledger::HolderStatus::Usable)
                continue;
            const auto& member = membership::find(state, process.vm)->member;
            candidates.push_back({ process, member.region, member.failureDomain });
        }
        return candidates;
    }

    /// Plans the ledger as its writer. Postpones the plan while loans of a lost holder may still be spent.
    std::optional<ledger::Stored> proposePlan(State& state, LedgerShard& shard, TimePoint now)
    {
        const auto version = configuration::version(state);
        if (version == 0 || shard.stored->manifestVersion > version)
            return std::nullopt;
        const auto& base = shard.stored->ledger;
        std::map<ProcessId, ledger::HolderStatus> statuses;
        std::optional<TimePoint> waitUntil;
        for (const auto& process : holderProcesses(base)) {
            const auto status = statuses[process] = holderStatusOf(state, process);
            if (status != ledger::HolderStatus::Gone)
                continue;
            // Borrowers may still spend loans that the process granted just before it ended.
            const auto freeAt = shard.goneSince.emplace(process, now).first->second + loanLifetime + loanMargin;
            if (freeAt > now)
                waitUntil = std::max(waitUntil.value_or(freeAt), freeAt);
        }
        if (waitUntil) {
            shard.planAt = waitUntil;
            return std::nullopt;
        }
        ledger::PlanInput input;
        input.grants = &state.quota.grants;
        input.candidates = eligibleCandidates(state, base);
        input.status = [&](const ProcessId& process) {
            const auto it = statuses.find(process);
            return it == statuses.end() ? ledger::HolderStatus::Usable : it->second;
        };
        input.isConfirmed = [&](const ProcessId& process) {
            const auto it = shard.confirmedVersions.find(process);
            return it != shard.confirmedVersions.end() && it->second == base.version;
        };
        ledger::Stored next { ledger::plan(base, input), version };
        if (ledger::haveSameContent(next.ledger, base))
            return std::nullopt;
        return next;
    }

    /// Records the shares that this daemon itself has given up. This does not depend on the state of other members.
    std::optional<ledger::Stored> proposeOwnReductions(const State& state, const LedgerShard& shard)
    {
        auto next = *shard.stored;
        const bool isConfirmed
            = !shard.isConfirmationDue && shard.ledger && shard.ledger->version == next.ledger.version;
        for (auto& [key, entry] : next.ledger.quotas) {
            const auto pool = state.quota.pools.find(key);
            const auto lent = pool == state.quota.pools.end() ? 0 : pool->second.bucket.lent();
            if (state.quota.selfLeaving && lent == 0) {
                std::erase_if(entry.holders, [&](const LedgerHolder& it) { return it.process == state.self.process; });
            }
            for (auto& it : entry.holders) {
                if (it.process != state.self.process || !isConfirmed || state.quota.selfLeaving)
                    continue;
                it.recordedRate = std::min(it.recordedRate, it.assignedRate);
                it.recordedBurst = std::min(it.recordedBurst, it.assignedBurst);
            }
        }
        if (ledger::haveSameContent(next.ledger, shard.stored->ledger))
            return std::nullopt;
        return next;
    }

} // namespace

bool isWriter(const State& state, const LedgerShard& shard)
{
    return !state.quota.selfLeaving && shard.writer == state.self.process.vm;
}

void refreshShardRoles(State& state, std::uint32_t index, TimePoint now)
{
    auto& shard = state.quota.shards[index];
    const bool wasWriter = isWriter(state, shard);
    if (!state.quota.startedAt)
        state.quota.startedAt = now;
    const auto candidates = eligibleCandidates(state, {});
    std::vector<VmId> vms;
    vms.reserve(candidates.size());
    for (const auto& it : candidates)
        vms.push_back(it.process.vm);
    const auto order = membership::rendezvousOrder(ledger::objectKey(index), vms);
    shard.writer = order.empty() ? VmId {} : order.front();
    if (!wasWriter && isWriter(state, shard)) {
        shard.nextRepushAt = now;
        schedulePlan(shard, now);
    }
    const bool isChosenHolder = std::any_of(state.quota.grants.begin(), state.quota.grants.end(), [&](const auto& it) {
        if (ledger::shardOf(it.first) != index)
            return false;
        const auto chosen = ledger::chooseHolders(it.first, it.second, candidates);
        return std::find(chosen.begin(), chosen.end(), state.self.process) != chosen.end();
    });
    if (isChosenHolder && !shard.isChosenHolder)
        shard.nextPollAt = now + firstPollDelay;
    shard.isChosenHolder = isChosenHolder;
}

bool isWriteCheckDue(const State& state, const LedgerShard& shard, TimePoint now)
{
    if (state.quota.selfLeaving)
        return holdsShare(state, shard);
    if (isWriter(state, shard))
        return shard.planAt && now >= *shard.planAt && now >= state.quota.startedAt.value_or(now) + startupPlanDelay;
    return shard.loweredSince && now - *shard.loweredSince >= selfRecordDelay;
}

std::optional<ledger::Stored> proposeLedger(State& state, LedgerShard& shard, TimePoint now)
{
    if (!isWriter(state, shard))
        return proposeOwnReductions(state, shard);
    shard.planAt.reset();
    return proposePlan(state, shard, now);
}

void pushLedger(State& state, LedgerShard& shard, bool holdersChanged, Context& context)
{
    std::set<VmId> receivers;
    std::set<std::string> regions;
    for (const auto& process : holderProcesses(*shard.ledger)) {
        receivers.insert(process.vm);
        const auto* record = membership::find(state, process.vm);
        regions.insert(record == nullptr ? state.self.region : record->member.region);
    }
    if (holdersChanged) { // borrowers only need to know the holders
        for (const auto& it : membership::activeMembers(state, {})) {
            if (regions.contains(it.region))
                receivers.insert(it.process.vm);
        }
    }
    receivers.erase(state.self.process.vm);
    for (const auto& vm : receivers)
        context.send(vm, LedgerPush { *shard.ledger });
    shard.nextRepushAt = context.now + repushInterval;
}

void repushUnconfirmed(State& state, LedgerShard& shard, Context& context)
{
    if (!shard.ledger || context.now < shard.nextRepushAt || !isWriter(state, shard))
        return;
    shard.nextRepushAt = context.now + repushInterval;
    for (const auto& process : holderProcesses(*shard.ledger)) {
        const auto it = shard.confirmedVersions.find(process);
        if ((it == shard.confirmedVersions.end() || it->second < shard.ledger->version)
            && process.vm != state.self.process.vm && membership::isTrusted(state, process.vm)
            && holderStatusOf(state, process) != ledger::HolderStatus::Gone)
            context.send(process.vm, LedgerPush { *shard.ledger });
    }
}

} // namespace arbutuscrank::quota
