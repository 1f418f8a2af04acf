#include "entry/reducers.hpp"

#include <arbutuscrank/entry/rate_shares.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace arbutuscrank::entry {

namespace {

    /// Safety margin of the withdrawal limit for clocks that run at slightly different speeds.
    constexpr Duration withdrawalMargin = std::chrono::milliseconds(200);

    /// If the store was reachable from other VMs before this VM reached it, only this VM was partitioned and the outage
    /// ended earlier.
    void updateOutageEnd(EntryState& state, TimePoint now)
    {
        const auto up = storeUptimeElsewhere(state, now);
        if (up > Duration::zero())
            state.targets.recordStoreUpElsewhere(now - up);
    }

    /// Logs that a target drains or was removed, and closes its idle connections.
    void stopUsingTarget(std::string_view target, std::string_view cause, ObjectVersion revision, Effects& out)
    {
        out.push_back(WriteLog {
            LogEvent::TargetDraining, fmt::format("target={} cause={} revision={}", target, cause, revision) });
        out.push_back(CloseIdleConnections { std::string(target) });
    }

} // namespace

bool logIfTurnedCold(const Target& target, bool wasCold, std::string_view cause, TimePoint now, Effects& out)
{
    if (wasCold || !target.isCold(now))
        return false;
    out.push_back(WriteLog { LogEvent::TargetCold,
        fmt::format("target={} remaining_ms={} cause={} revision={}", target.record.id,
            target.coldRemaining(now) / std::chrono::milliseconds(1), cause, target.record.revision) });
    return true;
}

bool isReady(const EntryState& state) noexcept
{
    return state.policy.policy().version != 0 && state.targets.isLoaded() && !state.stopRequestedAt;
}

bool isPolicyFresh(const EntryState& state, TimePoint now) noexcept
{
    return state.policyConfirmedAt
        && now - *state.policyConfirmedAt < state.settings.bounds.keyWithdrawalLimit - withdrawalMargin;
}

void apply(EntryState& state, const PolicyRead& event, TimePoint now, Effects& out)
{
    const auto current = state.policy.policy().version;
    if (event.policy.version <= current)
        return;
    if (const auto faults = findFaults(event.policy); !faults.empty()) {
        out.push_back(WriteLog { LogEvent::ConfigurationRefused,
            fmt::format("version={} in_force={} faults={} first=\"{}\"", event.policy.version, current, faults.size(),
                faults.front()) });
        return;
    }
    state.policy = PolicyIndex(event.policy);
    state.quota.setPolicy(event.policy, now);
    applyEvacuationRecords(state, now, out);
    std::erase_if(state.serviceCredits, [&](const auto& item) {
        return std::ranges::none_of(event.policy.routes, [&](const auto& route) { return route.name == item.first; });
    });
    out.push_back(WriteLog { LogEvent::ConfigurationApplied,
        fmt::format("version={} previous={} routes={} services={} accounts={}", event.policy.version, current,
            event.policy.routes.size(), event.policy.services.size(), event.policy.accounts.size()) });
}

void apply(EntryState& state, const PolicyConfirmed& event, TimePoint now, Effects& out)
{
    state.policyConfirmedAt = std::max(state.policyConfirmedAt.value_or(event.sentAt), event.sentAt);
    if (state.refusesKeyedRequests && isPolicyFresh(state, now)) {
        state.refusesKeyedRequests = false;
        out.push_back(
            WriteLog { LogEvent::ConfigurationFresh, fmt::format("version={}", state.policy.policy().version) });
    }
}

