#include <arbutuscrank/entry/quota_sharing.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace arbutuscrank::entry {

namespace {

    /// Time constant of the demand average. A shorter one follows individual requests, a longer one lags behind clients
    /// that move.
    constexpr double demandSmoothingSeconds = 1.5;
    /// Minimum demand that each domain counts with, as a fraction of an equal split of the rate, so that an idle domain
    /// keeps a share.
    constexpr double baseDemandPart = 0.25;
    /// Fraction of the rate that is divided into shares. The rest covers changes of the shares while reports are in
    /// transit.
    constexpr double sharedPart = 0.97;
    /// Fraction of the tolerated excess by which the fleet's bucket may be overdrawn permanently.
    constexpr double usedTolerance = 0.25;
    /// Fraction of the tolerated excess that all domains together may overdraw between two exchanges of reports. The
    /// excess beyond both fractions covers lost reports and admissions that a coordinator had not reported when it
    /// failed.
    constexpr double drawnTolerance = 0.55;
    /// Age of a domain's newest report after which its share is frozen. The interval of reports is at most 300 ms.
    constexpr Duration silenceLimit = std::chrono::milliseconds(620);
    /// Age of a domain's newest report after which no token is taken from the fleet's bucket.
    constexpr Duration reportLimit = std::chrono::milliseconds(1300);
    /// Time within which the admissions of one domain become known to the others.
    constexpr Duration exchangeTime = std::chrono::milliseconds(500);
    /// The same limit for a bucket that is less than half full. Reports are sent every 200 ms then.
    constexpr Duration pressedSilenceLimit = std::chrono::milliseconds(750);

    /// Step of a low-discrepancy sequence that rounds a fractional number of requests up or down in turn.
    constexpr double goldenRatio = 0.6180339887;

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
            // Earlier processes of this VM or of all VMs may have used up the burst and the tolerance.
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
    account.fleetLevel = std::min(account.burst, account.fleetLevel + elapsed * account.rate * account.refillPart);
    account.fleetAt = now;
}

void QuotaSharing::applyReport(const DomainReport& report, TimePoint now)
{
    auto& hearing = m_heard[report.failureDomain];
    const auto silence = now - hearing.at;
    hearing.at = now;
    if (const auto it = report.acknowledgedReports.find(m_ownDomain); it != report.acknowledgedReports.end()) {
        const auto sent = std::ranges::find_if(m_sent, [&](const auto& item) {
            return item.first.incarnation == it->second.incarnation && item.first.sequence == it->second.sequence;
        });
        if (sent != m_sent.end()) {
            hearing.acknowledged = std::max(hearing.acknowledged, sent->second);
            m_isKnown = true;
        }
    }
    for (auto& [name, account] : m_accounts) {
        const auto it = report.accounts.find(name);
        if (it == report.accounts.end())
            continue;
        const auto& use = it->second;
        auto& counter = account.counters[report.coordinator.vm];
        const bool known = counter.incarnation == report.coordinator.incarnation;
        const auto before = known ? counter.admitted : 0;
        // The first report from a process does not tell when the requests in it were admitted, so it is not subtracted.
        if (use.admitted >= before && counter.incarnation != 0) {
            refill(account, now);
            const auto spent = static_cast<double>(use.admitted - before);
            account.fleetLevel -= std::max(0.0, spent - spentUnheard(account, report.failureDomain, silence));
        }
        counter = { report.coordinator.incarnation, use.admitted };
        if (report.failureDomain == m_ownDomain)
            account.demand = use.demand; // a standby coordinator starts from the demand of its coordinator
        else
            account.domains[report.failureDomain].demand = use.demand;
    }
}

double QuotaSharing::spentUnheard(const Account& account, const std::string& domain, Duration silence) const
{
    if (silence < reportLimit)
        return 0;
    const auto it = account.domains.find(domain);
    const double part = it == account.domains.end() ? 1 : it->second.part;
    return part * account.rate * seconds(silence);
}

void QuotaSharing::noteSent(const ReportId& report, TimePoint now)
{
    m_sent.emplace_back(report, now);
    while (now - m_sent.front().second > 2 * reportLimit)
        m_sent.pop_front();
}

void QuotaSharing::startHolding(TimePoint now)
{
    const bool knowsFleet
        = std::ranges::all_of(m_heard, [&](const auto& item) { return now - item.second.at < reportLimit; });
    m_isKnown = false;
    m_sent.clear();
    for (auto& [name, account] : m_accounts) {
        account.share = TokenBucket {};
        // The previous coordinator may have admitted requests that it did not report.
        account.fleetLevel = (knowsFleet && !m_heard.empty() ? account.fleetLevel : 0) - tolerance(account);
    }
}

