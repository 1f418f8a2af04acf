#pragma once

#include <arbutuscrank/core/context.hpp>
#include <arbutuscrank/core/forward.hpp>

#include <map>
#include <string>
#include <string_view>

/// \file
/// \brief Topic "quota": rate and burst counted across all VMs (section 7 of docs/design.md).

namespace arbutuscrank {

/// \brief State of the topic; written only by the functions below.
struct QuotaState { };

namespace quota {

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