void apply(EntryState& state, const TargetsListed& event, TimePoint now, Effects& out)
{
    std::set<std::string, std::less<>> coldBefore;
    for (const auto& [id, target] : state.targets.all()) {
        if (target.isCold(now))
            coldBefore.insert(id);
    }
    for (const auto& id : state.targets.applySnapshot(event.records, now, event.isComplete)) {
        const auto* target = state.targets.find(id);
        stopUsingTarget(id, target ? "draining" : "removed", target ? target->record.revision : 0, out);
    }
    bool haveTurnedCold = false;
    for (const auto& [id, target] : state.targets.all())
        haveTurnedCold = logIfTurnedCold(target, coldBefore.contains(id), "record", now, out) || haveTurnedCold;
    updateRateShares(state.targets, state.policy, state.members, now);
    if (haveTurnedCold)
        sendEarlyReports(state, now, out);
    applyEvacuationRecords(state, now, out);
}

void apply(EntryState& state, const TargetChanged& event, TimePoint now, Effects& out)
{
    const auto* before = state.targets.find(event.record.id);
    const bool wasCold = before && before->isCold(now);
    if (state.targets.applyRecord(event.record, now))
        stopUsingTarget(event.record.id, "draining", event.record.revision, out);
    if (auto* target = state.targets.find(event.record.id)) {
        updateRateShare(state.targets, *target, state.policy, state.members, now);
        if (logIfTurnedCold(*target, wasCold, "record", now, out))
            sendEarlyReports(state, now, out);
    }
}

void apply(EntryState& state, const TargetRemoved& event, TimePoint now, Effects& out)
{
    if (state.targets.applyRemoval(event.id, now))
        stopUsingTarget(event.id, "removed", event.revision, out);
}

void apply(EntryState& state, const EvacuationsChanged& event, TimePoint now, Effects& out)
{
    adoptEvacuations(state, event.reading, now, out);
}

void apply(EntryState& state, const MembersListed& event, TimePoint now, Effects& out)
{
    state.storeEra.members.recordList(now);
    if (event.isComplete)
        state.members.applySnapshot(event.records, now, state.storeEra.members.contains(now));
    else
        state.members.applyIncompleteList(event.records, now);
    state.hasMemberList = true;
    state.retryLimit.setFleetSize(state.members.fleetSize());
    updateCoordination(state, now, out);
}

void apply(EntryState& state, const MemberChanged& event, TimePoint now, Effects& out)
{
    state.members.applyRecord(event.record, now);
    state.retryLimit.setFleetSize(state.members.fleetSize());
    if (event.record.process.vm != state.members.self().process.vm) {
        out.push_back(WriteLog { LogEvent::MemberJoined,
            fmt::format("member={} failure_domain={}", event.record.process.vm, event.record.failureDomain) });
        sendReports(state, now, out);
    }
}

void apply(EntryState& state, const MemberRemoved& event, TimePoint, Effects& out)
{
    state.members.applyRemoval(event.vm);
    state.retryLimit.setFleetSize(state.members.fleetSize());
    out.push_back(WriteLog { LogEvent::MemberGone, fmt::format("member={}", event.vm) });
}

void apply(EntryState& state, const StoreFailed&, TimePoint now, Effects& out)
{
    state.storeSource.storeFailedAt = now;
    state.targets.recordStoreFailure();
    if (!state.isStoreUnavailable)
        out.push_back(WriteLog { LogEvent::StoreFailed, "peer=" + state.settings.storeAddress });
    state.isStoreUnavailable = true;
    state.storeUpSince.reset();
}

void apply(EntryState& state, const StoreAnswered& event, TimePoint now, Effects& out)
{
    state.targets.recordStoreSuccess(now);
    state.storeAnsweredAt = now;
    if (event.isDirect) {
        state.storeContactAt = now;
        state.storeSource.storeFailedAt.reset();
        state.storeSource.announcedFeed.clear();
    } else if (event.confirmsPolicy) {
        state.storeSource.feedFailingSince.reset();
    }
    if (state.isStoreUnavailable)
        out.push_back(WriteLog { LogEvent::StoreRecovered, "peer=" + state.settings.storeAddress });
    state.isStoreUnavailable = false;
    if (!state.storeUpSince)
        state.storeUpSince = now;
    updateOutageEnd(state, now);
}

} // namespace arbutuscrank::entry
