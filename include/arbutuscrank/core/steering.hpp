#pragma once

#include <arbutuscrank/core/context.hpp>
#include <arbutuscrank/core/forward.hpp>
#include <arbutuscrank/core/lookup_table.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Topic "steering": region weights, planned shifts and the look-up table (section 11 of docs/design.md).

namespace arbutuscrank {

/// \brief State of the topic; written only by the functions below.
struct SteeringState {
    std::shared_ptr<const LookupTable> table;
};

namespace steering {

    /// \brief A region where a request may run, and the quotas it needs to go there.
    struct RegionChoice {
        std::string region;
        std::vector<std::pair<std::string, MicroTokens>> quotas; ///< quota key and tokens; none for the own region
    };

    /// \brief Regions for a request, best first. The own region is there unless it is drained or shifted away.
    /// A choice whose quotas refuse is skipped.
    /// \param account empty on open routes
    [[nodiscard]] std::vector<RegionChoice> chooseRegions(
        State& state, std::string_view service, std::string_view account, Context& context);

    void onTick(State& state, Context& context);
    void onConfigurationApplied(State& state, const ConfigurationApplied& event, Context& context);
    void onMemberChanged(State& state, const MemberChanged& event, Context& context);
    void onObjectRead(State& state, const ObjectRead& event, Context& context);
    void onObjectWritten(State& state, const ObjectWritten& event, Context& context);
    void onStoreCallFailed(State& state, const StoreCallFailed& event, Context& context);

} // namespace steering

} // namespace arbutuscrank
