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
    constexpr double baseDemandFraction = 0.25;
    /// Fraction of the rate that is divided into shares. The rest covers changes of the shares while reports are in
    /// transit.
    constexpr double sharedRateFraction = 0.97;
    /// Fraction of the tolerated excess by which the fleet's bucket may be overdrawn permanently.
    constexpr double permanentOverdraftFraction = 0.25;
    /// Fraction of the tolerated excess that all domains together may overdraw between two exchanges of reports. The
    /// excess beyond both fractions covers lost reports and admissions that a coordinator had not reported when it
    /// failed.
    constexpr double exchangeOverdraftFraction = 0.55;
    /// Age of a domain's newest report after which its share is frozen. The interval of reports is 300 ms, rounded up
    /// to the next tick.
    constexpr Duration shareFreezeAge = std::chrono::milliseconds(620);
    /// Age up to which a domain's newest report counts as recent. It is also the age of the last exchange of reports
    /// with any other domain after which no token is taken from the fleet's bucket. An exchange is complete when this
    /// coordinator has received the other's report and the other has acknowledged one of this coordinator.
    constexpr Duration domainReportMaxAge = std::chrono::milliseconds(1300);
    /// Time within which the admissions of one domain become known to the others.
    constexpr Duration exchangeTime = std::chrono::milliseconds(500);
    /// Age of the last exchange of reports with any other domain after which no token is taken from a bucket that is
    /// less than half full. Reports are sent every 200 ms while a bucket is this low.
    constexpr Duration lowBucketExchangeMaxAge = std::chrono::milliseconds(750);

    /// Step of a low-discrepancy sequence that rounds a fractional number of requests up or down in turn.
    constexpr double goldenRatioFraction = 0.6180339887;

    MicroTokens microTokens(double tokens) { return static_cast<MicroTokens>(tokens * static_cast<double>(oneToken)); }

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

void QuotaSharing::setPolicy(const TrafficPolicy& policy, TimePoint now)
{
    std::map<std::string, Account, std::less<>> accounts;
    for (const auto& accountPolicy : policy.accounts) {
        const auto it = m_accounts.find(accountPolicy.name);
        auto& account = accounts[accountPolicy.name];
        if (it != m_accounts.end()) {
            account = std::move(it->second);
            refill(account, now);
        } else {
            account.fleetLevelAt = now;
            // Earlier processes of this VM or of all VMs may have used up the burst and the tolerance.
            account.rate = accountPolicy.ratePerSecond;
            account.burst = accountPolicy.burst;
            account.fleetLevel = -tolerance(account);
        }
        account.rate = accountPolicy.ratePerSecond;
        account.burst = accountPolicy.burst;
        account.fleetLevel = std::min(account.fleetLevel, account.burst);
    }
    m_accounts = std::move(accounts);
}

void QuotaSharing::refill(Account& account, TimePoint now) const
{
    const double elapsed = std::max(0.0, seconds(now - account.fleetLevelAt));
    account.fleetLevel = std::min(account.burst, account.fleetLevel + elapsed * account.rate * account.refillFraction);
    account.fleetLevelAt = now;
}

void QuotaSharing::applyReport(const DomainReport& report, TimePoint now)
{
    auto& contact = m_contacts[report.failureDomain];
    const auto reportAge = now - contact.reportReceivedAt;
    contact.reportReceivedAt = now;
    if (const auto it = report.acknowledgedReports.find(m_ownDomain); it != report.acknowledgedReports.end()) {
        const auto sent = std::ranges::find_if(m_sentReports, [&](const auto& item) {
            return item.first.incarnation == it->second.incarnation && item.first.sequence == it->second.sequence;
        });
        if (sent != m_sentReports.end()) {
            contact.acknowledgedSentAt = std::max(contact.acknowledgedSentAt, sent->second);
            m_isAcknowledged = true;
        }
    }
    for (auto& [name, account] : m_accounts) {
        const auto it = report.accounts.find(name);
        if (it == report.accounts.end())
            continue;
        const auto& usage = it->second;
        auto& counter = account.counters[report.coordinator.vm];
        const bool isSameProcess = counter.incarnation == report.coordinator.incarnation;
        const auto admittedBefore = isSameProcess ? counter.admitted : 0;
        // The first report received from a VM does not tell when its requests were admitted, so they are not
        // subtracted.
        if (usage.admitted >= admittedBefore && counter.incarnation != 0) {
            refill(account, now);
            const auto spent = static_cast<double>(usage.admitted - admittedBefore);
            account.fleetLevel
                -= std::max(0.0, spent - admittedFromRetainedShare(account, report.failureDomain, reportAge));
        }
        counter = { report.coordinator.incarnation, usage.admitted };
        if (report.failureDomain == m_ownDomain)
            account.demandPerSecond = usage.demandPerSecond; // initial value if this VM takes over
        else
            account.domains[report.failureDomain].demandPerSecond = usage.demandPerSecond;
    }
}

