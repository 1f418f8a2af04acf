#include <arbutuscrank/entry/targets.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace arbutuscrank::entry {

namespace {

    /// Age up to which a target's own load report is preferred to the in-flight counts of the other VMs.
    constexpr Duration loadReportMaxAge = std::chrono::milliseconds(300);

} // namespace

std::string_view toString(Ejection ejection) noexcept
{
    switch (ejection) {
    case Ejection::None:
        return "none";
    case Ejection::Unreachable:
        return "unreachable";
    case Ejection::Failing:
        return "failing";
    case Ejection::Slow:
        return "slow";
    }
    return "unknown";
}

double Target::load(TimePoint now) const noexcept
{
    const auto own = static_cast<double>(inFlight);
    const bool reported = loadReportedAt && now - *loadReportedAt < loadReportMaxAge;
    return own + static_cast<double>(reported ? othersLoad : othersInFlight);
}

double Target::slowdown(TimePoint now) const noexcept
{
    return workTime && now - workTime->reportedAt < WorkTime::maxAge ? workTime->slowdown : 1;
}

double Target::expectedWait(TimePoint now) const noexcept
{
    return load(now) / std::max(1U, record.slots) * slowdown(now);
}

double Target::expectedTime(TimePoint now) const noexcept
{
    return (load(now) + 1) / std::max(1U, record.slots) * slowdown(now);
}

void Target::recordWorkTime(double percent, TimePoint now) noexcept
{
    constexpr double usualPercent = 100;
    const double reported = std::clamp(percent / usualPercent, WorkTime::minSlowdown, WorkTime::maxSlowdown);
    if (!workTime || now - workTime->reportedAt >= WorkTime::maxAge) {
        workTime = WorkTime { reported, now };
        return;
    }
    using Seconds = std::chrono::duration<double>;
    const auto elapsed = std::max<Duration>(Duration::zero(), now - workTime->reportedAt);
    const double weight = 1 - std::exp(-(Seconds(elapsed) / Seconds(WorkTime::smoothingTime)));
    workTime->slowdown += weight * (reported - workTime->slowdown);
    workTime->reportedAt = now;
}

Duration Target::coldRemaining(TimePoint now) const noexcept
{
    return std::max({ Duration::zero(), coldUntil.value_or(now) - now, suspectedColdUntil.value_or(now) - now });
}

std::optional<double> Target::rateLimit(TimePoint now) const noexcept
{
    const auto* newest = namedRate ? &*namedRate : nullptr;
    if (reportedNamedRate && (!newest || newest->statedAt < reportedNamedRate->statedAt))
        newest = &*reportedNamedRate;
    return newest && now - newest->statedAt < NamedRate::maxAge ? newest->perSecond : std::nullopt;
}

void TargetTable::setRecord(Target& target, const TargetRecord& record, TimePoint now)
{
    const bool isRestarted = target.record.startedAtMs != record.startedAtMs || target.record.address != record.address;
    if (isRestarted) {
        target.ejection = Ejection::None;
        target.consecutiveEjections = 0;
        target.failureShare = 0;
        target.slowness = 1;
        target.sampleCount = 0;
        target.loadReportedAt.reset();
        target.workTime.reset();
        target.hasUnusableWorkTime = false;
        target.coldUntil.reset();
        target.suspectedColdUntil.reset();
        target.isLeaving = false;
        target.pausedUntil.reset();
        target.namedRate.reset();
        target.reportedNamedRate.reset();
    }
    if (target.record.region != record.region)
        target.rateSenders = {};
    target.record = record;
    target.deferredRecord.reset();
    target.hash = XXH64(record.id.data(), record.id.size(), 0);
    target.isAwaitingRemoval = false;
    if (record.coldRemaining > Duration::zero())
        target.coldUntil = std::max(target.coldUntil.value_or(now), now + record.coldRemaining);
}

std::vector<std::string> TargetTable::applySnapshot(
    std::span<const TargetRecord> records, TimePoint now, bool isComplete)
{
    m_eraGrace.recordList(now);
    std::vector<std::string> drainingOrRemovedIds;
    std::set<std::string_view> present;
    for (const auto& record : records) {
        present.insert(record.id);
        if (applyRecord(record, now))
            drainingOrRemovedIds.push_back(record.id);
    }
    std::vector<std::string> missingIds;
    for (const auto& [id, target] : m_targets) {
        if (isComplete && !present.contains(id))
            missingIds.push_back(id);
    }
    for (const auto& id : missingIds) {
        if (applyRemoval(id, now))
            drainingOrRemovedIds.push_back(id);
    }
    m_isLoaded = true;
    m_isListIncomplete = !isComplete;
    return drainingOrRemovedIds;
}

