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
/// \brief Admits requests of client accounts against rates and bursts that count over all VMs.

namespace arbutuscrank::entry {

/// \brief Admission to the accounts' quotas by the coordinator of one failure domain.
///
/// Each coordinator knows from the others' reports how much they have admitted. A request takes a token of the domain's
/// share, which follows the domain's part of the demand, or, while all domains are heard, of the fleet's bucket.
/// Between two reports a coordinator takes no more than its domain's part of that bucket. A silent domain keeps the
/// share that it had. VMs that do not coordinate follow the reports that they are told of, so that they can take over.
class QuotaSharing {
public:
    QuotaSharing(const Bounds& bounds, std::string failureDomain)
        : m_bounds(bounds)
        , m_ownDomain(std::move(failureDomain))
    {
    }

    /// \brief Takes over rates and bursts. Accounts that are gone are dropped.
    void setPolicy(const TrafficPolicy& policy, TimePoint now);

    /// \brief Takes in what another coordinator reported, of this failure domain or of another one.
    void applyReport(const DomainReport& report, TimePoint now);

    /// \brief A report with this VM's counters was sent to the other coordinators.
    void noteSent(const HeardReport& report, TimePoint now);

    /// \brief This VM begins to admit for its failure domain: nothing of the domain's share is left over, and nothing
    /// is admitted before another domain has heard of it, if any other domain is heard.
    void startHolding(TimePoint now);

    /// \brief Recomputes the shares. Called a few times a second.
    /// \param otherDomains failure domains with VMs, without this VM's own
    void updateShares(const std::set<std::string>& otherDomains, TimePoint now);

    /// \brief Admits one request of an account. An account without a limit is always admitted.
    [[nodiscard]] bool admit(const std::string& account, TimePoint now);

    /// \brief Gives back the token of a request that was refused before it ran.
    void giveBack(const std::string& account);

    /// \brief Time until the domain's share has a token again.
    [[nodiscard]] Duration timeUntilToken(const std::string& account, TimePoint now);

    /// \brief Rate, burst, shares and levels of an account, for log lines.
    [[nodiscard]] std::string describe(const std::string& account, TimePoint now);

    /// \brief Counters for this VM's own report, which is about to be sent.
    [[nodiscard]] AccountUses takeUse(TimePoint now);

    /// \brief Whether requests were refused that could be admitted once the coordinators have exchanged reports.
    [[nodiscard]] bool wantsReport() const noexcept { return m_wantsReport; }

    /// \brief Whether some account has less than half of its burst left, so that reports should come faster.
    [[nodiscard]] bool isPressed() const noexcept;

private:
    struct Domain {
        double demand = 0;
        double part = 0; ///< of the rate, as of the last time that the domain was heard
    };
    struct Counter {
        Incarnation incarnation = 0;
        std::uint64_t admitted = 0;
    };
    struct Spending {
        TimePoint at {};
        std::uint64_t admitted = 0;
    };
    struct Account {
        double rate = 0;
        double burst = 0;
        std::uint64_t admitted = 0;
        double demand = 0; ///< smoothed requests per second
        double asked = 0; ///< requests since the last update
        double rounding = 0; ///< added to this domain's part of the bucket before it is rounded down, 0 to 1
        std::deque<Spending> spending; ///< at the last updates, back to what the others know
        double fleetLevel = 0; ///< tokens of the fleet's bucket as this VM knows it
        TimePoint fleetAt {};
        double refillPart = 1; ///< part of the rate that fills it: without that of silent domains
        TokenBucket share;
        std::map<std::string, Domain> domains; ///< others, by name
        std::map<VmId, Counter> counters; ///< of all coordinators that were heard
    };

    void refill(Account& account, TimePoint now) const;
    /// Requests that a domain could admit in a long silence from the part that it kept. The fleet's bucket was not
    /// filled with that part meanwhile.
    [[nodiscard]] double spentUnheard(const Account& account, const std::string& domain, Duration silence) const;
    void setShare(
        Account& account, std::span<const std::string> heard, std::span<const std::string> silent, TimePoint now) const;
    /// Whether a request may be admitted beyond this domain's share. Within the time of an exchange a coordinator draws
    /// no more than its part of the fleet's bucket, so that the sum over all of them keeps to the bucket and the
    /// tolerance.
    [[nodiscard]] bool mayHold(TimePoint now) const; ///< whether this VM may admit anything as coordinator
    [[nodiscard]] bool mayDraw(const Account& account, TimePoint now) const;
    /// Silence of any domain after which nothing is drawn: shorter while the bucket is low, since reports come faster
    /// then.
    [[nodiscard]] static Duration drawSilenceLimit(const Account& account);
    [[nodiscard]] double tolerance(const Account& account) const; ///< tokens that may be spent beyond the bucket

    Bounds m_bounds;
    std::string m_ownDomain;
    std::map<std::string, Account, std::less<>> m_accounts;
    TimePoint m_updatedAt {};
    struct Hearing {
        TimePoint at {}; ///< newest report of the domain
        TimePoint acknowledged {}; ///< when this VM sent the newest report that the domain has heard
    };
    std::map<std::string, Hearing> m_heard; ///< by failure domain
    std::deque<std::pair<HeardReport, TimePoint>> m_sent; ///< own reports and when they were sent
    std::size_t m_domains = 1; ///< this VM's own counted
    bool m_isKnown = false; ///< another domain has heard this VM as coordinator since it began
    TimePoint m_oldestHeard {}; ///< oldest of the newest reports of the other domains
    TimePoint m_exchangedAt {}; ///< all other domains know what this one had admitted by then
    bool m_wantsReport = false;
};

} // namespace arbutuscrank::entry
