#include <arbutuscrank/entry/coordination.hpp>

#include <algorithm>

namespace arbutuscrank::entry {

namespace {

    using std::chrono::milliseconds;

    /// Age of a coordinator's newest heartbeat after which the next VM takes over. Heartbeats are sent every 200 ms.
    constexpr Duration heartbeatTimeout = milliseconds(620);
    /// Additional wait before a takeover for each VM that takes over earlier, so that its heartbeat arrives in time.
    constexpr Duration waitPerRank = milliseconds(250);
    /// Number of preceding VMs up to which the wait before a takeover grows. It does not grow further, because many VMs
    /// may have failed at once.
    constexpr std::size_t maxWaitRanks = 4;
    /// Wait of a VM that starts with an empty list of VMs, for the registrations of VMs that start at the same time.
    constexpr Duration registrationWait = milliseconds(500);
    /// Time for which a lower rank may coordinate beside this VM before this VM steps down. The lower rank stops
    /// coordinating as soon as it receives a heartbeat of this VM.
    constexpr Duration contestTimeout = milliseconds(250);
    /// Time for which a VM that stepped down follows lower ranks before it may coordinate again.
    constexpr Duration stepDownTime = std::chrono::seconds(3);
    /// Age of the newest report of any VM of the failure domain after which a coordinator assumes that it cannot
    /// receive reports. VMs report every 200 ms.
    constexpr Duration reportTimeout = milliseconds(900);
    /// Age of the newest report above which it is ignored, and not taken as a sign that reports are lost: it arrived
    /// before this VM became coordinator, or \ref Coordination::update was not called for a while.
    constexpr Duration staleReportAge = std::chrono::seconds(2);
    /// Age of a coordinator's newest report after which its failure domain counts as unreachable. Coordinators report
    /// to each other every 200 to 400 ms.
    constexpr Duration domainReportTimeout = milliseconds(1300);
    /// Age after which the report of a failure domain is discarded.
    constexpr Duration domainReportLifetime = std::chrono::seconds(12);

} // namespace

bool DomainReportTable::apply(const DomainReport& report, TimePoint now)
{
    auto& entry = m_reports[report.failureDomain];
    const auto& last = entry.report;
    const bool sameVm = last.coordinator.vm == report.coordinator.vm;
    if (sameVm && report.coordinator.incarnation < last.coordinator.incarnation)
        return false;
    if (last.coordinator == report.coordinator && report.sequence <= last.sequence)
        return false;
    entry = { report, now };
    return true;
}

void DomainReportTable::expire(TimePoint now)
{
    std::erase_if(m_reports, [&](const auto& item) { return now - item.second.receivedAt > domainReportLifetime; });
}

bool DomainReportTable::isFresh(const Entry& entry, TimePoint now) noexcept
{
    return now - entry.receivedAt < domainReportTimeout;
}

void Coordination::recordHeartbeat(const VmId& vm, bool leaving, TimePoint now)
{
    auto& heartbeat = m_heartbeats[vm];
    heartbeat.receivedAt = now;
    heartbeat.leaving = leaving;
}

bool Coordination::shouldStepDown(std::optional<TimePoint> lowerHeartbeatAt, TimePoint now)
{
    if (m_isCoordinator && m_reportReceivedAt) {
        const auto reportAge = now - *m_reportReceivedAt;
        if (reportAge > staleReportAge)
            m_reportReceivedAt.reset();
        else if (reportAge > reportTimeout)
            return true;
    }
    if (!lowerHeartbeatAt)
        m_contestedSince.reset();
    else if (!m_contestedSince)
        m_contestedSince = lowerHeartbeatAt;
    return m_contestedSince && lowerHeartbeatAt && *lowerHeartbeatAt - *m_contestedSince > contestTimeout;
}

bool Coordination::update(const MemberTable& members, TimePoint now)
{
    if (!m_startedAt)
        m_startedAt = now;
    auto ranks = ranking(members, m_self.failureDomain);
    const auto self = std::ranges::find(ranks, m_self.process.vm);
    const auto sendsHeartbeats = [&](const VmId& vm) {
        const auto it = m_heartbeats.find(vm);
        return it != m_heartbeats.end() && !it->second.leaving && now - it->second.receivedAt < heartbeatTimeout;
    };
    std::optional<TimePoint> lowerHeartbeatAt;
    for (auto it = self; m_isCoordinator && it != ranks.end(); ++it) {
        if (sendsHeartbeats(*it))
            lowerHeartbeatAt = std::max(lowerHeartbeatAt.value_or(TimePoint {}), m_heartbeats.at(*it).receivedAt);
    }
    if (shouldStepDown(lowerHeartbeatAt, now)) {
        m_followsLowerUntil = now + stepDownTime;
        m_takeoverWaitSince = now;
        m_reportReceivedAt.reset();
    }
    if (!m_followsLowerUntil || now >= *m_followsLowerUntil)
        ranks.erase(self, ranks.end());
    const auto foundRank = std::ranges::find_if(ranks, sendsHeartbeats);
    const VmId bestCandidate = foundRank == ranks.end() ? VmId() : *foundRank;
    const auto precedingVmCount = static_cast<std::size_t>(std::ranges::count_if(ranks, [&](const auto& vm) {
        const auto it = m_heartbeats.find(vm);
        return vm != m_self.process.vm && (it == m_heartbeats.end() || !it->second.leaving);
    }));
    const bool wasCoordinator = m_isCoordinator;
    if (!bestCandidate.empty()) {
        m_followedCoordinator = bestCandidate;
        m_takeoverWaitSince = m_heartbeats.at(bestCandidate).receivedAt;
        m_isCoordinator = false;
        return false;
    }
    const auto waitingSince = std::max(*m_startedAt, m_takeoverWaitSince);
    const auto ranksToWait = static_cast<Duration::rep>(std::min(precedingVmCount, maxWaitRanks));
    const auto firstWait = ranks.empty() && members.others().empty() ? registrationWait : Duration::zero();
    const auto wait = precedingVmCount == 0 ? firstWait : heartbeatTimeout + (ranksToWait - 1) * waitPerRank;
    m_isCoordinator = now - waitingSince >= wait;
    if (m_isCoordinator)
        m_followedCoordinator.clear();
    return m_isCoordinator && !wasCoordinator;
}

std::vector<VmId> Coordination::ranking(const MemberTable& members, std::string_view failureDomain)
{
    std::vector<const MemberRecord*> records;
    if (members.self().failureDomain == failureDomain)
        records.push_back(&members.self());
    for (const auto& [vm, member] : members.others()) {
        if (member.record.failureDomain == failureDomain)
            records.push_back(&member.record);
    }
    std::ranges::sort(records, [](const auto* a, const auto* b) {
        return a->capacity != b->capacity ? a->capacity > b->capacity : a->process.vm < b->process.vm;
    });
    std::vector<VmId> out;
    out.reserve(records.size());
    for (const auto* record : records)
        out.push_back(record->process.vm);
    return out;
}

} // namespace arbutuscrank::entry
