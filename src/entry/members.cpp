#include <arbutuscrank/entry/members.hpp>

#include <algorithm>

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

void MemberTable::applyRecord(const MemberRecord& record, TimePoint now)
{
    if (record.process.vm == m_self.process.vm)
        return;
    auto& member = m_members[record.process.vm];
    if (member.record.process.vm.empty())
        member.registrationReadAt = now;
    member.record = record;
}

void MemberTable::applyRemoval(std::string_view vm) { m_members.erase(std::string(vm)); }

void MemberTable::applySnapshot(const std::vector<MemberRecord>& records, TimePoint now)
{
    std::erase_if(m_members, [&](const auto& item) {
        return std::ranges::none_of(records, [&](const auto& record) { return record.process.vm == item.first; });
    });
    for (const auto& record : records)
        applyRecord(record, now);
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

std::vector<VmId> MemberTable::vmsOfRegion(std::string_view region) const
{
    std::vector<VmId> vms;
    if (m_self.region == region)
        vms.push_back(m_self.process.vm);
    for (const auto& [vm, member] : m_members) {
        if (member.record.region == region)
            vms.push_back(vm);
    }
    std::ranges::sort(vms);
    return vms;
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
