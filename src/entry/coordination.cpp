#include <arbutuscrank/entry/coordination.hpp>

#include <algorithm>

namespace arbutuscrank::entry {

namespace {

    using std::chrono::milliseconds;

    /// Age of a coordinator's newest heartbeat after which the next VM takes over. Heartbeats are sent every 200 ms.
    constexpr Duration coordinatorSilence = milliseconds(620);
    /// Additional wait per rank, so that the heartbeat of the next VM arrives before the one after it takes over.
    constexpr Duration waitPerRank = milliseconds(250);
    /// The wait does not grow beyond this rank, because many VMs may have failed at once.
    constexpr std::size_t longestWaitRanks = 4;
    /// Wait of a VM that starts with an empty list of VMs, for the registrations of VMs that start at the same time.
    constexpr Duration registrationTime = milliseconds(500);
    /// Time for which a lower rank may coordinate beside this VM before this VM steps down. The lower rank stops
    /// coordinating as soon as it receives a heartbeat of this VM.
    constexpr Duration longestContest = milliseconds(250);
    /// Time for which a VM that stepped down follows lower ranks before it may coordinate again.
    constexpr Duration yieldTime = std::chrono::seconds(3);
    /// Age of the newest report of any VM of the failure domain after which a coordinator assumes that it cannot
    /// receive reports. VMs report every 200 ms.
    constexpr Duration deafAfter = milliseconds(900);
    /// Age of the newest report after which a coordinator assumes that the other VMs of its failure domain are gone.
    constexpr Duration aloneAfter = std::chrono::seconds(2);
    /// Age of a coordinator's newest report after which its failure domain counts as unreachable. Coordinators report
    /// to each other every 200 to 400 ms.
    constexpr Duration domainSilence = milliseconds(1300);
    /// Age after which the report of a failure domain is discarded.
    constexpr Duration domainLifetime = std::chrono::seconds(12);

} // namespace

bool DomainTable::apply(const DomainReport& report, TimePoint now)
{
    auto& entry = m_domains[report.failureDomain];
    const auto& last = entry.report;
    const bool sameVm = last.coordinator.vm == report.coordinator.vm;
    if (sameVm && report.coordinator.incarnation < last.coordinator.incarnation)
        return false;
    if (last.coordinator == report.coordinator && report.sequence <= last.sequence)
        return false;
    entry = { report, now };
    return true;
}

void DomainTable::expire(TimePoint now)
{
    std::erase_if(m_domains, [&](const auto& item) { return now - item.second.receivedAt > domainLifetime; });
}

bool DomainTable::isHeard(const Entry& entry, TimePoint now) noexcept { return now - entry.receivedAt < domainSilence; }

void Coordination::heard(const VmId& vm, bool leaving, TimePoint now)
{
    auto& voice = m_voices[vm];
    voice.receivedAt = now;
    voice.leaving = leaving;
}

bool Coordination::shouldYield(std::optional<TimePoint> lowerHeardAt, TimePoint now)
{
    if (m_isCoordinator && m_reportHeardAt) {
        const auto silence = now - *m_reportHeardAt;
        if (silence > aloneAfter)
            m_reportHeardAt.reset();
        else if (silence > deafAfter)
            return true;
    }
    if (!lowerHeardAt)
        m_contestedSince.reset();
    else if (!m_contestedSince)
        m_contestedSince = lowerHeardAt;
    return m_contestedSince && lowerHeardAt && *lowerHeardAt - *m_contestedSince > longestContest;
}

bool Coordination::update(const MemberTable& members, TimePoint now)
{
    if (!m_startedAt)
        m_startedAt = now;
    auto ranks = ranking(members, m_self.failureDomain);
    const auto self = std::ranges::find(ranks, m_self.process.vm);
    const auto speaks = [&](const VmId& vm) {
        const auto it = m_voices.find(vm);
        return it != m_voices.end() && !it->second.leaving && now - it->second.receivedAt < coordinatorSilence;
    };
    std::optional<TimePoint> lowerHeardAt;
    for (auto it = self; m_isCoordinator && it != ranks.end(); ++it) {
        if (speaks(*it))
            lowerHeardAt = std::max(lowerHeardAt.value_or(TimePoint {}), m_voices.at(*it).receivedAt);
    }
    if (shouldYield(lowerHeardAt, now)) {
        m_yieldsUntil = now + yieldTime;
        m_higherHeardAt = now;
        m_reportHeardAt.reset();
    }
    if (!m_yieldsUntil || now >= *m_yieldsUntil)
        ranks.erase(self, ranks.end());
    const auto found = std::ranges::find_if(ranks, speaks);
    const VmId best = found == ranks.end() ? VmId() : *found;
    const auto above = static_cast<std::size_t>(std::ranges::count_if(ranks, [&](const auto& vm) {
        const auto it = m_voices.find(vm);
        return vm != m_self.process.vm && (it == m_voices.end() || !it->second.leaving);
    }));
    const bool was = m_isCoordinator;
    if (!best.empty()) {
        m_followedCoordinator = best;
        m_higherHeardAt = m_voices.at(best).receivedAt;
        m_isCoordinator = false;
        return false;
    }
    const auto silentSince = std::max(*m_startedAt, m_higherHeardAt);
    const auto ranksToWait = static_cast<Duration::rep>(std::min(above, longestWaitRanks));
    const auto firstWait = ranks.empty() && members.others().empty() ? registrationTime : Duration::zero();
    const auto wait = above == 0 ? firstWait : coordinatorSilence + (ranksToWait - 1) * waitPerRank;
    m_isCoordinator = now - silentSince >= wait;
    if (m_isCoordinator)
        m_followedCoordinator.clear();
    return m_isCoordinator && !was;
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
