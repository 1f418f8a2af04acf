#include <arbutuscrank/entry/members.hpp>

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace arbutuscrank::entry {

namespace {

    /// Maximum number of addresses in an answer to a look-up.
    constexpr std::size_t maxAddresses = 64;
    /// Time for which callers may cache an answer. Some callers cache answers for up to three times as long, so a VM
    /// that shuts down keeps accepting callers for 3.2 s (`listenTimeAfterStop`).
    constexpr Duration lookupTtl = std::chrono::milliseconds(1000);
    /// If a failure domain has fewer VMs than this, VMs of the region are added, so that the caller has another address
    /// when one VM crashes.
    constexpr std::size_t minDomainAddresses = 2;

    bool acceptsCallers(const Member& member, TimePoint now)
    {
        return MemberTable::isResponsive(member, now) && member.ready && !member.leaving;
    }

    bool isAllowed(
        const MemberRecord& record, std::string_view callerRegion, const std::vector<std::string>& allowedRegions)
    {
        return allowedRegions.empty() || record.region == callerRegion
            || std::ranges::find(allowedRegions, record.region) != allowedRegions.end();
    }

} // namespace

MemberTable::MemberTable(MemberRecord self)
    : m_self(std::move(self))
{
    updateRegions();
}

bool MemberTable::storeRecord(const MemberRecord& record, TimePoint now)
{
    if (record.process.vm == m_self.process.vm)
        return false;
    auto& member = m_members[record.process.vm];
    const bool isNew = member.record.process.vm.empty();
    const bool changesRegions = isNew || member.record.region != record.region;
    if (isNew)
        member.registrationReadAt = now;
    member.record = record;
    member.isMissing = false;
    return changesRegions;
}

bool MemberTable::storeRecords(const std::vector<MemberRecord>& records, TimePoint now)
{
    bool changesRegions = false;
    for (const auto& record : records)
        changesRegions = storeRecord(record, now) || changesRegions;
    return changesRegions;
}

void MemberTable::updateRegions()
{
    m_vmHashesByRegion.clear();
    m_vmHashesByRegion[m_self.region].push_back(hashOf(m_self.process.vm));
    m_vmHashes = { hashOf(m_self.process.vm) };
    for (const auto& [vm, member] : m_members) {
        m_vmHashesByRegion[member.record.region].push_back(hashOf(vm));
        m_vmHashes.push_back(hashOf(vm));
    }
    ++m_regionsVersion;
}

void MemberTable::applyRecord(const MemberRecord& record, TimePoint now)
{
    if (storeRecord(record, now))
        updateRegions();
}

void MemberTable::applyRemoval(std::string_view vm)
{
    if (m_members.erase(std::string(vm)) != 0)
        updateRegions();
}

void MemberTable::applySnapshot(const std::vector<MemberRecord>& records, TimePoint now, bool keepsMissing)
{
    std::set<std::string_view> listed;
    for (const auto& record : records)
        listed.insert(record.process.vm);
    for (auto& [vm, member] : m_members)
        member.isMissing = !listed.contains(vm);
    const bool hasRemoved
        = !keepsMissing && std::erase_if(m_members, [](const auto& item) { return item.second.isMissing; }) != 0;
    const bool hasStored = storeRecords(records, now);
    if (hasRemoved || hasStored)
        updateRegions();
}

void MemberTable::applyIncompleteList(const std::vector<MemberRecord>& records, TimePoint now)
{
    if (storeRecords(records, now))
        updateRegions();
}

std::vector<VmId> MemberTable::removeMissing()
{
    std::vector<VmId> removed;
    for (const auto& [vm, member] : m_members) {
        if (member.isMissing)
            removed.push_back(vm);
    }
    for (const auto& vm : removed)
        m_members.erase(vm);
    if (!removed.empty())
        updateRegions();
    return removed;
}

bool MemberTable::applyReport(const VmReport& report, TimePoint now)
{
    const auto it = m_members.find(report.process.vm);
    if (it == m_members.end())
        return false;
    auto& member = it->second;
    if (member.report) {
        const auto& last = *member.report;
        if (report.process.incarnation < last.process.incarnation)
            return false;
        if (report.process.incarnation == last.process.incarnation && report.sequence <= last.sequence)
            return false;
    }
    member.report = report;
    member.ready = report.ready;
    member.leaving = report.leaving;
    member.lastSeenAt = now;
    return true;
}

void MemberTable::applyStatus(const VmStatus& status, TimePoint now)
{
    const auto it = m_members.find(status.vm);
    if (it == m_members.end())
        return;
    it->second.ready = status.ready;
    it->second.leaving = status.leaving;
    it->second.lastSeenAt = now;
}

bool MemberTable::claimRemoval(const VmId& vm, Duration timeout, TimePoint now)
{
    const auto it = m_members.find(vm);
    if (it == m_members.end())
        return false;
    auto& member = it->second;
    if (now - member.lastSeenAt.value_or(member.registrationReadAt) < timeout)
        return false;
    if (member.removalRequestedAt && now - *member.removalRequestedAt < timeout)
        return false;
    member.removalRequestedAt = now;
    return true;
}

bool MemberTable::isResponsive(const Member& member, TimePoint now, Duration maxAge) noexcept
{
    return member.lastSeenAt && now - *member.lastSeenAt < maxAge;
}

std::uint64_t MemberTable::hashOf(const VmId& vm) noexcept { return XXH64(vm.data(), vm.size(), 0); }

std::span<const std::uint64_t> MemberTable::vmHashesOfRegion(std::string_view region) const
{
    const auto it = m_vmHashesByRegion.find(region);
    return it == m_vmHashesByRegion.end() ? std::span<const std::uint64_t>() : it->second;
}

LookupAnswer answerLookup(const MemberTable& members, std::string_view region, std::string_view failureDomain,
    const std::vector<std::string>& allowedRegions, bool selfReady, Duration maxTtl, TimePoint now)
{
    std::vector<const MemberRecord*> usable;
    if (selfReady)
        usable.push_back(&members.self());
    for (const auto& [vm, member] : members.others()) {
        if (acceptsCallers(member, now))
            usable.push_back(&member.record);
    }
    LookupAnswer answer;
    answer.ttl = std::min(lookupTtl, maxTtl);
    const auto add = [&](auto matches) {
        for (const auto* record : usable) {
            if (answer.addresses.size() < maxAddresses && matches(*record)
                && std::ranges::find(answer.addresses, record->callerAddress) == answer.addresses.end())
                answer.addresses.push_back(record->callerAddress);
        }
    };
    add([&](const MemberRecord& record) { return record.failureDomain == failureDomain; });
    if (answer.addresses.size() < minDomainAddresses)
        add([&](const MemberRecord& record) { return record.region == region; });
    if (answer.addresses.empty())
        add([&](const MemberRecord& record) { return isAllowed(record, region, allowedRegions); });
    if (answer.addresses.empty())
        add([](const MemberRecord&) { return true; });
    return answer;
}

} // namespace arbutuscrank::entry