bool TargetTable::applyRecord(const TargetRecord& record, TimePoint now)
{
    auto& target = m_targets[record.id];
    const bool isEarlierStart = record.startedAtMs != 0 && record.startedAtMs < target.record.startedAtMs;
    if (isEarlierStart && m_eraGrace.contains(now)) {
        target.isAwaitingRemoval = false;
        target.deferredRecord = { record, now };
        return false;
    }
    const bool wasDraining = target.record.draining || target.isDrainHeld;
    target.isDrainHeld = isDrainHeld(target, record, now);
    setRecord(target, record, now);
    return (record.draining || target.isDrainHeld) && !wasDraining;
}

bool TargetTable::isDrainHeld(const Target& target, const TargetRecord& record, TimePoint now) const
{
    if (record.draining || !m_eraGrace.contains(now))
        return false;
    if (!target.record.id.empty())
        return (target.record.draining || target.isDrainHeld) && target.record.startedAtMs == record.startedAtMs
            && target.record.address == record.address;
    const auto it = m_departures.find(record.id);
    if (it == m_departures.end() || it->second.at > *m_eraGrace.risenAt())
        return false;
    const auto& departure = it->second;
    return record.startedAtMs < departure.startedAtMs
        || (record.startedAtMs == departure.startedAtMs && record.address == departure.address);
}

bool TargetTable::mayBeMissing(TimePoint now) const noexcept
{
    return m_isStoreUnavailable || (m_outageEndedAt && now < *m_outageEndedAt + removalGrace)
        || m_eraGrace.contains(now, removalGrace);
}

bool TargetTable::holdsEarlierEra(TimePoint now) const noexcept
{
    return m_eraGrace.contains(now) || (mayBeMissing(now) && m_eraGrace.mayBeExtended(now));
}

void TargetTable::eraseTarget(const Target& target, TimePoint now)
{
    const auto id = target.record.id;
    m_departures[id] = { target.record.startedAtMs, target.record.address, now };
    m_targets.erase(id);
}

bool TargetTable::applyRemoval(std::string_view id, TimePoint now)
{
    const auto it = m_targets.find(id);
    if (it == m_targets.end())
        return false;
    if (mayBeMissing(now) && !it->second.record.draining) {
        it->second.isAwaitingRemoval = true;
        it->second.deferredRecord.reset();
        return false;
    }
    eraseTarget(it->second, now);
    return true;
}

void TargetTable::recordStoreSuccess(TimePoint now) noexcept
{
    if (!m_isStoreUnavailable)
        return;
    m_isStoreUnavailable = false;
    m_outageEndedAt = now;
}

void TargetTable::recordStoreEraRise(TimePoint now) { m_eraGrace.recordRise(now); }

void TargetTable::recordStoreUpElsewhere(TimePoint since) noexcept
{
    if (m_outageEndedAt)
        m_outageEndedAt = std::min(*m_outageEndedAt, since);
}

std::vector<TargetRecord> TargetTable::takeDeferredRecords(TimePoint now)
{
    std::vector<TargetRecord> records;
    if (holdsEarlierEra(now))
        return records;
    for (auto& [id, target] : m_targets) {
        if (!target.deferredRecord)
            continue;
        auto& [record, readAt] = *target.deferredRecord;
        record.coldRemaining = std::max(Duration::zero(), record.coldRemaining - (now - readAt));
        records.push_back(std::move(record));
        target.deferredRecord.reset();
    }
    return records;
}

std::vector<std::string> TargetTable::removeExpired(TimePoint now)
{
    std::vector<std::string> removedIds;
    if (!m_eraGrace.contains(now))
        std::erase_if(m_departures, [&](const auto& item) { return now - item.second.at >= departureMemory; });
    const bool holdsDrains = holdsEarlierEra(now);
    for (auto& [id, target] : m_targets)
        target.isDrainHeld = target.isDrainHeld && holdsDrains;
    if (mayBeMissing(now))
        return removedIds;
    for (const auto& [id, target] : m_targets) {
        if (target.isAwaitingRemoval)
            removedIds.push_back(id);
    }
    for (const auto& id : removedIds)
        eraseTarget(m_targets.at(id), now);
    return removedIds;
}

Target* TargetTable::find(std::string_view id)
{
    const auto it = m_targets.find(id);
    return it == m_targets.end() ? nullptr : &it->second;
}

const Target* TargetTable::find(std::string_view id) const
{
    const auto it = m_targets.find(id);
    return it == m_targets.end() ? nullptr : &it->second;
}

bool TargetTable::isInService(const Target& target) const noexcept
{
    return !target.record.draining && !target.isDrainHeld && !target.isLeaving
        && !m_evacuated.contains(target.record.failureDomain);
}

} // namespace arbutuscrank::entry
