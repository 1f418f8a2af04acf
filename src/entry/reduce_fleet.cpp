#include "entry/reducers.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace arbutuscrank::entry {

namespace {

    /// Interval of reports. Look-ups leave out VMs that were silent for three of them.
    constexpr Duration reportInterval = std::chrono::milliseconds(500);
    /// Interval while some account has used up half of its burst, so that shares follow the demand.
    constexpr Duration pressedReportInterval = std::chrono::milliseconds(200);
    /// Least time between reports that an account waits for, for each VM of the fleet: 66 ms for 22 VMs. Each report is
    /// a datagram to every VM.
    constexpr Duration earlyReportPerVm = std::chrono::milliseconds(3);
    /// Fleets above this size send reports less often, so that each VM receives about as many.
    constexpr double fullRateFleet = 40;
    /// Part of the withdrawal bound after which callers are sent to other VMs, before requests are refused.
    constexpr double staleLookupPart = 0.6;
    /// Time constant of the demand that splits between regions follow.
    constexpr double demandSmoothingSeconds = 6;
    /// A VM that was silent for this long is taken as removed. Restarts and cuts are over sooner; a VM that is only
    /// cut off registers again when it sees that its registration is gone.
    constexpr Duration forgetAfter = std::chrono::seconds(12);

    void updateDemand(EntryState& state, double elapsedSeconds)
    {
        const double weight = 1 - std::exp(-elapsedSeconds / demandSmoothingSeconds);
        for (auto& [service, demand] : state.demand) {
            demand.perSecond += weight * (demand.arrivals / elapsedSeconds - demand.perSecond);
            demand.arrivals = 0;
        }
    }

    std::map<std::string, std::map<std::string, double>> demandByRegion(const EntryState& state, TimePoint now)
    {
        std::map<std::string, std::map<std::string, double>> out;
        for (const auto& [service, demand] : state.demand)
            out[service][state.settings.region] += demand.perSecond;
        for (const auto& [vm, member] : state.members.others()) {
            if (!member.report || !MemberTable::isHeard(member, now))
                continue;
            for (const auto& [service, perSecond] : member.report->serviceDemand)
                out[service][member.record.region] += perSecond;
        }
        return out;
    }

    void updateOthersInFlight(EntryState& state, TimePoint now)
    {
        for (auto& [id, target] : state.targets.all()) {
            target.othersInFlight = 0;
            for (const auto& [vm, member] : state.members.others()) {
                if (!member.report || !MemberTable::isHeard(member, now, MemberTable::reportLimit))
                    continue;
                const auto it = member.report->inFlight.find(target.reportKey());
                target.othersInFlight += it == member.report->inFlight.end() ? 0 : it->second;
            }
        }
    }

    /// The first of the VMs that are heard removes the registrations of those that are not.
    void forgetSilent(EntryState& state, TimePoint now, Effects& out)
    {
        std::vector<VmId> silent;
        for (const auto& [vm, member] : state.members.others()) {
            const bool heard = MemberTable::isHeard(member, now);
            if (heard && vm < state.members.self().process.vm)
                return;
            if (!heard)
                silent.push_back(vm);
        }
        for (const auto& vm : silent) {
            if (!state.members.takeForgetTurn(vm, forgetAfter, now))
                continue;
            out.push_back(ForgetMember { vm });
            out.push_back(WriteLog { LogEvent::MemberSuspected, fmt::format("member={} cause=silent", vm) });
        }
    }

    bool sendsCallersHere(const EntryState& state, TimePoint now)
    {
        if (!isReady(state) || !state.policyConfirmedAt)
            return false;
        const auto age = std::chrono::duration<double>(now - *state.policyConfirmedAt).count();
        return age < staleLookupPart * std::chrono::duration<double>(state.settings.bounds.withdrawal).count();
    }

} // namespace

void sendEarlyReport(EntryState& state, TimePoint now, Effects& out)
{
    const auto fleet = static_cast<Duration::rep>(state.members.fleetSize());
    const auto interval = std::min(reportInterval, earlyReportPerVm * fleet);
    if (!state.reportedAt || now - *state.reportedAt >= interval)
        sendReport(state, now, out);
}

void sendReport(EntryState& state, TimePoint now, Effects& out)
{
    state.reportedAt = now;
    Report report {
        .process = state.members.self().process,
        .sequence = ++state.reportSequence,
        .ready = sendsCallersHere(state, now),
        .leaving = state.stopRequestedAt.has_value(),
        .storeUpFor = state.storeUpSince ? now - *state.storeUpSince : Duration::zero(),
        .accounts = state.quota.takeUse(now),
    };
    for (const auto& [service, demand] : state.demand)
        report.serviceDemand[service] = demand.perSecond;
    for (const auto& [id, target] : state.targets.all()) {
        if (target.inFlight != 0)
            report.inFlight[target.reportKey()] = target.inFlight;
    }
    out.push_back(SendReport { std::move(report) });
}

void apply(EntryState& state, const ReportReceived& event, TimePoint now, Effects& out)
{
    const auto& vm = event.report.process.vm;
    const auto before = state.members.others().find(vm);
    const bool knew = before != state.members.others().end() && before->second.report
        && before->second.report->process == event.report.process;
    if (!state.members.applyReport(event.report, now))
        return;
    state.quota.applyReport(state.members.others().at(vm), now);
    if (!knew)
        sendReport(state, now, out);
}

void apply(EntryState& state, const Tick&, TimePoint now, Effects& out)
{
    const double elapsed = state.tickedAt ? std::chrono::duration<double>(now - *state.tickedAt).count() : 0;
    state.tickedAt = now;
    if (elapsed > 0)
        updateDemand(state, elapsed);
    state.quota.updateShares(state.members, now);
    updateOthersInFlight(state, now);
    state.selection.updateSplits(state.targets, demandByRegion(state, now), now);
    state.selection.updateColdShares(state.targets, state.policy, state.members, now);
    for (const auto& id : state.targets.expire(now))
        out.push_back(WriteLog { LogEvent::TargetDrained, fmt::format("target={} cause=lapsed", id) });
    if (!state.keyedRefused && state.policyConfirmedAt && !isPolicyFresh(state, now)) {
        state.keyedRefused = true;
        out.push_back(WriteLog { LogEvent::ConfigurationStale,
            fmt::format("version={} age_ms={}", state.policy.policy().version,
                (now - *state.policyConfirmedAt) / std::chrono::milliseconds(1)) });
    }
    auto interval = state.quota.isPressed() ? pressedReportInterval : reportInterval;
    const auto fleet = static_cast<double>(state.members.fleetSize());
    if (fleet > fullRateFleet)
        interval = reportInterval;
    if (!state.storeAway && !state.stopRequestedAt)
        forgetSilent(state, now, out);
    if (!state.reportedAt || now - *state.reportedAt >= interval)
        sendReport(state, now, out);
}

void apply(EntryState& state, const StopRequested&, TimePoint now, Effects& out)
{
    if (state.stopRequestedAt)
        return;
    state.stopRequestedAt = now;
    out.push_back(WriteLog { LogEvent::StopStarted, fmt::format("requests={}", state.requests.size()) });
    sendReport(state, now, out);
}

} // namespace arbutuscrank::entry
