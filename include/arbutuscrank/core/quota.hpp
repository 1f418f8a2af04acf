#pragma once

#include <arbutuscrank/core/context.hpp>
#include <arbutuscrank/core/forward.hpp>
#include <arbutuscrank/core/ledger.hpp>
#include <arbutuscrank/core/token_bucket.hpp>

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Topic "quota": limits of rate and burst that hold across all VMs (section 7 of docs/design.md).

namespace arbutuscrank {

/// \brief Tokens of one quota that this daemon holds, lends and borrows, and the requests that wait for them.
struct QuotaPool {
    /// \brief A loan from this daemon that its borrower may still spend.
    struct LentLoan {
        ProcessId borrower;
        std::uint64_t loanId = 0;
        MicroTokens tokens = 0;
        /// From this time on the borrower cannot spend the loan, even if it never reports it as finished.
        TimePoint reservedUntil;
    };
    /// \brief A loan that this daemon may spend.
    struct BorrowedLoan {
        std::uint64_t loanId = 0;
        VmId lender;
        MicroTokens tokens = 0; ///< size of the loan when it was granted
        MicroTokens remaining = 0; ///< tokens not spent yet
        TimePoint expires;
    };
    /// \brief A loan request without an answer so far.
    struct RequestedLoan {
        std::uint64_t loanId = 0;
        VmId lender;
        MicroTokens tokens = 0;
        TimePoint sentAt;
        /// The answer is late or the session broke, so other lenders are asked for the same tokens. An answer that
        /// arrives before the loan would expire still counts.
        bool isOverdue = false;
    };
    /// \brief Last known state of a lender.
    struct Lender {
        MicroTokens balance = 0; ///< tokens that it could still lend by its last reply; 0 while its own requests wait
        TimePoint balanceAt; ///< when that reply arrived
        /// No loan is requested from it before this time, because it refused, answered late or lost its session.
        TimePoint pausedUntil;
    };
    /// \brief A request that is waiting for tokens.
    struct Waiter {
        RequestId id = 0;
        MicroTokens tokens = 0;
        TimePoint waitUntil; ///< the request is refused if it has no tokens by then
    };

    std::string key;
    TokenBucket bucket; ///< empty, with a share of zero, if this daemon is not a holder
    std::deque<LentLoan> lentLoans; ///< ordered by \ref LentLoan::reservedUntil
    std::deque<BorrowedLoan> borrowedLoans; ///< ordered by expiry
    std::vector<RequestedLoan> requestedLoans;
    std::map<VmId, Lender, std::less<>> lenders;
    /// IDs of loans that are not yet reported as finished, by lender. They are spent or expired, or their request got
    /// no answer before the loan would have expired.
    std::map<VmId, std::vector<std::uint64_t>> unreportedLoans;
    std::deque<Waiter> waiters; ///< in order of arrival
    /// Decaying estimate, in micro-tokens per second, of the unmet demand: tokens that requests ask for while the own
    /// bucket is too low, other requests wait or loans are being spent.
    double unmetDemandPerSecond = 0;
    TimePoint unmetDemandAt; ///< time of the estimate
};

/// \brief Content of one ledger object as this daemon knows it, its store calls, and the roles in the shard.
struct LedgerShard {
    /// \brief A read or write of the ledger object that has no answer yet.
    struct StoreCall {
        enum class Kind { Read, Write };
        Kind kind = Kind::Read;
        StoreToken token = 0;
        TimePoint calledAt;
        ledger::Stored written; ///< content of a write, which takes effect if it succeeds
    };

    std::optional<Ledger> ledger; ///< highest known version from any source; the shares in use come from it
    std::optional<ledger::Stored> stored; ///< highest version that this daemon read or wrote; plans start from it
    std::optional<StoreCall> call;
    std::optional<StoreToken> watch;
    bool needsReread = false; ///< a write conflicted or its outcome is unknown
    bool isStoreFailing = false; ///< the last call failed
    Duration backoff {};
    TimePoint nextCallAt;
    TimePoint nextPollAt;
    std::optional<TimePoint> planAt; ///< when the next plan is due; nullopt if none is

    VmId writer; ///< VM that normally writes the ledger; empty if unknown
    bool isChosenHolder = false; ///< \ref ledger::chooseHolders picks this daemon for at least one quota of the shard
    std::map<ProcessId, ObjectVersion> confirmedVersions; ///< latest version that each holder has confirmed
    std::map<ProcessId, TimePoint> goneSince; ///< when a plan first found a holder gone
    std::map<VmId, TimePoint> lastPushAt; ///< last push to a VM that requested a loan although this daemon is no holder
    TimePoint nextRepushAt; ///< when holders that have not confirmed the ledger receive it again

    /// This daemon holds a share and has to confirm \ref ledger, for the first time or again.
    bool isConfirmationDue = false;
    VmId confirmationReceiver; ///< VM that passed the ledger on; receives a confirmation in addition to the writer
    /// Since when the ledger records a larger share for this daemon than it assigns to it.
    std::optional<TimePoint> loweredSince;
};

/// \brief Hash of quota keys that accepts string views.
struct QuotaKeyHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming): name required by std::unordered_map
    [[nodiscard]] std::size_t operator()(std::string_view key) const noexcept;
};

