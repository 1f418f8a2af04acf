#pragma once

#include <arbutuscrank/core/token_bucket.hpp>
#include <arbutuscrank/entry/members.hpp>
#include <arbutuscrank/entry/settings.hpp>
#include <arbutuscrank/entry/traffic_policy.hpp>

#include <deque>
#include <map>
#include <string>
#include <vector>

/// \file
/// \brief Admits requests of client accounts against rates and bursts that count over all VMs.

namespace arbutuscrank::entry {

/// \brief This VM's admission to the accounts' quotas.
///
/// Each VM knows from the others' reports how much they have admitted. While all are heard and the fleet's bucket has
/// tokens beyond what may be under way unseen, a request is admitted from the fleet's bucket. Otherwise it needs a
/// token of this VM's share, which follows the VM's part of the demand. A silent VM keeps the share that it had.
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

    /// \brief Counters for this VM's own report.
    [[nodiscard]] std::map<std::string, AccountUse, std::less<>> use(TimePoint now);

    /// \brief Whether some account has less than half of its burst left, so that reports should come faster.
    [[nodiscard]] bool isPressed() const noexcept;

private:
    struct Peer {
        Incarnation incarnation = 0;
        std::uint64_t admitted = 0;
        double demand = 0;
        double admittedPerSecond = 0;
        TimePoint at {};
    };
    struct Account {
        double rate = 0;
        double burst = 0;
        std::uint64_t admitted = 0;
        double demand = 0; ///< smoothed requests per second
        double asked = 0; ///< requests since the last update
        double fleetLevel = 0; ///< tokens of the fleet's bucket as this VM knows it
        TimePoint fleetAt {};
        TokenBucket share;
        std::map<VmId, Peer> peers;
    };

    void refill(Account& account, TimePoint now) const;
    [[nodiscard]] double unseen(const Account& account) const; ///< tokens that others may have spent since their reports
    [[nodiscard]] double tolerance(const Account& account) const; ///< tokens that may be spent beyond the bucket

    Bounds m_bounds;
    std::map<std::string, Account, std::less<>> m_accounts;
    TimePoint m_updatedAt {};
    std::size_t m_vms = 1;
    bool m_allHeard = false;
};

} // namespace arbutuscrank::entry
