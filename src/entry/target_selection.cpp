#include <arbutuscrank/entry/target_selection.hpp>

#include <arbutuscrank/entry/rendezvous.hpp>
#include <arbutuscrank/entry/target_health.hpp>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace arbutuscrank::entry {

namespace {

    /// Load per slot up to which the first and second target in rendezvous order are used regardless of each other's
    /// load. Waiting briefly at a target that has the object cached is faster than loading it at another target.
    constexpr std::array affinityLoad { 1.5, 1.3 };
    /// A region keeps its own requests up to this multiple of the fleet's average load before it sends some to other
    /// regions.
    constexpr double localPreference = 1.1;
    /// Fraction of the maximum region shift by which a split may change in a second. The maximum applies to two
    /// seconds.
    constexpr double shiftFractionPerSecond = 0.4;
    /// Difference from the desired split that is ignored, because each affinity value that moves has to be loaded into
    /// another cache.
    constexpr double shiftDeadBand = 0.05;
    /// Time after the start in which the split follows the demand immediately. A single VM contributes little to the
    /// shift, and when the whole fleet starts, all caches are empty.
    constexpr Duration startupTime = std::chrono::seconds(3);
    /// Minimum spare capacity of a region, as a fraction of its slots.
    constexpr double minSpareFraction = 0.02;
    /// Restricted demand of other regions' callers from which a region counts as shared, and below which it no longer
    /// does, as a fraction of the demand that its slots would take in an even spread over the fleet.
    constexpr double sharedRegionFraction = 0.5;
    constexpr double sharedRegionEndFraction = 0.4;
    /// Unrestricted demand for a service, in requests per second, below which it counts as not reported.
    constexpr double minReportedDemand = 0.01;
    /// Slack class of routes without a latency objective.
    constexpr std::uint32_t greatestSlackClass = 255;
    /// Hash seed that decides whether an affinity value stays in its region.
    constexpr std::uint64_t localityHashSeed = 2;

    bool isListed(const std::vector<std::string>* list, const std::string& name)
    {
        return list && std::ranges::find(*list, name) != list->end();
    }

    bool isAllowed(const std::vector<std::string>* regions, const std::string& region)
    {
        return !regions || regions->empty() || isListed(regions, region);
    }

    /// Takes regions out of a split that the desired one lacks.
    /// \returns the fraction of affinity values that change their region until the split is the desired one
    double distanceTo(std::map<std::string, double>& fractions, const std::map<std::string, double>& desired)
    {
        // A region without targets cannot receive requests, so its part goes to the other regions immediately.
        std::erase_if(fractions, [&](const auto& item) { return !desired.contains(item.first); });
        double total = 0;
        for (const auto& [region, fraction] : fractions)
            total += fraction;
        if (total <= 0) {
            fractions = desired;
            return 0;
        }
        double distance = 0;
        for (const auto& [region, fraction] : desired) {
            auto& current = fractions[region];
            current /= total;
            distance += std::abs(fraction - current) / 2;
        }
        return distance;
    }

    void moveTowards(
        std::map<std::string, double>& fractions, const std::map<std::string, double>& desired, double stepFraction)
    {
        for (const auto& [region, fraction] : desired)
            fractions[region] += stepFraction * (fraction - fractions[region]);
    }

    /// Moves a split towards the desired one by at most \p step, measured as the fraction of affinity values that
    /// change their region.
    void stepTowards(std::map<std::string, double>& fractions, const std::map<std::string, double>& desired,
        double step, double deadBand)
    {
        if (const double distance = distanceTo(fractions, desired); distance > deadBand)
            moveTowards(fractions, desired, std::min(1.0, step / distance));
    }

    template <typename Key> double sumOf(const std::map<Key, double>& values)
    {
        return std::accumulate(
            values.begin(), values.end(), 0.0, [](double sum, const auto& item) { return sum + item.second; });
    }

    /// Splits by slack class that add up to the split of all classes: what stays in \p local is what has least slack.
    /// \param perSecond demand by class
    std::map<std::uint32_t, std::map<std::string, double>> splitByClass(const std::map<std::string, double>& fractions,
        const std::string& local, const std::map<std::uint32_t, double>& perSecond)
    {
        const auto own = fractions.find(local);
        const double localFraction = own == fractions.end() ? 0 : own->second;
        double left = localFraction * sumOf(perSecond);
        std::map<std::uint32_t, std::map<std::string, double>> out;
        for (const auto& [slack, n] : perSecond) {
            const double stays = n <= 0 ? 0 : std::min(1.0, left / n);
            left = std::max(0.0, left - stays * n);
            auto& byRegion = out[slack] = fractions;
            // With a local fraction of 1 all classes stay, and the parts of the other regions are 0.
            const double growth = localFraction < 1 ? (1 - stays) / (1 - localFraction) : 0;
            for (auto& [region, fraction] : byRegion)
                fraction = region == local ? stays : fraction * growth;
        }
        return out;
    }