/// \brief State of the topic "quota". Only the functions below write to it.
struct QuotaState {
    std::unordered_map<std::string, QuotaPool, QuotaKeyHash, std::equal_to<>> pools;
    /// Pools with loans, waiting requests or unreported loans. The keys point into the pools.
    std::map<std::string_view, QuotaPool*> activePools;
    std::unordered_map<RequestId, QuotaPool*> poolByWaiter; ///< pool in which each waiting request waits
    ledger::Grants grants; ///< grants of the active document
    std::array<LedgerShard, ledger::shardCount> shards;
    std::uint32_t nextShardToRefresh = 0; ///< next shard whose roles are computed
    std::uint32_t shardsToRefresh = ledger::shardCount; ///< number of shards whose roles are outdated
    std::uint64_t storeTokensIssued = 0; ///< counter from which the next \ref StoreToken is made
    std::uint64_t loanRequestsSent = 0; ///< counter from which the next loan ID is made
    std::optional<TimePoint> startedAt; ///< when roles were first computed
    bool selfLeaving = false; ///< this daemon returns its shares and takes no others
};

namespace quota {

    /// Lifetime of a loan. The borrower counts it from the time at which it sent the request.
    inline constexpr Duration loanLifetime = std::chrono::milliseconds(300);
    /// Time by which the lender's count of \ref loanLifetime is longer. It covers a difference in clock speed of one
    /// third, which is far above real ones.
    inline constexpr Duration loanMargin = std::chrono::milliseconds(100);

    /// \brief Outcome of \ref acquire.
    struct Decision {
        enum class Kind {
            Granted, ///< the tokens are spent
            Waiting, ///< the request waits for tokens; \ref QuotaResolved follows
            Refused, ///< the request got no tokens and does not wait; see \ref retryAfter
        };
        Kind kind = Kind::Refused;
        Duration retryAfter {}; ///< time until the tokens are expected to be available
    };

    /// \brief Key of a client account's quota.
    [[nodiscard]] std::string accountKey(std::string_view account);
    /// \brief Key of a planned shift's cap.
    [[nodiscard]] std::string shiftKey(std::string_view shift);
    /// \brief Key of the quota of a link from one region to another, whose tokens are bytes.
    [[nodiscard]] std::string linkKey(std::string_view from, std::string_view to);
    /// \brief Key of the quota of requests that other regions may spill over to a region.
    [[nodiscard]] std::string spillKey(std::string_view service, std::string_view region);

    /// \brief Spends tokens of a quota. If there are not enough, or other requests wait already, the request waits
    /// until \p waitUntil. Refuses at once if it would have to wait and the tokens exceed the burst of the quota or too
    /// many requests wait.
    /// \param waiter request that may wait; a request waits for one quota at a time
    /// \param tokens micro-tokens
    /// \param waitUntil if not later than the time of the event, the call refuses instead of waiting
    [[nodiscard]] Decision acquire(State& state, std::string_view key, RequestId waiter, MicroTokens tokens,
        TimePoint waitUntil, Context& context);

    /// \brief Ends the wait of a request. No \ref QuotaResolved follows.
    void cancelWait(State& state, RequestId waiter);

    /// \brief VMs to which the ledger assigns a share of a quota, in its order. Holders that give up their share are
    /// left out.
    /// \returns empty if the ledger is not known or does not have the quota
    [[nodiscard]] std::vector<VmId> holders(const State& state, std::string_view key);

    /// \brief VMs to which this daemon needs a session: the writers of ledgers in which it has or would get a share,
    /// the holders of quotas that it uses, and all holders of the ledgers that it writes.
    /// \returns ordered by name, without this VM
    [[nodiscard]] std::vector<VmId> neededPeers(const State& state);

    /// \brief Stops using all shares and starts to return them through the ledgers, because this daemon is leaving.
    void startLeaving(State& state, Context& context);

    void onTick(State& state, Context& context);
    void onConfigurationApplied(State& state, const ConfigurationApplied& event, Context& context);
    void onMemberChanged(State& state, const MemberChanged& event, Context& context);
    void onObjectRead(State& state, const ObjectRead& event, Context& context);
    void onObjectWritten(State& state, const ObjectWritten& event, Context& context);
    void onStoreCallFailed(State& state, const StoreCallFailed& event, Context& context);
    void onLedgerPush(State& state, const ProcessId& from, const LedgerPush& message, Context& context);
    void onShareConfirm(State& state, const ProcessId& from, const ShareConfirm& message, Context& context);
    void onLoanRequest(State& state, const ProcessId& from, const LoanRequest& message, Context& context);
    void onLoanReply(State& state, const ProcessId& from, const LoanReply& message, Context& context);
    void onPeerConnectionLost(State& state, const PeerConnectionLost& event, Context& context);

} // namespace quota

} // namespace arbutuscrank