double QuotaSharing::admittedFromRetainedShare(
    const Account& account, const std::string& domain, Duration reportAge) const
{
    if (reportAge < domainReportMaxAge)
        return 0;
    const auto it = account.domains.find(domain);
    const double fraction = it == account.domains.end() ? 1 : it->second.fraction;
    return fraction * account.rate * seconds(reportAge);
}

void QuotaSharing::recordSentReport(const ReportId& report, TimePoint now)
{
    m_sentReports.emplace_back(report, now);
    while (now - m_sentReports.front().second > 2 * domainReportMaxAge)
        m_sentReports.pop_front();
}

void QuotaSharing::startCoordinating(TimePoint now)
{
    const bool knowsFleet = std::ranges::all_of(
        m_contacts, [&](const auto& item) { return now - item.second.reportReceivedAt < domainReportMaxAge; });
    m_isAcknowledged = false;
    m_sentReports.clear();
    for (auto& [name, account] : m_accounts) {
        account.shareBucket = TokenBucket {};
        // The previous coordinator may have admitted requests that it did not report.
        account.fleetLevel = (knowsFleet && !m_contacts.empty() ? account.fleetLevel : 0) - tolerance(account);
    }
}

void QuotaSharing::updateShares(const std::set<std::string>& otherDomains, TimePoint now)
{
    const double elapsed = std::max(1e-3, seconds(now - m_updatedAt));
    const bool isFirstUpdate = m_updatedAt == TimePoint {};
    m_updatedAt = now;
    m_domainCount = otherDomains.size() + 1;
    std::vector<std::string> fresh;
    std::vector<std::string> stale;
    m_oldestReportAt = now;
    m_exchangedAt = now;
    for (const auto& domain : otherDomains) {
        const auto it = m_contacts.find(domain);
        const auto contact = it == m_contacts.end() ? DomainContact {} : it->second;
        (now - contact.reportReceivedAt < shareFreezeAge ? fresh : stale).push_back(domain);
        m_oldestReportAt = std::min(m_oldestReportAt, contact.reportReceivedAt);
        m_exchangedAt = std::min({ m_exchangedAt, contact.reportReceivedAt, contact.acknowledgedSentAt });
    }
    const double weight = 1 - std::exp(-elapsed / demandSmoothingSeconds);
    for (auto& [name, account] : m_accounts) {
        if (!isFirstUpdate)
            account.demandPerSecond += weight * (account.arrivals / elapsed - account.demandPerSecond);
        account.arrivals = 0;
        std::erase_if(account.domains, [&](const auto& item) { return !otherDomains.contains(item.first); });
        account.roundingOffset = std::fmod(account.roundingOffset + goldenRatioFraction, 1.0);
        setShare(account, fresh, stale, now);
        refill(account, now);
        account.refillFraction = 1;
        for (const auto& domain : stale)
            account.refillFraction -= account.domains.at(domain).fraction;
        account.refillFraction = std::max(0.0, account.refillFraction);
        account.admittedSamples.push_back({ now, account.admitted });
        while (account.admittedSamples.size() > 1
            && account.admittedSamples[1].at <= std::min(m_oldestReportAt, now - exchangeTime))
            account.admittedSamples.pop_front();
    }
}