    /// Moves the splits of all classes towards the desired ones by at most \p step, measured as the fraction of the
    /// affinity values of all classes that change their region.
    void stepClasses(RegionSplit& split, const std::map<std::uint32_t, std::map<std::string, double>>& desired,
        const std::map<std::uint32_t, double>& perSecond, double step)
    {
        std::erase_if(split.fractionsByClass, [&](const auto& item) { return !desired.contains(item.first); });
        const double total = sumOf(perSecond);
        double distance = 0;
        for (const auto& [slack, fractions] : desired) {
            auto& current = split.fractionsByClass.try_emplace(slack, split.fractions).first->second;
            distance += distanceTo(current, fractions) * perSecond.at(slack) / total;
        }
        if (distance <= shiftDeadBand)
            return;
        for (const auto& [slack, fractions] : desired)
            moveTowards(split.fractionsByClass[slack], fractions, std::min(1.0, step / distance));
    }

    double valueOf(const std::map<std::string, double>& values, const std::string& region)
    {
        const auto it = values.find(region);
        return it == values.end() ? 0.0 : it->second;
    }

    double toUnitInterval(std::uint64_t bits) { return (static_cast<double>(bits >> 11U) + 0.5) * 0x1.0p-53; }

    /// Weight of a target in rendezvous hashing. A target with twice the slots receives twice the affinity values.
    double rendezvousWeight(const Target& target, std::uint64_t affinityHash)
    {
        return -static_cast<double>(target.record.slots)
            / std::log(toUnitInterval(mixHashes(target.hash, affinityHash)));
    }

    /// Whether a target takes a request from this VM now: it has not asked for a pause, and a limited rate has a token.
    bool takesRequest(const TargetTable& targets, Target& target, TimePoint now)
    {
        if (target.isPaused(now))
            return false;
        return !targets.isRateLimited(target, now) || target.rateBucket.level(now) >= oneToken;
    }

} // namespace

std::uint32_t slackClass(Duration latencyObjective) noexcept
{
    const auto ms = static_cast<double>(latencyObjective / std::chrono::milliseconds(1));
    if (ms <= 0)
        return greatestSlackClass;
    return static_cast<std::uint32_t>(std::max(0.0, 2 * std::log2(ms)));
}

std::optional<std::uint32_t> leastObjectiveMs(std::uint32_t slackClass) noexcept
{
    if (slackClass >= greatestSlackClass)
        return std::nullopt;
    return static_cast<std::uint32_t>(std::ceil(std::exp2(slackClass / 2.0)));
}

std::string TargetSelection::chooseRegion(const Placement& placement, std::uint64_t affinityHash)
{
    const auto split = m_splits.find(placement.service);
    if (split == m_splits.end())
        return m_region;
    const bool hasAffinity = !placement.affinity.empty();
    const auto allowed = [&](const std::string& region) {
        return isAllowed(placement.routeRegions, region) && isAllowed(placement.accountRegions, region);
    };
    const bool mayStay = allowed(m_region);
    const auto byClass = split->second.fractionsByClass.find(placement.slackClass);
    const auto& ofClass = byClass == split->second.fractionsByClass.end() ? split->second.fractions : byClass->second;
    // Where all unrestricted requests stay, the fractions of the other regions are 0 and cannot serve as weights.
    const auto& fractions = mayStay ? ofClass : split->second.elsewhere;
    const auto local = fractions.find(m_region);
    const double position = hasAffinity ? toUnitInterval(mixHashes(affinityHash, localityHashSeed)) : m_random.unit();
    if (local != fractions.end() && mayStay && position < local->second)
        return m_region;
    // Weighted rendezvous hashing moves only the necessary affinity values when the capacity of a region changes.
    std::string best = m_region;
    double bestWeight = -1;
    const auto seed = hasAffinity ? affinityHash : m_random.next();
    for (const auto& [region, fraction] : fractions) {
        if (region == m_region || !allowed(region))
            continue;
        const double weight
            = -fraction / std::log(toUnitInterval(mixHashes(seed, XXH64(region.data(), region.size(), 0))));
        if (weight > bestWeight) {
            best = region;
            bestWeight = weight;
        }
    }
    return best;
}

