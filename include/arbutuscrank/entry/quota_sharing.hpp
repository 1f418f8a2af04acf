#pragma once

#include <arbutuscrank/core/token_bucket.hpp>
#include <arbutuscrank/entry/members.hpp>
#include <arbutuscrank/entry/settings.hpp>
#include <arbutuscrank/entry/traffic_policy.hpp>

#include <deque>
#include <map>
#include <span>
#include <string>
#include <vector>

/// \file
/// \brief Admits requests of client accounts against rates and bursts that count over all VMs.

namespace arbutuscrank::entry {

/// \brief This VM's admission to the accounts' quotas.
///
/// Each VM knows from the others' reports how much they have admitted. A request takes a token of this VM's share,
/// which follows the VM's part of the demand, or, while all VMs are heard, of the fleet's bucket. Between two reports a
/// VM takes no more than its part of that bucket. A silent VM keeps the share that it had.
class QuotaSharing {
public:
    explicit QuotaSharing(const Bounds& bounds)
        : m_bounds(bounds)
    {
    }

    /// \brief Takes over rates and bursts. Accounts that are gone are dropped.
    void setPolicy(const TrafficPolicy& policy, TimePoint now);

    /// \brief Takes in what another VM reported.
    void applyReport(const Member& member, TimePoint now);

    /// \brief Recomputes the shares. Called a few times a second.
    void updateShares(const MemberTable& members, TimePoint now);

    /// \brief Admits one request of an account. An account without a limit is always admitted.
    [[nodiscard]] bool admit(const std::string& account, TimePoint now);

    /// \brief Gives back the token of a request that was refused before it ran.
    void giveBack(const std::string& account);

    /// \brief Time until the account's share has a token again.
    [[nodiscard]] Duration timeUntilToken(const std::string& account, TimePoint now);

    /// \brief Rate, burst, shares and levels of an account, for log lines.
    [[nodiscard]] std::string describe(const std::string& account, TimePoint now);

    /// \brief Counters for this VM's own report, which is about to be sent.
    [[nodiscard]] std::map<std::string, AccountUse, std::less<>> takeUse(TimePoint now);

    /// \brief Whether requests were refused that could be admitted once the VMs have exchanged reports.
    [[nodiscard]] bool wantsReport() const noexcept { return m_wantsReport; }

    /// \brief Whether some account has less than half of its burst left, so that reports should come faster.
    [[nodiscard]] bool isPressed() const noexcept;

private:
    struct Peer {
        Incarnation incarnation = 0;
        std::uint64_t admitted = 0;
        double demand = 0;
        double part = 0; ///< of the rate, as of the last time that the VM was heard
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
        double rounding = 0; ///< added to this VM's part of the bucket before it is rounded down, 0 to 1
        std::deque<Spending> spending; ///< at the last updates, back to what the others know
        double fleetLevel = 0; ///< tokens of the fleet's bucket as this VM knows it
        TimePoint fleetAt {};
        double refillPart = 1; ///< part of the rate that fills it: without that of silent VMs
        TokenBucket share;
        std::map<VmId, Peer> peers;
    };

    void refill(Account& account, TimePoint now) const;
    void setShare(Account& account, std::span<const VmId> heard, std::span<const VmId> silent, TimePoint now) const;
    /// Whether a request may be admitted beyond this VM's share. Within the time of an exchange a VM draws no more than
    /// its part of the fleet's bucket, so that the sum over all VMs keeps to the bucket and the tolerance.
    [[nodiscard]] bool mayDraw(const Account& account, TimePoint now) const;
    /// Silence of any VM after which nothing is drawn: shorter while the bucket is low, since reports come faster then.
    [[nodiscard]] static Duration drawSilenceLimit(const Account& account);
    [[nodiscard]] double tolerance(const Account& account) const; ///< tokens that may be spent beyond the bucket

    Bounds m_bounds;
    std::map<std::string, Account, std::less<>> m_accounts;
    TimePoint m_updatedAt {};
    std::size_t m_vms = 1;
    TimePoint m_oldestHeard {}; ///< oldest of the newest reports of the other VMs
    bool m_wantsReport = false;
};

} // namespace arbutuscrank::entry