void QuotaSharing::setShare(
    Account& account, std::span<const std::string> fresh, std::span<const std::string> stale, TimePoint now) const
{
    const double equalFraction = 1.0 / static_cast<double>(m_domainCount);
    const double baseDemand = baseDemandFraction * account.rate * equalFraction;
    // A domain without recent reports keeps its share: it may still admit requests, and does not know the demand of the
    // others.
    double freeFraction = 1;
    for (const auto& domain : stale)
        freeFraction
            -= account.domains.try_emplace(domain, DomainShare { .fraction = equalFraction }).first->second.fraction;
    freeFraction = std::max(0.0, freeFraction);
    double totalDemand = account.demandPerSecond + baseDemand;
    for (const auto& domain : fresh)
        totalDemand += baseDemand
            + account.domains.try_emplace(domain, DomainShare { .fraction = equalFraction })
                  .first->second.demandPerSecond;
    const auto fractionOf = [&](double demandPerSecond) {
        return totalDemand > 0 ? freeFraction * (demandPerSecond + baseDemand) / totalDemand
                               : freeFraction * equalFraction;
    };
    for (const auto& name : fresh) {
        auto& domain = account.domains.at(name);
        domain.fraction = fractionOf(domain.demandPerSecond);
    }
    const double fraction = fractionOf(account.demandPerSecond);
    account.shareBucket.setShare(microTokens(sharedRateFraction * account.rate * fraction),
        microTokens(std::max(1.0, account.burst * fraction)), now);
}

double QuotaSharing::tolerance(const Account& account) const
{
    const double granted = account.rate * seconds(m_bounds.quotaWindow) + account.burst;
    return permanentOverdraftFraction * (m_bounds.quotaOverage * granted + m_bounds.quotaSlack);
}

Duration QuotaSharing::maxExchangeAge(const Account& account)
{
    return account.fleetLevel < account.burst / 2 ? lowBucketExchangeMaxAge : domainReportMaxAge;
}

bool QuotaSharing::mayAdmit(TimePoint now) const
{
    return m_isAcknowledged || std::ranges::none_of(m_contacts, [&](const auto& item) {
        return now - item.second.reportReceivedAt < domainReportMaxAge;
    });
}

bool QuotaSharing::mayTakeFleetToken(const Account& account, TimePoint now) const
{
    if (account.fleetLevel < 1 || now - m_exchangedAt > maxExchangeAge(account))
        return false;
    const auto admittedBefore = account.admittedSamples.empty() ? 0 : account.admittedSamples.front().admitted;
    const auto recentlyAdmitted = static_cast<double>(account.admitted - std::min(admittedBefore, account.admitted));
    const double availableTokens = account.fleetLevel + recentlyAdmitted
        + exchangeOverdraftFraction / permanentOverdraftFraction * tolerance(account);
    return recentlyAdmitted + 1
        <= std::max(1.0, availableTokens / static_cast<double>(m_domainCount) + account.roundingOffset);
}

bool QuotaSharing::admit(const std::string& name, TimePoint now)
{
    const auto it = m_accounts.find(name);
    if (it == m_accounts.end())
        return true;
    auto& account = it->second;
    ++account.arrivals;
    if (account.rate <= 0) {
        ++account.admitted;
        return true;
    }
    refill(account, now);
    if (account.fleetLevel < -tolerance(account) || !mayAdmit(now))
        return false;
    const bool fromShare = account.shareBucket.trySpend(oneToken, now);
    if (!fromShare && !mayTakeFleetToken(account, now)) {
        m_needsExchange = m_needsExchange || account.fleetLevel >= 1;
        return false;
    }
    account.fleetLevel -= 1;
    ++account.admitted;
    return true;
}

void QuotaSharing::returnToken(const std::string& name)
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
    return it == m_accounts.end() ? Duration::zero() : it->second.shareBucket.timeUntil(oneToken, now);
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
        account.rate, account.burst, account.fleetLevel, tokens(account.shareBucket.rate()),
        tokens(account.shareBucket.level(now)), account.demandPerSecond,
        (now - m_exchangedAt) / std::chrono::milliseconds(1));
}

AccountUsages QuotaSharing::collectUsage(TimePoint now)
{
    m_needsExchange = false;
    AccountUsages out;
    for (auto& [name, account] : m_accounts) {
        refill(account, now);
        out[name] = { .admitted = account.admitted, .demandPerSecond = account.demandPerSecond };
    }
    return out;
}

bool QuotaSharing::hasLowBucket() const noexcept
{
    return std::ranges::any_of(m_accounts,
        [](const auto& item) { return item.second.rate > 0 && item.second.fleetLevel < item.second.burst / 2; });
}

} // namespace arbutuscrank::entry