std::vector<TargetSelection::Candidate> TargetSelection::collectCandidates(
    TargetTable& targets, const Placement& placement, std::uint64_t affinityHash, TimePoint now)
{
    std::vector<Candidate> out;
    for (auto& [id, target] : targets.all()) {
        const auto& record = target.record;
        if (record.service != placement.service || !targets.isInService(target)
            || isListed(placement.excludedTargets, id))
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

Target* TargetSelection::findTrialTarget(TargetTable& targets, const Placement& placement, TimePoint now)
{
    if (!placement.idempotent)
        return nullptr;
    for (auto& [id, target] : targets.all()) {
        if (target.ejection == Ejection::None || target.record.service != placement.service
            || target.record.region != m_region || !targets.isInService(target)
            || isListed(placement.excludedTargets, id) || !isAllowed(placement.routeRegions, m_region)
            || !isAllowed(placement.accountRegions, m_region))
            continue;
        if (health::isHealthyOrDueForTrial(target, now) && takesRequest(targets, target, now))
            return &target;
    }
    return nullptr;
}

TargetChoice TargetSelection::choose(TargetTable& targets, const Placement& placement, TimePoint now)
{
    const auto affinityHash = XXH64(placement.affinity.data(), placement.affinity.size(), 0);
    if (auto* target = findTrialTarget(targets, placement, now);
        target && (!placement.excludedTargets || placement.excludedTargets->empty()))
        return { .target = target, .isTrial = true };
    auto candidates = collectCandidates(targets, placement, affinityHash, now);
    if (candidates.empty())
        return { .reason = NoTargetReason::NoneInService };
    const bool someHealthy
        = std::ranges::any_of(candidates, [](const auto& it) { return it.target->ejection == Ejection::None; });
    std::erase_if(candidates, [&](const Candidate& it) {
        if (it.target->ejection == Ejection::Unreachable)
            return !health::isHealthyOrDueForTrial(*it.target, now);
        return someHealthy && it.target->ejection != Ejection::None;
    });
    // Requests that a target does not take now go elsewhere, also to other regions, instead of being refused.
    std::erase_if(candidates, [&](const Candidate& it) { return !takesRequest(targets, *it.target, now); });
    if (candidates.empty())
        return { .reason = NoTargetReason::NoneAvailable };
    const auto region = chooseRegion(placement, affinityHash);
    std::ranges::sort(candidates, [](const auto& a, const auto& b) { return a.weight > b.weight; });
    if (std::ranges::any_of(candidates, [&](const auto& it) { return it.target->record.region == region; }))
        std::erase_if(candidates, [&](const auto& it) { return it.target->record.region != region; });
    // What limited targets still take is used before requests queue at the others.
    if (candidates.front().loadPerSlot >= 1) {
        const auto limited = std::ranges::find_if(candidates, [&](const Candidate& it) {
            return it.target->rateLimit(now) && !it.target->isCold(now) && it.loadPerSlot < 1;
        });
        if (limited != candidates.end())
            return { .target = limited->target };
    }
    const auto* chosen = placement.affinity.empty()
        ? leastLoaded(candidates, placement.maxLoad)
        : chooseByAffinity(candidates, placement.service, placement.maxLoad);
    if (!chosen)
        return { .reason = NoTargetReason::NoneAvailable };
    return { .target = chosen->target };
}

const TargetSelection::Candidate* TargetSelection::leastLoaded(std::span<const Candidate> candidates, double maxLoad)
{
    const Candidate* best = nullptr;
    for (const auto& it : candidates) {
        if (it.loadPerSlot < maxLoad && (!best || it.loadPerSlot < best->loadPerSlot))
            best = &it;
    }
    return best;
}

const TargetSelection::Candidate* TargetSelection::chooseByAffinity(
    std::span<const Candidate> candidates, const std::string& service, double maxLoad) const
{
    // A target that receives requests for all objects evicts each object before it is requested again, so that requests
    // for one object use few targets.
    const auto split = m_splits.find(service);
    const bool isShared = split != m_splits.end() && !candidates.empty()
        && split->second.sharedRegions.contains(candidates.front().target->record.region);
    const auto homes
        = candidates.first(std::min(candidates.size(), isShared ? std::size_t { 1 } : affinityLoad.size()));
    for (std::size_t i = 0; i < homes.size(); ++i) {
        if (homes[i].loadPerSlot < std::min(affinityLoad[i], maxLoad))
            return &homes[i];
    }
    return leastLoaded(homes, maxLoad);
}

bool TargetSelection::isStarting(TimePoint now) const noexcept
{
    return m_firstSplitAt && now - *m_firstSplitAt < startupTime;
}

void TargetSelection::updateSplits(const TargetTable& targets, const DemandByRegion& demand,
    const RestrictedDemand& restricted, const MovableDemand& movable, TimePoint now)
{
    std::map<std::string, std::map<std::string, double>> slots;
    for (const auto& [id, target] : targets.all()) {
        if (targets.isInService(target))
            slots[target.record.service][target.record.region] += target.record.slots;
    }
    std::erase_if(m_splits, [&](const auto& item) { return !slots.contains(item.first); });
    if (!slots.empty() && !m_firstSplitAt)
        m_firstSplitAt = now;
    for (const auto& [service, bySlots] : slots) {
        UnrestrictedDemand unrestricted;
        if (const auto it = demand.find(service); it != demand.end())
            unrestricted.perSecond = it->second;
        if (const auto it = restricted.find(service); it != restricted.end()) {
            for (const auto& [callers, byRegion] : it->second)
                unrestricted.subtract(callers, byRegion, bySlots);
        }
        auto& split = m_splits[service];
        split.sharedRegions = sharedRegions(bySlots, unrestricted, split.sharedRegions);
        const auto spare = spareFractions(bySlots, unrestricted);
        const auto desired = desiredFractions(bySlots, unrestricted, spare);
        const double elapsed = std::chrono::duration<double>(now - split.updatedAt).count();
        const double step = shiftFractionPerSecond * m_bounds.maxRegionShift * elapsed;
        split.updatedAt = now;
        std::map<std::uint32_t, double> perSecond;
        if (const auto it = movable.find(service); it != movable.end() && sumOf(it->second) > 0)
            perSecond = it->second;
        const auto desiredByClass = splitByClass(desired, m_region, perSecond);
        if (isStarting(now)) {
            split.fractions = desired;
            split.fractionsByClass = desiredByClass;
            split.elsewhere = spare;
        } else {
            stepClasses(split, desiredByClass, perSecond, step);
            stepTowards(split.fractions, desired, step, shiftDeadBand);
            stepTowards(split.elsewhere, spare, step, shiftDeadBand);
        }
    }
}

void TargetSelection::UnrestrictedDemand::subtract(const std::string& callers,
    const std::map<std::string, double, std::less<>>& restricted, const std::map<std::string, double>& slots)
{
    const auto own = perSecond.find(callers);
    if (own == perSecond.end())
        return;
    for (const auto& [region, n] : restricted) {
        const double part = std::min(own->second, n);
        own->second -= part;
        if (!slots.contains(region))
            continue; // no target may serve them
        restrictedTo[region] += part;
        if (region != callers)
            fromElsewhere[region] += part;
    }
}

std::set<std::string> TargetSelection::sharedRegions(
    const std::map<std::string, double>& slots, const UnrestrictedDemand& demand, const std::set<std::string>& before)
{
    const double totalSlots = sumOf(slots);
    const double all = sumOf(demand.perSecond) + sumOf(demand.restrictedTo);
    std::set<std::string> out;
    for (const auto& [region, n] : slots) {
        const auto it = demand.fromElsewhere.find(region);
        const double limit = before.contains(region) ? sharedRegionEndFraction : sharedRegionFraction;
        if (it != demand.fromElsewhere.end() && it->second > limit * all * n / totalSlots)
            out.insert(region);
    }
    return out;
}

double TargetSelection::UnrestrictedDemand::total() const
{
    const double sum = sumOf(perSecond);
    return sum < minReportedDemand ? 0 : sum;
}

double TargetSelection::UnrestrictedDemand::of(const std::string& region, std::size_t regions) const
{
    // Without reported demand, all regions with targets are assumed to have equal demand.
    return total() <= 0 ? 1.0 / static_cast<double>(regions) : valueOf(perSecond, region);
}

double TargetSelection::UnrestrictedDemand::fairPart(const std::string& region, double slotFraction) const
{
    const double all = (total() <= 0 ? 1 : total()) + sumOf(restrictedTo);
    // What is restricted to a region has no other place to go, so it comes first.
    return std::max(0.0, localPreference * all * slotFraction - valueOf(restrictedTo, region));
}

std::map<std::string, double> TargetSelection::spareFractions(
    const std::map<std::string, double>& slots, const UnrestrictedDemand& demand) const
{
    const double totalSlots = sumOf(slots);
    const double unrestricted = demand.total() <= 0 ? 1 : demand.total();
    std::map<std::string, double> out;
    for (const auto& [region, n] : slots) {
        if (region == m_region)
            continue;
        const double spare = demand.fairPart(region, n / totalSlots) - demand.of(region, slots.size());
        out[region] = std::max(minSpareFraction * n / totalSlots, spare / unrestricted);
    }
    if (const double total = sumOf(out); total > 0) {
        for (auto& [region, fraction] : out)
            fraction /= total;
    }
    return out;
}

std::map<std::string, double> TargetSelection::desiredFractions(const std::map<std::string, double>& slots,
    const UnrestrictedDemand& demand, const std::map<std::string, double>& spare) const
{
    auto out = spare;
    const auto own = slots.find(m_region);
    if (own == slots.end())
        return out;
    const double fairDemand = demand.fairPart(m_region, own->second / sumOf(slots));
    const double ownDemand = demand.of(m_region, slots.size());
    const double local = spare.empty() || ownDemand <= fairDemand ? 1 : fairDemand / ownDemand;
    for (auto& [region, fraction] : out)
        fraction *= 1 - local;
    out[m_region] = local;
    return out;
}

} // namespace arbutuscrank::entry
