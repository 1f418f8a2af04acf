#pragma once

#include <arbutuscrank/entry/members.hpp>
#include <arbutuscrank/entry/targets.hpp>
#include <arbutuscrank/entry/traffic_policy.hpp>

#include <optional>

/// \file
/// \brief This VM's shares of the request rates that targets allow to all VMs together.
///
/// Targets limit their rate while they are cold, and when they name a limit in their answers. A few VMs share the rate
/// of a target, because it is too small to be divided among all of them. They are chosen by rendezvous hashing among
/// the registered VMs of the target's region, or among all VMs if the region has none, so that VMs which cannot reach
/// each other choose alike. Each sends at its share of the rate, and all other VMs send nothing.

namespace arbutuscrank::entry {

/// \brief Requests per second that a target allows to all VMs together.
/// \returns std::nullopt if its rate is not limited
[[nodiscard]] std::optional<double> allowedRate(
    const TargetTable& targets, const Target& target, const PolicyIndex& policy, TimePoint now);

/// \brief Updates this VM's share of the rate of one target, if the rate is limited. Which VMs share it is computed
/// only for targets that are new and after the VMs of a region have changed.
void updateRateShare(
    const TargetTable& targets, Target& target, const PolicyIndex& policy, const MemberTable& members, TimePoint now);

/// \brief Does the same for all targets.
void updateRateShares(TargetTable& targets, const PolicyIndex& policy, const MemberTable& members, TimePoint now);

} // namespace arbutuscrank::entry
