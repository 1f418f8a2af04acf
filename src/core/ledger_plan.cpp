#include <arbutuscrank/core/ledger.hpp>
#include <arbutuscrank/core/membership.hpp>
#include <arbutuscrank/core/quota.hpp>

#include <algorithm>
#include <cmath>
#include <set>

#include <xxhash.h>

namespace arbutuscrank::ledger {

namespace {

    MicroTokens microTokens(double tokens) { return std::llround(tokens * static_cast<double>(oneToken)); }

    /// Size of part \p index when \p total is split into \p count nearly equal parts without a remainder.
    MicroTokens evenPart(MicroTokens total, std::size_t count, std::size_t index)
    {
        const auto n = static_cast<MicroTokens>(count);
        return total / n + (static_cast<MicroTokens>(index) < total % n ? 1 : 0);
    }

    struct Share {
        MicroTokens rate = 0;
        MicroTokens burst = 0;
    };

    /// Raises the recorded value towards \p target as far as \p unrecorded allows, which is the part of the grant that
    /// no holder has recorded. Sets the assigned value to the smaller of target and recorded value.
    void adjustShare(MicroTokens target, MicroTokens& recorded, MicroTokens& assigned, MicroTokens& unrecorded)
    {
        if (target > recorded) {
            const auto raise = std::clamp<MicroTokens>(target - recorded, 0, std::max<MicroTokens>(0, unrecorded));
            recorded += raise;
            unrecorded -= raise;
        }
        assigned = std::min(target, recorded);
    }

