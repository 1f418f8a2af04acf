#include <arbutuscrank/entry/target_selection.hpp>

#include <arbutuscrank/entry/target_health.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace arbutuscrank::entry {

namespace {

    /// Targets, in rendezvous order, that hold the same affinity value before load decides alone. Each one more is
    /// another cache to warm up.
    constexpr std::size_t affinityTargets = 3;
    /// A region serves its own requests up to this multiple of the fleet's average load before it sends some away.
    constexpr double localPreference = 1.3;
    /// Change of a region's share per second. Two seconds of it stay below half of the allowed shift of 15%.
    constexpr double splitStepPerSecond = 0.03;
    /// VMs that send to a cold target, so that the others need not share a rate of a few requests per second.
    constexpr std::size_t coldSenders = 2;
    /// Requests that a VM may send to a cold target at once.
    constexpr double coldBurst = 2;

    bool isListed(const std::vector<std::string>* list, const std::string& name)
    {
        return list && std::ranges::find(*list, name) != list->end();
    }

    bool isAllowed(const std::vector<std::string>* regions, const std::string& region)
    {
        return !regions || regions->empty() || isListed(regions, region);
    }

    std::uint64_t mix(std::uint64_t a, std::uint64_t b) { return Random(a ^ (b * 0x9e3779b97f4a7c15ULL)).next(); }

    double unit(std::uint64_t bits) { return (static_cast<double>(bits >> 11U) + 0.5) * 0x1.0p-53; }

    /// Weighted rendezvous hashing: a target with twice the slots gets twice the values.
    double rendezvousWeight(const Target& target, std::uint64_t affinityHash)
    {
        return -static_cast<double>(target.record.slots) / std::log(unit(mix(target.hash, affinityHash)));
    }

    bool takesCold(Target& target, TimePoint now)
    {
        return !target.isCold(now) || target.coldBucket.level(now) >= oneToken;
    }

} // namespace

std::string TargetSelection::chooseRegion(const Placement& placement, std::uint64_t affinityHash)
{
    const auto split = m_splits.find(placement.service);
    if (split == m_splits.end() || split->second.shares.empty())
        return m_region;
    std::vector<std::pair<std::string, double>> shares;
    double total = 0;
    // The own region comes first, so that the values that leave it are the same while its share changes little.
    const auto add = [&](const std::string& region, double share) {
        if (!isAllowed(placement.routeRegions, region) || !isAllowed(placement.accountRegions, region))
            return;
        shares.emplace_back(region, share);
        total += share;
    };
    if (const auto own = split->second.shares.find(m_region); own != split->second.shares.end())
        add(own->first, own->second);
    for (const auto& [region, share] : split->second.shares) {
        if (region != m_region)
            add(region, share);
    }
    if (total <= 0)
        return shares.empty() ? m_region : shares.front().first;
    double position = (placement.affinity.empty() ? m_random.unit() : unit(mix(affinityHash, 1))) * total;
    for (const auto& [region, share] : shares) {
        if (position < share)
            return region;
        position -= share;
    }
    return shares.back().first;
}

std::vector<TargetSelection::Candidate> TargetSelection::collect(
    TargetTable& targets, const Placement& placement, std::uint64_t affinityHash, TimePoint now)
{
    std::vector<Candidate> out;
    for (auto& [id, target] : targets.all()) {
        const auto& record = target.record;
        if (record.service != placement.service || !targets.isInService(target) || isListed(placement.tried, id))
            continue;
        if (!isAllowed(placement.routeRegions, record.region) || !isAllowed(placement.accountRegions, record.region))
            continue;
        Candidate candidate { .target = &target };
        candidate.weight = placement.affinity.empty() ? m_random.unit() : rendezvousWeight(target, affinityHash);
        candidate.loadPerSlot = target.load(now) / std::max(1U, record.slots);
        out.push_back(candidate);
    }
    return out;
}

Target* TargetSelection::tryEjected(TargetTable& targets, const Placement& placement, TimePoint now)
{
    if (!placement.idempotent)
        return nullptr;
    for (auto& [id, target] : targets.all()) {
        if (target.ejection == Ejection::None || target.record.service != placement.service
            || target.record.region != m_region || !targets.isInService(target) || isListed(placement.tried, id)
            || !isAllowed(placement.routeRegions, m_region) || !isAllowed(placement.accountRegions, m_region))
            continue;
        if (health::mayTry(target, now) && takesCold(target, now))
            return &target;
    }
    return nullptr;
}