void QuotaSharing::updateShares(const std::set<std::string>& otherDomains, TimePoint now)
{
    const double elapsed = std::max(1e-3, seconds(now - m_updatedAt));
    const bool first = m_updatedAt == TimePoint {};
    m_updatedAt = now;
    m_domains = otherDomains.size() + 1;
    std::vector<std::string> heard;
    std::vector<std::string> silent;
    m_oldestHeard = now;
    m_exchangedAt = now;
    for (const auto& domain : otherDomains) {
        const auto it = m_heard.find(domain);
        const auto hearing = it == m_heard.end() ? Hearing {} : it->second;
        (now - hearing.at < silenceLimit ? heard : silent).push_back(domain);
        m_oldestHeard = std::min(m_oldestHeard, hearing.at);
        m_exchangedAt = std::min({ m_exchangedAt, hearing.at, hearing.acknowledged });
    }
    const double weight = 1 - std::exp(-elapsed / demandSmoothingSeconds);
    for (auto& [name, account] : m_accounts) {
        if (!first)
            account.demand += weight * (account.asked / elapsed - account.demand);
        account.asked = 0;
        std::erase_if(account.domains, [&](const auto& item) { return !otherDomains.contains(item.first); });
        account.rounding = std::fmod(account.rounding + goldenRatio, 1.0);
        setShare(account, heard, silent, now);
        refill(account, now);
        account.refillPart = 1;
        for (const auto& domain : silent)
            account.refillPart -= account.domains.at(domain).part;
        account.refillPart = std::max(0.0, account.refillPart);
        account.spending.push_back({ now, account.admitted });
        while (account.spending.size() > 1 && account.spending[1].at <= std::min(m_oldestHeard, now - exchangeTime))
            account.spending.pop_front();
    }
}

void QuotaSharing::setShare(
    Account& account, std::span<const std::string> heard, std::span<const std::string> silent, TimePoint now) const
{
    const double equal = 1.0 / static_cast<double>(m_domains);
    const double base = baseDemandPart * account.rate * equal;
    // A domain without recent reports keeps its share: it may still admit requests, and does not know the demand of the
    // others.
    double free = 1;
    for (const auto& domain : silent)
        free -= account.domains.try_emplace(domain, Domain { .part = equal }).first->second.part;
    free = std::max(0.0, free);
    double total = account.demand + base;
    for (const auto& domain : heard)
        total += base + account.domains.try_emplace(domain, Domain { .part = equal }).first->second.demand;
    const auto partOf = [&](double demand) { return total > 0 ? free * (demand + base) / total : free * equal; };
    for (const auto& name : heard) {
        auto& domain = account.domains.at(name);
        domain.part = partOf(domain.demand);
    }
    const double part = partOf(account.demand);
    account.share.setShare(
        microTokens(sharedPart * account.rate * part), microTokens(std::max(1.0, account.burst * part)), now);
}

double QuotaSharing::tolerance(const Account& account) const
{
    const double granted = account.rate * seconds(m_bounds.quotaWindow) + account.burst;
    return usedTolerance * (m_bounds.quotaOverage * granted + m_bounds.quotaSlack);
}

Duration QuotaSharing::drawSilenceLimit(const Account& account)
{
    return account.fleetLevel < account.burst / 2 ? pressedSilenceLimit : reportLimit;
}

bool QuotaSharing::mayHold(TimePoint now) const
{
    return m_isKnown
        || std::ranges::none_of(m_heard, [&](const auto& item) { return now - item.second.at < reportLimit; });
}

bool QuotaSharing::mayDraw(const Account& account, TimePoint now) const
{
    if (account.fleetLevel < 1 || now - m_exchangedAt > drawSilenceLimit(account))
        return false;
    const auto before = account.spending.empty() ? 0 : account.spending.front().admitted;
    const auto recent = static_cast<double>(account.admitted - std::min(before, account.admitted));
    const double available = account.fleetLevel + recent + drawnTolerance / usedTolerance * tolerance(account);
    return recent + 1 <= std::max(1.0, available / static_cast<double>(m_domains) + account.rounding);
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
    if (account.fleetLevel < -tolerance(account) || !mayHold(now))
        return false;
    const bool fromShare = account.share.trySpend(oneToken, now);
    if (!fromShare && !mayDraw(account, now)) {
        m_wantsReport = m_wantsReport || account.fleetLevel >= 1;
        return false;
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
                       "exchanged_ms_ago={}",
        account.rate, account.burst, account.fleetLevel, tokens(account.share.rate()), tokens(account.share.level(now)),
        account.demand, (now - m_exchangedAt) / std::chrono::milliseconds(1));
}

AccountUsages QuotaSharing::takeUse(TimePoint now)
{
    m_wantsReport = false;
    AccountUsages out;
    for (auto& [name, account] : m_accounts) {
        refill(account, now);
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
