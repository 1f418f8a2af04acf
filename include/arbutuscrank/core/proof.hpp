#pragma once

#include <arbutuscrank/core/context.hpp>
#include <arbutuscrank/core/forward.hpp>

#include <map>
#include <optional>
#include <string>

/// \file
/// \brief Topic "proof": proves that a withdrawn account has no more traffic. Tracks the latest traffic of each account
/// at this entry and collects the reports of the other entries.

namespace arbutuscrank {

/// \brief Latest traffic of an account at this entry.
struct AccountTraffic {
    std::optional<TimePoint> refusingSince; ///< since when the configuration refuses the account
    std::optional<TimePoint> lastRequestAt; ///< when the last request was sent to a target
    std::optional<TimePoint> lastAnswerAt; ///< when the last request that a target answered ended
    std::uint32_t inFlight = 0;
};

/// \brief A query that was sent to all entries and that some of them have not answered yet.
struct ProofQuery {
    std::string account;
    TimePoint deadline;
    std::map<VmId, std::optional<ProofReply>> replies; ///< by entry; nullopt until the entry replies
};

/// \brief A query that this entry forwards to the members of its region for an entry in another region.
struct ForwardedProofQuery {
    VmId origin;
    std::uint64_t queryId = 0; ///< id at the origin
    TimePoint deadline;
};

/// \brief State of the topic; written only by the functions below.
struct ProofState {
    std::map<std::string, AccountTraffic, std::less<>> accounts;
    std::map<std::uint64_t, ProofQuery> queries;
    std::map<std::uint64_t, ForwardedProofQuery> forwardedQueries; ///< by the id that this entry gave them
    std::uint64_t lastForwardedQueryId = 0;
};

namespace proof {

    /// \brief Records that a request of the account was sent to a target, directly or through another entry.
    void recordRequestSent(State& state, std::string_view account, TimePoint now);
    /// \brief Records that a request of the account ended.
    /// \param answered whether an answer of the target had started
    void recordRequestEnded(State& state, std::string_view account, bool answered, TimePoint now);

    void onTick(State& state, Context& context);
    void onConfigurationApplied(State& state, const ConfigurationApplied& event, Context& context);
    void onProofQueryReceived(State& state, const ProofQueryReceived& event, Context& context);
    void onProofRequest(State& state, const ProcessId& from, const ProofRequest& message, Context& context);
    void onProofReply(State& state, const ProcessId& from, const ProofReply& message, Context& context);

} // namespace proof

} // namespace arbutuscrank