    LedgerEntry planEntry(std::string_view key, LedgerEntry entry, const Grant& grant, const PlanInput& input)
    {
        entry.grantRate = grant.rate;
        entry.grantBurst = grant.burst;
        std::erase_if(
            entry.holders, [&](const LedgerHolder& it) { return input.status(it.process) == HolderStatus::Gone; });
        for (auto& it : entry.holders) {
            if (input.isConfirmed(it.process)) {
                it.recordedRate = std::min(it.recordedRate, it.assignedRate);
                it.recordedBurst = std::min(it.recordedBurst, it.assignedBurst);
            }
        }

        // Shares of processes with unknown status stay unchanged; the other holders split the rest of the grant.
        Grant remainingGrant = grant;
        for (const auto& it : entry.holders) {
            if (input.status(it.process) == HolderStatus::Unknown) {
                remainingGrant.rate = std::max<MicroTokens>(0, remainingGrant.rate - it.recordedRate);
                remainingGrant.burst = std::max<MicroTokens>(0, remainingGrant.burst - it.recordedBurst);
            }
        }
        std::map<ProcessId, Share> targets;
        const auto chosen = chooseHolders(key, remainingGrant, input.candidates);
        for (std::size_t n = 0; n < chosen.size(); ++n) {
            targets[chosen[n]]
                = { evenPart(remainingGrant.rate, chosen.size(), n), evenPart(remainingGrant.burst, chosen.size(), n) };
            if (std::none_of(entry.holders.begin(), entry.holders.end(),
                    [&](const LedgerHolder& it) { return it.process == chosen[n]; }))
                entry.holders.push_back({ chosen[n] });
        }

        MicroTokens unrecordedRate = grant.rate;
        MicroTokens unrecordedBurst = grant.burst;
        for (const auto& it : entry.holders) {
            unrecordedRate -= it.recordedRate;
            unrecordedBurst -= it.recordedBurst;
        }
        for (auto& it : entry.holders) {
            if (input.status(it.process) == HolderStatus::Unknown && !targets.contains(it.process))
                continue;
            const auto target = targets.contains(it.process) ? targets.at(it.process) : Share {};
            adjustShare(target.rate, it.recordedRate, it.assignedRate, unrecordedRate);
            adjustShare(target.burst, it.recordedBurst, it.assignedBurst, unrecordedBurst);
        }
        std::erase_if(entry.holders, [&](const LedgerHolder& it) {
            return it.recordedRate == 0 && it.recordedBurst == 0 && !targets.contains(it.process);
        });
        return entry;
    }

} // namespace

std::uint32_t shardOf(std::string_view quota) noexcept
{
    return static_cast<std::uint32_t>(XXH3_64bits(quota.data(), quota.size()) % shardCount);
}

Grants grantsOf(const Document& document)
{
    Grants grants;
    std::vector<std::string> allRegions;
    for (const auto& it : document.regions)
        allRegions.push_back(it.name);
    for (const auto& it : document.accounts) {
        if (!it.withdrawn) {
            grants[quota::accountKey(it.name)] = { microTokens(it.ratePerSecond), microTokens(it.burst),
                it.regions.empty() ? allRegions : it.regions };
        }
    }
    for (const auto& it : document.shifts) {
        grants[quota::shiftKey(it.name)] = { microTokens(it.capPerSecond),
            microTokens(std::max(1.0, it.capPerSecond * shiftBurstSeconds)), { it.from } };
    }
    for (const auto& it : document.links) {
        const auto bytes = microTokens(it.megabitsPerSecond * 1e6 / 8);
        grants[quota::linkKey(it.a, it.b)] = { bytes, bytes, { it.a } };
        grants[quota::linkKey(it.b, it.a)] = { bytes, bytes, { it.b } };
    }
    for (const auto& service : document.services) {
        for (const auto& it : service.spill) {
            auto others = allRegions;
            std::erase(others, it.region);
            grants[quota::spillKey(service.name, it.region)]
                = { microTokens(it.perSecond), microTokens(it.burst), std::move(others) };
        }
    }
    return grants;
}

std::vector<ProcessId> chooseHolders(
    std::string_view quota, const Grant& grant, const std::vector<Candidate>& candidates)
{
    if (grant.rate <= 0 || grant.burst <= 0 || candidates.empty())
        return {};
    const auto maxCount = std::clamp<MicroTokens>(grant.burst / minBurstShare, 1, maxHolders);
    std::vector<std::vector<const Candidate*>> pickedByRegion;
    // The order of the regions differs between quotas, so quotas with fewer holders than regions do not all leave out
    // the same regions.
    for (const auto& region : membership::rendezvousOrder(quota, grant.regions)) {
        std::map<std::string_view, const Candidate*> byVm;
        std::vector<VmId> vms;
        for (const auto& it : candidates) {
            if (it.region == region) {
                byVm[it.process.vm] = &it;
                vms.push_back(it.process.vm);
            }
        }
        auto& picked = pickedByRegion.emplace_back();
        const auto order = membership::rendezvousOrder(quota, vms);
        for (const auto& vm : order) {
            if (picked.empty())
                picked.push_back(byVm.at(vm));
            else if (picked.size() < maxHoldersPerRegion && byVm.at(vm)->failureDomain != picked.front()->failureDomain)
                picked.push_back(byVm.at(vm));
        }
        if (picked.size() < maxHoldersPerRegion && order.size() >= maxHoldersPerRegion)
            picked.push_back(byVm.at(order[1]));
    }
    std::vector<ProcessId> holders;
    for (std::size_t round = 0; round < maxHoldersPerRegion; ++round) {
        for (const auto& picked : pickedByRegion) {
            if (round < picked.size() && holders.size() < static_cast<std::size_t>(maxCount))
                holders.push_back(picked[round]->process);
        }
    }
    return holders;
}

Ledger plan(const Ledger& base, const PlanInput& input)
{
    Ledger next { base.shard, base.version, {} };
    std::set<std::string, std::less<>> keys;
    for (const auto& [key, entry] : base.quotas)
        keys.insert(key);
    for (const auto& [key, grant] : *input.grants) {
        if (shardOf(key) == base.shard)
            keys.insert(key);
    }
    for (const auto& key : keys) {
        const auto grant = input.grants->find(key);
        const auto oldEntry = base.quotas.find(key);
        auto entry = planEntry(key, oldEntry == base.quotas.end() ? LedgerEntry {} : oldEntry->second,
            grant == input.grants->end() ? Grant {} : grant->second, input);
        if (grant != input.grants->end() || !entry.holders.empty())
            next.quotas.emplace(key, std::move(entry));
    }
    return next;
}

bool haveSameContent(const Ledger& a, const Ledger& b)
{
    const auto sameHolder = [](const LedgerHolder& x, const LedgerHolder& y) {
        return x.process == y.process && x.recordedRate == y.recordedRate && x.recordedBurst == y.recordedBurst
            && x.assignedRate == y.assignedRate && x.assignedBurst == y.assignedBurst;
    };
    return std::equal(a.quotas.begin(), a.quotas.end(), b.quotas.begin(), b.quotas.end(), [&](auto& x, auto& y) {
        return x.first == y.first && x.second.grantRate == y.second.grantRate
            && x.second.grantBurst == y.second.grantBurst
            && std::equal(x.second.holders.begin(), x.second.holders.end(), y.second.holders.begin(),
                y.second.holders.end(), sameHolder);
    });
}

bool haveSameHolders(const Ledger& a, const Ledger& b)
{
    return std::equal(a.quotas.begin(), a.quotas.end(), b.quotas.begin(), b.quotas.end(), [](auto& x, auto& y) {
        return x.first == y.first
            && std::equal(x.second.holders.begin(), x.second.holders.end(), y.second.holders.begin(),
                y.second.holders.end(), [](auto& p, auto& q) { return p.process == q.process; });
    });
}

} // namespace arbutuscrank::ledger
