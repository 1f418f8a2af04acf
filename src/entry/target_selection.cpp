#include <arbutuscrank/entry/target_selection.hpp>

#include <arbutuscrank/entry/target_health.hpp>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace arbutuscrank::entry {

namespace {

    /// Load per slot up to which the first targets in rendezvous order are used before load decides alone. A short wait
    /// at a target that holds the object takes less time than loading it at another one.
    constexpr std::array affinityLoad { 1.2, 1.0, 1.0 };
    /// A region serves its own requests up to this multiple of the fleet's average load before it sends some away.
    constexpr double localPreference = 1.3;
    /// Change of a region's share per second. Two seconds of it stay below half of the allowed shift of 15%.
    constexpr double splitStepPerSecond = 0.05;
    /// Age of a service's targets up to which their caches are filled by the whole fleet together.
    constexpr double warmUpSeconds = 12;
    /// Seeds of the two positions of an affinity value: among all regions, and between the fleet and this region.
    constexpr std::uint64_t fleetSeed = 1;
    constexpr std::uint64_t localSeed = 2;
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

    /// Part of the affinity values that may be loaded into a second region's caches, by the median age of the targets.
    double warmedPart(std::vector<std::uint64_t>& startsMs, std::uint64_t unixMs)
    {
        const auto middle = startsMs.begin() + static_cast<std::ptrdiff_t>(startsMs.size() / 2);
        std::nth_element(startsMs.begin(), middle, startsMs.end());
        const double age = (static_cast<double>(unixMs) - static_cast<double>(*middle)) / 1000;
        return std::clamp(splitStepPerSecond * (age - warmUpSeconds), 0.0, 1.0);
    }

    bool takesCold(Target& target, TimePoint now)
    {
        return !target.isCold(now) || target.coldBucket.level(now) >= oneToken;
    }

} // namespace

std::string TargetSelection::chooseRegion(const Placement& placement, std::uint64_t affinityHash)
{
    const auto split = m_splits.find(placement.service);
    if (split == m_splits.end())
        return m_region;
    const bool hasAffinity = !placement.affinity.empty();
    const auto allowed = [&](const std::string& region) {
        return isAllowed(placement.routeRegions, region) && isAllowed(placement.accountRegions, region);
    };
    const auto& slots = split->second.slots;
    const double localPosition = hasAffinity ? unit(mix(affinityHash, localSeed)) : m_random.unit();
    if (localPosition < split->second.local && slots.contains(m_region) && allowed(m_region))
        return m_region;
    double total = 0;
    for (const auto& [region, n] : slots)
        total += allowed(region) ? n : 0;
    double position = (hasAffinity ? unit(mix(affinityHash, fleetSeed)) : m_random.unit()) * total;
    for (const auto& [region, n] : slots) {
        if (!allowed(region))
            continue;
        if (position < n)
            return region;
        position -= n;
    }
    return m_region;
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
    if (std::ranges::any_of(candidates, [&](const auto& it) { return it.target->record.region == region; }))
        std::erase_if(candidates, [&](const auto& it) { return it.target->record.region != region; });
    // A target that gets all objects holds none of them: each cache would drop them before they are asked for again.
    if (!placement.affinity.empty() && candidates.size() > affinityLoad.size())
        candidates.resize(affinityLoad.size());
    const Candidate* best = nullptr;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& it = candidates[i];
        if (!takesCold(*it.target, now))
            continue;
        if (!placement.affinity.empty() && it.loadPerSlot < std::min(affinityLoad[i], placement.maxLoad))
            return { .target = it.target };
        if (it.loadPerSlot < placement.maxLoad && (!best || it.loadPerSlot < best->loadPerSlot))
            best = &it;
    }
    if (!best)
        return { .reason = NoTarget::AllBusy };
    return { .target = best->target };
}

void TargetSelection::updateSplits(const TargetTable& targets,
    const std::map<std::string, std::map<std::string, double>>& demand, std::uint64_t unixMs, TimePoint now)
{
    std::map<std::string, std::map<std::string, double>> slots;
    std::map<std::string, std::vector<std::uint64_t>> starts;
    for (const auto& [id, target] : targets.all()) {
        if (!targets.isInService(target))
            continue;
        slots[target.record.service][target.record.region] += target.record.slots;
        starts[target.record.service].push_back(target.record.startedAtMs);
    }
    std::erase_if(m_splits, [&](const auto& item) { return !slots.contains(item.first); });
    for (auto& [service, bySlots] : slots) {
        auto& split = m_splits[service];
        const bool first = split.slots.empty();
        const double elapsed = first ? 0 : std::chrono::duration<double>(now - split.updatedAt).count();
        const auto found = demand.find(service);
        const double wanted = std::min(
            found == demand.end() ? 1.0 : localPart(bySlots, found->second), warmedPart(starts[service], unixMs));
        split.slots = std::move(bySlots);
        split.updatedAt = now;
        const double step = splitStepPerSecond * elapsed;
        split.local = first ? wanted : std::clamp(wanted, split.local - step, split.local + step);
    }
}

double TargetSelection::localPart(
    const std::map<std::string, double>& slots, const std::map<std::string, double>& demand) const
{
    const auto sum = [](const std::map<std::string, double>& values) {
        return std::accumulate(
            values.begin(), values.end(), 0.0, [](double n, const auto& it) { return n + it.second; });
    };
    const auto own = demand.find(m_region);
    const auto ownSlots = slots.find(m_region);
    if (ownSlots == slots.end())
        return 0;
    if (own == demand.end() || own->second <= 0)
        return 1;
    const double limit = localPreference * sum(demand) * ownSlots->second / sum(slots);
    return std::min(1.0, limit / own->second);
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
