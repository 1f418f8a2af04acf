#pragma once

#include <arbutuscrank/core/context.hpp>
#include <arbutuscrank/core/forward.hpp>

#include <map>
#include <optional>
#include <string>

/// \file
/// \brief Topic "proof": what is known of each account's last traffic, here and at the other entries.

namespace arbutuscrank {

/// \brief Last traffic of an account at this entry.
struct AccountTraffic {
    std::optional<TimePoint> refusingSince;
    std::optional<TimePoint> lastRequestAt; ///< last request sent to a target
    std::optional<TimePoint> lastAnswerAt; ///< last answer of a target
    std::uint32_t inFlight = 0;
};

/// \brief A question to all entries that has not been answered by all yet.
struct ProofQuery {
    std::string account;
    TimePoint until;
    std::map<VmId, std::optional<ProofReply>> replies;
};

/// \brief A question passed on to the members of this region for an entry of another region.
struct RelayedProofQuery {
    VmId origin;
    std::uint64_t queryId = 0; ///< number at the origin
    TimePoint until;
};

/// \brief State of the topic; written only by the functions below.
struct ProofState {
    std::map<std::string, AccountTraffic, std::less<>> accounts;
    std::map<std::uint64_t, ProofQuery> queries;
    std::map<std::uint64_t, RelayedProofQuery> relayed; ///< by number at this relay
    std::uint64_t lastRelayed = 0;
};

namespace proof {

    /// \brief A request of the account went to a target (directly or through another entry).
    void requestSent(State& state, std::string_view account, TimePoint now);
    /// \brief A request of the account ended.
    void requestEnded(State& state, std::string_view account, bool answered, TimePoint now);

    void onTick(State& state, Context& context);
    void onConfigurationApplied(State& state, const ConfigurationApplied& event, Context& context);
    void onProofQueryReceived(State& state, const ProofQueryReceived& event, Context& context);
    void onProofRequest(State& state, const ProcessId& from, const ProofRequest& message, Context& context);
    void onProofReply(State& state, const ProcessId& from, const ProofReply& message, Context& context);

} // namespace proof

} // namespace arbutuscrank
