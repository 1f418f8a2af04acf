#include <arbutuscrank/entry/coordination.hpp>

#include <algorithm>

namespace arbutuscrank::entry {

namespace {

    using std::chrono::milliseconds;

    /// Silence of a coordinator after which the next VM takes over. It speaks every 200 ms.
    constexpr Duration coordinatorSilence = milliseconds(620);
    /// Additional wait for each rank, so that the next VM is heard before the one after it takes over.
    constexpr Duration waitPerRank = milliseconds(250);
    /// Ranks beyond this one wait no longer: many VMs may be gone at once.
    constexpr std::size_t longestWaitRanks = 4;
    /// A VM that starts with an empty list of VMs waits for the registrations of those that start with it.
    constexpr Duration registrationTime = milliseconds(500);
    /// Time for which a lower VM may go on as coordinator beside this one: it stops as soon as it hears this one. Then
    /// how long this VM follows it before it speaks again.
    constexpr Duration longestContest = milliseconds(250);
    constexpr Duration yieldTime = std::chrono::seconds(3);
    /// Silence of all other VMs of the failure domain after which a coordinator that heard them takes itself for deaf;
    /// after the longer time they are gone. They report every 200 ms.
    constexpr Duration deafAfter = milliseconds(900);
    constexpr Duration aloneAfter = std::chrono::seconds(2);
    /// Silence of a failure domain after which its coordinator counts as unheard. Coordinators speak every 400 ms.
    constexpr Duration domainSilence = milliseconds(1300);
    /// Silence after which a failure domain's numbers no longer count.
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
    std::erase_if(m_domains, [&](const auto& item) { return now - item.second.heardAt > domainLifetime; });
}

bool DomainTable::isHeard(const Entry& entry, TimePoint now) noexcept { return now - entry.heardAt < domainSilence; }

void Coordination::heard(const VmId& vm, bool leaving, TimePoint now)
{
    auto& voice = m_voices[vm];
    voice.heardAt = now;
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
        return it != m_voices.end() && !it->second.leaving && now - it->second.heardAt < coordinatorSilence;
    };
    std::optional<TimePoint> lowerHeardAt;
    for (auto it = self; m_isCoordinator && it != ranks.end(); ++it) {
        if (speaks(*it))
            lowerHeardAt = std::max(lowerHeardAt.value_or(TimePoint {}), m_voices.at(*it).heardAt);
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
        m_followed = best;
        m_higherHeardAt = m_voices.at(best).heardAt;
        m_isCoordinator = false;
        return false;
    }
    const auto silentSince = std::max(*m_startedAt, m_higherHeardAt);
    const auto ranksToWait = static_cast<Duration::rep>(std::min(above, longestWaitRanks));
    const auto firstWait = ranks.empty() && members.others().empty() ? registrationTime : Duration::zero();
    const auto wait = above == 0 ? firstWait : coordinatorSilence + (ranksToWait - 1) * waitPerRank;
    m_isCoordinator = now - silentSince >= wait;
    if (m_isCoordinator)
        m_followed.clear();
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
