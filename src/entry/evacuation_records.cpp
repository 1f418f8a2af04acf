#include "entry/reducers.hpp"

#include <arbutuscrank/entry/rate_shares.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace arbutuscrank::entry {

namespace {

    Duration longestColdTime(const TrafficPolicy& policy)
    {
        Duration longest {};
        for (const auto& service : policy.services)
            longest = std::max(longest, service.coldTime);
        return longest;
    }

    /// Whether a change of the record of a failure domain should be requested now.
    bool claimRequest(std::map<std::string, TimePoint>& requestedAt, const std::string& failureDomain, TimePoint now)
    {
        const auto [it, isNew] = requestedAt.try_emplace(failureDomain, now);
        if (!isNew && now - it->second < EvacuationRecords::requestInterval)
            return false;
        it->second = now;
        return true;
    }

} // namespace

void applyEvacuationRecords(EntryState& state, TimePoint now, Effects& out)
{
    auto& records = state.evacuationRecords;
    const auto& evacuated = state.targets.evacuated();
    std::erase_if(records.endedAt, [&](const auto& item) {
        const bool isRecorded
            = records.failureDomains.contains(item.first) || records.ofEarlierEra.contains(item.first);
        return !isRecorded || evacuated.contains(item.first);
    });
    // Without the list of evacuations and the configuration, it is not known whether an evacuation has ended and how
    // long its targets stay cold.
    if (state.evacuations.revision == 0 || state.policy.policy().version == 0)
        return;
    for (const auto& failureDomain : records.failureDomains) {
        if (!evacuated.contains(failureDomain))
            records.endedAt.try_emplace(failureDomain, now);
    }
    if (records.endedAt.empty())
        return;
    bool haveTurnedCold = false;
    for (auto& [id, target] : state.targets.all()) {
        const auto ended = records.endedAt.find(target.record.failureDomain);
        const auto* service = state.policy.findService(target.record.service);
        if (ended == records.endedAt.end() || !service || now >= ended->second + service->coldTime)
            continue;
        const bool wasCold = target.isCold(now);
        target.coldUntil = std::max(target.coldUntil.value_or(now), ended->second + service->coldTime);
        haveTurnedCold = logIfTurnedCold(target, wasCold, "evacuation-record", now, out) || haveTurnedCold;
    }
    if (!haveTurnedCold)
        return;
    updateRateShares(state.targets, state.policy, state.members, now);
    sendEarlyReports(state, now, out);
}

void maintainEvacuationRecords(EntryState& state, TimePoint now, Effects& out)
{
    auto& records = state.evacuationRecords;
    std::erase_if(records.ofEarlierEra, [&](const auto& failureDomain) {
        const auto ended = records.endedAt.find(failureDomain);
        const bool mayBeCold
            = ended != records.endedAt.end() && now < ended->second + longestColdTime(state.policy.policy());
        return !mayBeCold && !state.storeEra.members.contains(now)
            && !state.targets.evacuated().contains(failureDomain);
    });
    if (!state.hasMemberList || !coordinatesFleet(state, now))
        return;
    const auto coldTime = longestColdTime(state.policy.policy());
    auto missing = state.targets.evacuated();
    for (const auto& failureDomain : records.ofEarlierEra) {
        const auto ended = records.endedAt.find(failureDomain);
        if (ended != records.endedAt.end() && now < ended->second + coldTime)
            missing.insert(failureDomain);
    }
    for (const auto& failureDomain : missing) {
        if (!records.failureDomains.contains(failureDomain)
            && claimRequest(records.additionRequestedAt, failureDomain, now))
            out.push_back(RecordEvacuation { failureDomain });
    }
    for (const auto& [failureDomain, endedAt] : records.endedAt) {
        if (now >= endedAt + coldTime && claimRequest(records.removalRequestedAt, failureDomain, now))
            out.push_back(RemoveEvacuationRecord { failureDomain });
    }
}

void apply(EntryState& state, const EvacuationRecordsChanged& event, TimePoint now, Effects& out)
{
    auto& records = state.evacuationRecords;
    if (event.failureDomains == records.failureDomains)
        return;
    records.failureDomains = event.failureDomains;
    out.push_back(WriteLog { LogEvent::EvacuationRecordsRead,
        fmt::format("failure_domains=\"{}\"", fmt::join(records.failureDomains, ",")) });
    applyEvacuationRecords(state, now, out);
}

} // namespace arbutuscrank::entry
