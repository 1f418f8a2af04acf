#include <arbutuscrank/entry/store_era.hpp>

#include "entry/reducers.hpp"

#include <arbutuscrank/entry/rate_shares.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace arbutuscrank::entry {

void raiseStoreEra(EntryState& state, StoreEra era, TimePoint now, Effects& out)
{
    auto& tracking = state.storeEra;
    if (era <= tracking.current)
        return;
    const auto before = std::exchange(tracking.current, era);
    if (before == 0)
        return;
    ++tracking.rises;
    tracking.members.recordRise(now);
    tracking.evacuationsHeldUntil.clear();
    for (const auto& failureDomain : state.targets.evacuated())
        tracking.evacuationsHeldUntil[failureDomain] = now + EraGrace::maxWait + EraGrace::length;
    state.evacuations = { .era = era };
    auto& records = state.evacuationRecords;
    records.ofEarlierEra.insert(records.failureDomains.begin(), records.failureDomains.end());
    records.additionRequestedAt.clear();
    records.removalRequestedAt.clear();
    state.targets.recordStoreEraRise(now);
    out.push_back(WriteLog { LogEvent::StoreEraRisen,
        fmt::format(
            "era={} previous={} evacuations_held=\"{}\"", era, before, fmt::join(state.targets.evacuated(), ",")) });
    out.push_back(RestartStoreCalls { era });
}

void apply(EntryState& state, const StoreEraRead& event, TimePoint now, Effects& out)
{
    raiseStoreEra(state, event.era, now, out);
}

void adoptEvacuations(EntryState& state, const EvacuationReading& reading, TimePoint now, Effects& out)
{
    auto& tracking = state.storeEra;
    if (tracking.current == 0 && reading.era != 0)
        out.push_back(RestartStoreCalls { reading.era }); // so that answers of an earlier era are not applied
    raiseStoreEra(state, reading.era, now, out);
    if (reading.era != 0 && reading.era < tracking.current)
        return;
    // A time that is known already is not replaced: reports that go round would prolong it without end.
    for (const auto& [failureDomain, remaining] : reading.held)
        tracking.evacuationsHeldUntil.try_emplace(
            failureDomain, now + std::min(remaining, EraGrace::maxWait + EraGrace::length));
    // From the first list of this era, what it lacks is held for no longer than the grace.
    if (state.evacuations.revision != 0 || reading.revision != 0) {
        for (auto& [failureDomain, until] : tracking.evacuationsHeldUntil)
            until = std::min(until, now + EraGrace::length);
    }
    if (reading.revision >= state.evacuations.revision) {
        state.evacuations = reading;
        state.evacuations.held.clear();
        // The operator's entry settles the matter: its removal ends the evacuation.
        for (const auto& failureDomain : reading.failureDomains) {
            auto& until = tracking.evacuationsHeldUntil.try_emplace(failureDomain, now).first->second;
            until = std::min(until, now);
        }
    } else if (reading.held.empty()) {
        return;
    }
    if (!updateEvacuated(state, now, out))
        applyEvacuationRecords(state, now, out); // this may be the first reading
}

bool updateEvacuated(EntryState& state, TimePoint now, Effects& out)
{
    auto evacuated = state.evacuations.failureDomains;
    for (const auto& [failureDomain, until] : state.storeEra.evacuationsHeldUntil) {
        if (now < until)
            evacuated.insert(failureDomain);
    }
    const auto before = state.targets.evacuated();
    if (evacuated == before)
        return false;
    bool haveTurnedCold = false;
    for (auto& [id, target] : state.targets.all()) {
        const auto& domain = target.record.failureDomain;
        const auto* service = state.policy.findService(target.record.service);
        // Targets may be cold when the evacuation of their failure domain ends, before the store reports it.
        if (!service || !before.contains(domain) || evacuated.contains(domain))
            continue;
        const bool wasCold = target.isCold(now);
        target.coldUntil = std::max(target.coldUntil.value_or(now), now + service->coldTime);
        haveTurnedCold = logIfTurnedCold(target, wasCold, "evacuation", now, out) || haveTurnedCold;
    }
    state.targets.setEvacuated(evacuated);
    updateRateShares(state.targets, state.policy, state.members, now);
    out.push_back(WriteLog { LogEvent::EvacuationApplied,
        fmt::format("failure_domains=\"{}\" revision={} era={}", fmt::join(evacuated, ","), state.evacuations.revision,
            state.storeEra.current) });
    if (haveTurnedCold)
        sendEarlyReports(state, now, out);
    applyEvacuationRecords(state, now, out);
    return true;
}

EvacuationReading evacuationsToReport(const EntryState& state, TimePoint now)
{
    auto reading = state.evacuations;
    reading.era = state.storeEra.current;
    for (const auto& [failureDomain, until] : state.storeEra.evacuationsHeldUntil) {
        if (now < until)
            reading.held[failureDomain] = until - now;
    }
    return reading;
}

void releaseEarlierEra(EntryState& state, TimePoint now, Effects& out)
{
    (void)updateEvacuated(state, now, out);
    for (auto& record : state.targets.takeDeferredRecords(now))
        apply(state, TargetChanged { std::move(record) }, now, out);
    if (state.storeEra.members.contains(now))
        return;
    const auto removed = state.members.removeMissing();
    if (removed.empty())
        return;
    state.retryLimit.setFleetSize(state.members.fleetSize());
    for (const auto& vm : removed)
        out.push_back(WriteLog { LogEvent::MemberGone, fmt::format("member={} cause=era", vm) });
}

} // namespace arbutuscrank::entry