Choice TargetSelection::choose(TargetTable& targets, const Placement& placement, TimePoint now)
{
    const auto affinityHash = XXH64(placement.affinity.data(), placement.affinity.size(), 0);
    if (auto* target = tryEjected(targets, placement, now); target && (!placement.tried || placement.tried->empty()))
        return { .target = target, .trial = true };
    auto candidates = collect(targets, placement, affinityHash, now);
    if (candidates.empty())
        return { .reason = NoTarget::NoneInService };
    const bool someHealthy
        = std::ranges::any_of(candidates, [](const auto& it) { return it.target->ejection == Ejection::None; });
    std::erase_if(candidates, [&](const Candidate& it) {
        if (it.target->ejection == Ejection::Unreachable)
            return !health::mayTry(*it.target, now);
        return someHealthy && it.target->ejection != Ejection::None;
    });
    const auto region = chooseRegion(placement, affinityHash);
    std::ranges::sort(candidates, [](const auto& a, const auto& b) { return a.weight > b.weight; });
    std::size_t preferred = 0;
    for (auto& it : candidates) {
        if (it.target->record.region != region)
            continue;
        if (it.loadPerSlot < 1 && takesCold(*it.target, now))
            return { .target = it.target };
        if (++preferred == affinityTargets)
            break;
    }
    const Candidate* best = nullptr;
    const auto cost = [&](const Candidate& it) {
        // Another region is chosen only for a target that is clearly less loaded.
        return it.loadPerSlot + (it.target->record.region == region ? 0.0 : 0.35);
    };
    for (const auto& it : candidates) {
        if (it.loadPerSlot < placement.maxLoad && takesCold(*it.target, now) && (!best || cost(it) < cost(*best)))
            best = &it;
    }
    if (!best)
        return { .reason = NoTarget::AllBusy };
    return { .target = best->target };
}

void TargetSelection::updateSplits(
    const TargetTable& targets, const std::map<std::string, std::map<std::string, double>>& demand, TimePoint now)
{
    std::map<std::string, std::map<std::string, double>> slots;
    for (const auto& [id, target] : targets.all()) {
        if (targets.isInService(target) && target.ejection == Ejection::None)
            slots[target.record.service][target.record.region] += target.record.slots;
    }
    std::erase_if(m_splits, [&](const auto& item) { return !slots.contains(item.first); });
    for (const auto& [service, bySlots] : slots) {
        const auto found = demand.find(service);
        const auto demandOf = [&](const std::string& region) {
            if (found == demand.end())
                return 0.0;
            const auto it = found->second.find(region);
            return it == found->second.end() ? 0.0 : it->second;
        };
        double totalSlots = 0;
        double totalDemand = 0;
        for (const auto& [region, n] : bySlots)
            totalSlots += n;
        if (found != demand.end()) {
            for (const auto& [region, perSecond] : found->second)
                totalDemand += perSecond;
        }
        const auto limitOf = [&](double n) { return localPreference * totalDemand * n / totalSlots; };
        std::map<std::string, double> wanted;
        const double own = demandOf(m_region);
        const auto ownSlots = bySlots.find(m_region);
        const double local = ownSlots == bySlots.end() ? 0
            : own <= 0                                 ? 1
                                                       : std::min(1.0, limitOf(ownSlots->second) / own);
        double spare = 0;
        for (const auto& [region, n] : bySlots) {
            if (region != m_region)
                spare += std::max(0.0, limitOf(n) - demandOf(region)) + 1e-6;
        }
        for (const auto& [region, n] : bySlots) {
            wanted[region] = region == m_region
                ? local
                : (1 - local) * (std::max(0.0, limitOf(n) - demandOf(region)) + 1e-6) / spare;
        }
        auto& split = m_splits[service];
        const double elapsed = std::chrono::duration<double>(now - split.updatedAt).count();
        const bool first = split.shares.empty() || totalDemand <= 0;
        split.updatedAt = now;
        if (first) {
            // Without reported demand every region is taken to ask for the same.
            split.shares.clear();
            for (const auto& [region, n] : bySlots)
                split.shares[region] = wanted[region];
            continue;
        }
        double distance = 0;
        for (const auto& [region, share] : wanted)
            distance = std::max(distance, std::abs(share - split.shares[region]));
        const double step = distance <= 0 ? 1 : std::min(1.0, splitStepPerSecond * elapsed / distance);
        std::erase_if(split.shares, [&](const auto& item) { return !wanted.contains(item.first); });
        for (const auto& [region, share] : wanted)
            split.shares[region] += step * (share - split.shares[region]);
    }
}

void TargetSelection::updateColdShares(
    TargetTable& targets, const PolicyIndex& policy, const MemberTable& members, TimePoint now)
{
    for (auto& [id, target] : targets.all()) {
        if (!target.isCold(now))
            continue;
        const auto* service = policy.findService(target.record.service);
        const double rate = service ? service->coldRate : 0;
        auto vms = members.vmsOfRegion(target.record.region);
        if (vms.empty())
            vms = { members.self().process.vm };
        std::ranges::sort(vms, [&](const auto& a, const auto& b) {
            return mix(target.hash, XXH64(a.data(), a.size(), 0)) > mix(target.hash, XXH64(b.data(), b.size(), 0));
        });
        const auto senders = std::min(coldSenders, vms.size());
        const bool sends
            = std::find(vms.begin(), vms.begin() + static_cast<std::ptrdiff_t>(senders), members.self().process.vm)
            != vms.begin() + static_cast<std::ptrdiff_t>(senders);
        const double part = sends ? 1.0 / static_cast<double>(senders) : 0;
        const auto tokens = [](double n) { return static_cast<MicroTokens>(n * static_cast<double>(oneToken)); };
        target.coldBucket.setShare(tokens(rate * part), tokens(sends ? coldBurst : 0), now);
    }
}

} // namespace arbutuscrank::entry
