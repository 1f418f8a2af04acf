#pragma once

#include <arbutuscrank/core/token_bucket.hpp>
#include <arbutuscrank/entry/fleet_messages.hpp>
#include <arbutuscrank/entry/settings.hpp>
#include <arbutuscrank/entry/traffic_policy.hpp>

#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief Admission control: enforces the rates and bursts of client accounts over all VMs.

namespace arbutuscrank::entry {

/// \brief Admission control by the coordinator of one failure domain.
///
/// Coordinators report to each other how many requests of each account they have admitted. From these reports each
/// coordinator estimates the level of the account's token bucket for the whole fleet. The rate and burst are divided
/// into shares of the failure domains, which follow the domains' demand.
///
/// A request takes a token of its domain's share. If the share is empty, it takes one of the fleet's bucket, provided
/// that this coordinator and those of all other domains have recently received each other's reports. Between two such
/// exchanges a coordinator admits at most its domain's part of that bucket and of the tolerated excess. A domain whose
/// reports are missing keeps the share that it had last. A standby coordinator applies the reports that its coordinator
/// relays, so that it can take over.
class QuotaSharing {
public:
    QuotaSharing(const Bounds& bounds, std::string failureDomain)
        : m_bounds(bounds)
        , m_ownDomain(std::move(failureDomain))
    {
    }

    /// \brief Applies the rates and bursts of a configuration. Accounts that it does not contain are removed.
    void setPolicy(const TrafficPolicy& policy, TimePoint now);

    /// \brief Applies the report of another coordinator, of this failure domain or of another one.
    void applyReport(const DomainReport& report, TimePoint now);

    /// \brief Records that a report with this VM's counters was sent to the other coordinators.
    void recordSentReport(const ReportId& report, TimePoint now);

    /// \brief Starts to admit requests as the new coordinator of this failure domain. The domain's share starts empty,
    /// and the fleet's bucket is lowered by the tolerance, because the previous coordinator may have admitted requests
    /// that it did not report. If any coordinator's report is recent, including the previous one's, requests of
    /// limited accounts are refused until another domain acknowledges a report of this VM, or until no report is
    /// recent.
    void startCoordinating(TimePoint now);

    /// \brief Recomputes the shares. Must be called several times a second.
    /// \param otherDomains failure domains with registered VMs, except this VM's own
    void updateShares(const std::set<std::string>& otherDomains, TimePoint now);

    /// \brief Admits one request of an account. An account without a limit is always admitted.
    [[nodiscard]] bool admit(const std::string& account, TimePoint now);

    /// \brief Returns the token of a request that was admitted but refused before it ran. The token goes to the fleet's
    /// bucket; the domain's share is not refilled.
    void returnToken(const std::string& account);

    /// \brief Time until the domain's share contains a token.
    [[nodiscard]] Duration timeUntilToken(const std::string& account, TimePoint now);

    /// \brief Rate, burst, shares and levels of an account, for log lines.
    [[nodiscard]] std::string describe(const std::string& account, TimePoint now);

    /// \brief Returns the usage of all accounts for a report that is about to be sent, and clears \ref needsExchange.
    [[nodiscard]] AccountUsages collectUsage(TimePoint now);

    /// \brief Whether a request was refused that may become admissible after the next exchange of reports.
    [[nodiscard]] bool needsExchange() const noexcept { return m_needsExchange; }

    /// \brief Whether the bucket of some account is less than half full, so that reports should be exchanged more
    /// often.
    [[nodiscard]] bool hasLowBucket() const noexcept;

private:
    struct DomainShare {
        double demandPerSecond = 0;
        double fraction = 0; ///< fraction of the rate while the domain's reports were last recent
    };
    struct Counter {
        Incarnation incarnation = 0;
        std::uint64_t admitted = 0;
    };
    struct AdmittedSample {
        TimePoint at {};
        std::uint64_t admitted = 0;
    };
    struct Account {
        double rate = 0;
        double burst = 0;
        std::uint64_t admitted = 0;
        double demandPerSecond = 0; ///< smoothed arrival rate in requests per second
        double arrivals = 0; ///< requests since the last update of the shares
        /// Added to the domain's part of the fleet's bucket before it is compared with whole requests, 0 to 1
        double roundingOffset = 0;
        /// Admissions counted at the last updates, back to the oldest that other domains may not know
        std::deque<AdmittedSample> admittedSamples;
        double fleetLevel = 0; ///< estimated tokens in the fleet's bucket; negative if overdrawn
        TimePoint fleetLevelAt {}; ///< time of \ref fleetLevel
        /// Fraction of the rate that refills the fleet's bucket; excludes domains without recent reports
        double refillFraction = 1;
        TokenBucket shareBucket; ///< of this failure domain
        std::map<std::string, DomainShare> domains; ///< other failure domains by name
        std::map<VmId, Counter> counters; ///< admissions of each coordinator as last reported
    };

    void refill(Account& account, TimePoint now) const;
    /// Upper bound of the requests that a domain admitted from its retained share while its reports were missing. The
    /// fleet's bucket was not refilled with that share meanwhile, so these requests are not subtracted again.
    [[nodiscard]] double admittedFromRetainedShare(
        const Account& account, const std::string& domain, Duration reportAge) const;
    void setShare(
        Account& account, std::span<const std::string> fresh, std::span<const std::string> stale, TimePoint now) const;
    /// Whether this VM may admit requests of limited accounts as coordinator: another domain has acknowledged one of
    /// its reports, or no coordinator's report is recent.
    [[nodiscard]] bool mayAdmit(TimePoint now) const;
    /// Whether a request may take a token of the fleet's bucket when the domain's share is empty. Between two exchanges
    /// of reports, a coordinator admits at most its domain's part of the bucket and of the tolerated excess, rounded up
    /// or down, but at least one request. Admissions from the share count too. All coordinators together therefore
    /// stay within the bucket and the tolerance.
    [[nodiscard]] bool mayTakeFleetToken(const Account& account, TimePoint now) const;
    /// Age of the least recent exchange of reports with another domain after which no token of the fleet's bucket is
    /// taken. It is shorter while the bucket is low, because reports are more frequent then.
    [[nodiscard]] static Duration maxExchangeAge(const Account& account);
    /// Tokens by which the fleet's bucket may be overdrawn
    [[nodiscard]] double tolerance(const Account& account) const;

    Bounds m_bounds;
    std::string m_ownDomain;
    std::map<std::string, Account, std::less<>> m_accounts;
    TimePoint m_updatedAt {};
    struct DomainContact {
        TimePoint reportReceivedAt {}; ///< arrival of the domain's newest report
        TimePoint acknowledgedSentAt {}; ///< when this VM sent the newest report that the domain has acknowledged
    };
    std::map<std::string, DomainContact> m_contacts; ///< by failure domain
    std::deque<std::pair<ReportId, TimePoint>> m_sentReports; ///< identities and send times of this VM's reports
    std::size_t m_domainCount = 1; ///< number of failure domains, including this one
    bool m_isAcknowledged = false; ///< another domain has acknowledged a report since this VM became coordinator
    TimePoint m_oldestReportAt {}; ///< arrival of the least recent of the other domains' newest reports
    TimePoint m_exchangedAt {}; ///< all other domains have counted what this one had admitted by then
    bool m_needsExchange = false;
};

} // namespace arbutuscrank::entry
