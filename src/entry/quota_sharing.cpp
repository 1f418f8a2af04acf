#include <arbutuscrank/entry/quota_sharing.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace arbutuscrank::entry {

namespace {

    /// Time constant of the demand average. Shorter follows single requests, longer lags behind moving clients.
    constexpr double demandSmoothingSeconds = 1.5;
    /// Demand that each VM counts at least, as a part of an equal split of the rate, so that an idle VM keeps a share.
    constexpr double baseDemandPart = 0.25;
    /// Part of the rate that shares hand out. The rest covers shares that change while reports are under way.
    constexpr double sharedPart = 0.97;
    /// Part of the tolerated excess that unreported spending may use up. The rest covers lost and late reports.
    constexpr double usedTolerance = 0.4;

    MicroTokens microTokens(double tokens) { return static_cast<MicroTokens>(tokens * static_cast<double>(oneToken)); }

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

void QuotaSharing::setPolicy(const TrafficPolicy& policy, TimePoint now)
{
    std::map<std::string, Account, std::less<>> accounts;
    for (const auto& wanted : policy.accounts) {
        const auto it = m_accounts.find(wanted.name);
        auto& account = accounts[wanted.name];
        if (it != m_accounts.end()) {
            account = std::move(it->second);
            refill(account, now);
        } else {
            account.fleetAt = now;
            // An earlier run of this VM, or of all VMs, may have spent the burst and what is tolerated beyond it.
            account.rate = wanted.ratePerSecond;
            account.burst = wanted.burst;
            account.fleetLevel = -tolerance(account);
        }
        account.rate = wanted.ratePerSecond;
        account.burst = wanted.burst;
        account.fleetLevel = std::min(account.fleetLevel, account.burst);
    }
    m_accounts = std::move(accounts);
}

void QuotaSharing::refill(Account& account, TimePoint now) const
{
    const double elapsed = std::max(0.0, seconds(now - account.fleetAt));
    account.fleetLevel = std::min(account.burst, account.fleetLevel + elapsed * account.rate);
    account.fleetAt = now;
}

void QuotaSharing::applyReport(const Member& member, TimePoint now)
{
    if (!member.report)
        return;
    const auto& report = *member.report;
    for (auto& [name, account] : m_accounts) {
        const auto it = report.accounts.find(name);
        if (it == report.accounts.end())
            continue;
        auto& peer = account.peers[report.process.vm];
        const auto& use = it->second;
        const bool known = peer.incarnation == report.process.incarnation;
        const auto before = known ? peer.admitted : 0;
        if (use.admitted >= before) {
            const auto spent = static_cast<double>(use.admitted - before);
            refill(account, now);
            // The first report that is heard of a process says nothing of when its requests came.
            if (known || peer.incarnation != 0) {
                account.fleetLevel -= spent;
            }
        }
        peer.incarnation = report.process.incarnation;
        peer.admitted = use.admitted;
        peer.demand = use.demand;
        peer.at = now;
    }
}

void QuotaSharing::updateShares(const MemberTable& members, TimePoint now)
{
    const double elapsed = std::max(1e-3, seconds(now - m_updatedAt));
    const bool first = m_updatedAt == TimePoint {};
    m_updatedAt = now;
    m_vms = members.fleetSize();
    m_allHeard = std::ranges::all_of(members.others(),
        [&](const auto& item) { return MemberTable::isHeard(item.second, now, MemberTable::reportLimit); });
    const double weight = 1 - std::exp(-elapsed / demandSmoothingSeconds);
    for (auto& [name, account] : m_accounts) {
        if (!first)
            account.demand += weight * (account.asked / elapsed - account.demand);
        account.asked = 0;
        std::erase_if(account.peers, [&](const auto& item) { return !members.others().contains(item.first); });
        const double base = baseDemandPart * account.rate / static_cast<double>(m_vms);
        double total = account.demand + base;
        for (const auto& [vm, member] : members.others()) {
            const auto it = account.peers.find(vm);
            total += base + (it == account.peers.end() ? 0 : it->second.demand);
        }
        const double part = total > 0 ? (account.demand + base) / total : 1.0 / static_cast<double>(m_vms);
        account.share.setShare(
            microTokens(sharedPart * account.rate * part), microTokens(std::max(1.0, account.burst * part)), now);
    }
}

double QuotaSharing::tolerance(const Account& account) const
{
    const double granted = account.rate * seconds(m_bounds.quotaWindow) + account.burst;
    return usedTolerance * (m_bounds.quotaOverage * granted + m_bounds.quotaSlack);
}

double QuotaSharing::unreportedLimit(const Account& account) const
{
    const double available = account.fleetLevel + static_cast<double>(account.unreported) + tolerance(account);
    return std::max(1.0, available / static_cast<double>(m_vms));
}

bool QuotaSharing::admit(const std::string& name, TimePoint now)
{
    const auto it = m_accounts.find(name);
    if (it == m_accounts.end())
        return true;
    auto& account = it->second;
    ++account.asked;
    if (account.rate <= 0) {
        ++account.admitted;
        return true;
    }
    refill(account, now);
    if (account.fleetLevel < -tolerance(account))
        return false;
    const bool fromShare = account.share.trySpend(oneToken, now);
    if (!fromShare) {
        const bool withinLimit = account.unreported + 1 <= unreportedLimit(account);
        m_wantsReport = m_wantsReport || !withinLimit;
        if (!m_allHeard || account.fleetLevel < 1 || !withinLimit)
            return false;
        ++account.unreported;
    }
    account.fleetLevel -= 1;
    ++account.admitted;
    return true;
}

void QuotaSharing::giveBack(const std::string& name)
{
    const auto it = m_accounts.find(name);
    if (it == m_accounts.end() || it->second.admitted == 0)
        return;
    it->second.fleetLevel = std::min(it->second.burst, it->second.fleetLevel + 1);
    --it->second.admitted;
}

Duration QuotaSharing::timeUntilToken(const std::string& name, TimePoint now)
{
    const auto it = m_accounts.find(name);
    return it == m_accounts.end() ? Duration::zero() : it->second.share.timeUntil(oneToken, now);
}

std::string QuotaSharing::describe(const std::string& name, TimePoint now)
{
    const auto it = m_accounts.find(name);
    if (it == m_accounts.end())
        return "unlimited";
    auto& account = it->second;
    const auto tokens = [](MicroTokens n) { return static_cast<double>(n) / static_cast<double>(oneToken); };
    return fmt::format("rate={:.1f} burst={:.1f} fleet_level={:.1f} share_rate={:.2f} share_level={:.2f} demand={:.2f} "
                       "all_heard={}",
        account.rate, account.burst, account.fleetLevel, tokens(account.share.rate()), tokens(account.share.level(now)),
        account.demand, m_allHeard);
}

std::map<std::string, AccountUse, std::less<>> QuotaSharing::takeUse(TimePoint now)
{
    m_wantsReport = false;
    std::map<std::string, AccountUse, std::less<>> out;
    for (auto& [name, account] : m_accounts) {
        refill(account, now);
        account.unreported = 0;
        out[name] = { .admitted = account.admitted, .demand = account.demand };
    }
    return out;
}

bool QuotaSharing::isPressed() const noexcept
{
    return std::ranges::any_of(m_accounts,
        [](const auto& item) { return item.second.rate > 0 && item.second.fleetLevel < item.second.burst / 2; });
}

} // namespace arbutuscrank::entry
