#include <arbutuscrank/entry/rate_shares.hpp>

#include <arbutuscrank/entry/rendezvous.hpp>

#include <algorithm>
#include <utility>

namespace arbutuscrank::entry {

namespace {

    /// Number of VMs that share the rate of a target, which is a few requests per second.
    constexpr std::size_t maxSenders = 4;
    /// Burst of requests that each of them may send.
    constexpr double burstRequests = 1;

    RateSenders chooseSenders(const Target& target, const MemberTable& members)
    {
        auto vmHashes = members.vmHashesOfRegion(target.record.region);
        const bool isCandidate = vmHashes.empty() || members.self().region == target.record.region;
        if (vmHashes.empty())
            vmHashes = members.vmHashes();
        const auto own = mixHashes(target.hash, MemberTable::hashOf(members.self().process.vm));
        const auto precedingVmCount = std::ranges::count_if(
            vmHashes, [&](std::uint64_t vmHash) { return mixHashes(target.hash, vmHash) > own; });
        return { .regionsVersion = members.regionsVersion(),
            .count = std::min(vmHashes.size(), maxSenders),
            .includesSelf = isCandidate && static_cast<std::size_t>(precedingVmCount) < maxSenders };
    }

    MicroTokens microTokens(double tokens) { return static_cast<MicroTokens>(tokens * static_cast<double>(oneToken)); }

} // namespace

std::optional<double> allowedRate(
    const TargetTable& targets, const Target& target, const PolicyIndex& policy, TimePoint now)
{
    if (!targets.isRateLimited(target, now))
        return std::nullopt;
    const auto* service = policy.findService(target.record.service);
    const double coldRate = service ? service->coldRate : 0;
    const auto named = target.rateLimit(now);
    if (!named)
        return coldRate;
    return targets.isColdnessUnknown() || target.isCold(now) ? std::min(coldRate, *named) : *named;
}

void updateRateShare(
    const TargetTable& targets, Target& target, const PolicyIndex& policy, const MemberTable& members, TimePoint now)
{
    const auto allowed = allowedRate(targets, target, policy, now);
    if (!allowed) {
        target.isRateShared = false;
        return;
    }
    if (target.rateSenders.regionsVersion != members.regionsVersion())
        target.rateSenders = chooseSenders(target, members);
    // Requests that were sent before the limit was known may still be arriving, so the bucket starts empty.
    if (!std::exchange(target.isRateShared, true))
        target.rateBucket = {};
    const auto& senders = target.rateSenders;
    const double rate = senders.includesSelf ? *allowed / static_cast<double>(senders.count) : 0;
    target.rateBucket.setShare(microTokens(rate), microTokens(senders.includesSelf ? burstRequests : 0), now);
}

void updateRateShares(TargetTable& targets, const PolicyIndex& policy, const MemberTable& members, TimePoint now)
{
    for (auto& [id, target] : targets.all())
        updateRateShare(targets, target, policy, members, now);
}

} // namespace arbutuscrank::entry
