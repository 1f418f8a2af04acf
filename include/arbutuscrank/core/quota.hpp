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
/// \brief Topic "quota": rate and burst counted across all VMs (section 7 of docs/design.md).

namespace arbutuscrank {

/// \brief What this daemon holds, lends and borrows of one quota.
struct QuotaPool {
    /// \brief A loan that another daemon may still spend.
    struct Lent {
        ProcessId borrower;
        std::uint64_t loanId = 0;
        MicroTokens tokens = 0;
        TimePoint until; ///< not spendable from here on, even if the borrower never reports
    };
    /// \brief A loan that this daemon may spend.
    struct Borrowed {
        std::uint64_t loanId = 0;
        VmId lender;
        MicroTokens tokens = 0; ///< granted
        MicroTokens left = 0;
        TimePoint expires;
    };
    /// \brief A loan that was asked for.
    struct Asked {
        std::uint64_t loanId = 0;
        VmId lender;
        MicroTokens tokens = 0;
        TimePoint sentAt;
        bool silent = false; ///< no longer counted on, because the answer is late or the session broke
    };
    /// \brief What is known of a lender.
    struct Lender {
        MicroTokens balance = 0;
        TimePoint knownAt;
        TimePoint refusesUntil;
    };
    /// \brief A request that waits for tokens.
    struct Waiter {
        RequestId id = 0;
        MicroTokens tokens = 0;
        TimePoint until;
    };

    std::string key;
    TokenBucket bucket; ///< empty with a zero share if this daemon is no holder
    std::deque<Lent> lent; ///< ordered by \ref Lent::until
    std::deque<Borrowed> borrowed; ///< ordered by expiry
    std::vector<Asked> asked;
    std::map<VmId, Lender, std::less<>> lenders;
    std::map<VmId, std::vector<std::uint64_t>> finished; ///< loans not yet reported as finished, by lender
    std::deque<Waiter> waiters; ///< in order of arrival
    double borrowRate = 0; ///< estimate: micro-tokens per second that the own bucket could not give
    TimePoint borrowRateAt;
};

/// \brief What this daemon knows of one ledger object, and its calls to the store about it.
struct LedgerShard {
    struct Call {
        enum class Kind { Read, Write };
        Kind kind = Kind::Read;
        StoreToken token = 0;
        TimePoint since;
        ledger::Stored written; ///< of a write: what takes effect if it succeeds
    };

    std::optional<Ledger> ledger; ///< highest version seen; shares come from it
    std::optional<ledger::Stored> stored; ///< highest version read or written by this daemon; plans start from it
    std::optional<Call> call;
    std::optional<StoreToken> watch;
    bool rereadNeeded = false; ///< a write conflicted or its outcome is unknown
    bool failing = false; ///< the last call failed
    Duration backoff {};
    TimePoint nextCall;
    TimePoint nextPoll;
    std::optional<TimePoint> planAt;

    VmId writer; ///< empty if unknown
    bool mayHold = false; ///< this daemon would be chosen as a holder
    std::map<ProcessId, ObjectVersion> confirmed; ///< latest version that each holder confirmed
    std::map<ProcessId, TimePoint> goneSince;
    std::map<VmId, TimePoint> pushedAt; ///< last push to a VM that asked without holding a share
    TimePoint nextRepeat; ///< when unconfirmed holders get the ledger again

    bool confirmDue = false; ///< this daemon has yet to confirm \ref ledger
    VmId confirmTo; ///< who passed the ledger on, besides the writer
    std::optional<TimePoint> loweredSince; ///< since when the ledger records more than it wants of this daemon
};

/// \brief Hash of quota keys that takes string views.
struct QuotaKeyHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming): name required by std::unordered_map
    [[nodiscard]] std::size_t operator()(std::string_view key) const noexcept;
};

/// \brief State of the topic; written only by the functions below.
struct QuotaState {
    std::unordered_map<std::string, QuotaPool, QuotaKeyHash, std::equal_to<>> pools;
    std::map<std::string_view, QuotaPool*> busy; ///< pools with loans, waiters or reports; keys point into the pools
    std::unordered_map<RequestId, QuotaPool*> waiting;
    ledger::Grants grants; ///< of the document in force
    std::array<LedgerShard, ledger::shardCount> shards;
    std::uint32_t refreshFrom = 0; ///< next shard whose roles are worked out again
    std::uint32_t refreshLeft = ledger::shardCount; ///< shards whose roles are out of date
    std::uint64_t tokens = 0; ///< of store calls
    std::uint64_t loans = 0; ///< asked for
    std::optional<TimePoint> startedAt; ///< first tick
    bool leaving = false;
};

namespace quota {

    /// Life of a loan, counted by the borrower from when it sent its request.
    inline constexpr Duration loanLifetime = std::chrono::milliseconds(300);
    /// Added by the lender to \ref loanLifetime. Covers a difference of clock speeds of one third, far above real ones.
    inline constexpr Duration loanMargin = std::chrono::milliseconds(100);

    /// \brief Answer to a request for tokens.
    struct Decision {
        enum class Kind {
            Granted, ///< the tokens are spent
            Waiting, ///< a loan was asked for; \ref QuotaResolved follows
            Refused, ///< no tokens; see \ref retryAfter
        };
        Kind kind = Kind::Refused;
        Duration retryAfter {}; ///< time until a token is expected
    };

    /// \brief Key of a client account's quota.
    [[nodiscard]] std::string accountKey(std::string_view account);
    /// \brief Key of a planned shift's cap.
    [[nodiscard]] std::string shiftKey(std::string_view shift);
    /// \brief Key of the link from one region to another, in bytes.
    [[nodiscard]] std::string linkKey(std::string_view from, std::string_view to);
    /// \brief Key of the requests that other regions may send to a region.
    [[nodiscard]] std::string spillKey(std::string_view service, std::string_view region);

    /// \brief Spends tokens, or waits for a loan until \p waitUntil.
    /// \param waiter request that waits; one request waits for one quota at a time
    /// \param tokens micro-tokens
    /// \param waitUntil with a value not after the event's time the call never waits
    [[nodiscard]] Decision acquire(State& state, std::string_view key, RequestId waiter, MicroTokens tokens,
        TimePoint waitUntil, Context& context);

    /// \brief Gives up waiting; no \ref QuotaResolved follows.
    void cancelWait(State& state, RequestId waiter);

    /// \brief VMs that hold a share of a quota, in the order of the ledger; empty if there is no ledger yet.
    [[nodiscard]] std::vector<VmId> holders(const State& state, std::string_view key);

    /// \brief VMs to which this daemon needs a session: writers of ledgers it holds shares in, and holders it borrows
    /// from. For the writer of a ledger also the holders. Ordered, without this VM.
    [[nodiscard]] std::vector<VmId> neededPeers(const State& state);

    /// \brief Hands back all shares, because this daemon leaves.
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
