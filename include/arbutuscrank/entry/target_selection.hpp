#pragma once

#include <arbutuscrank/core/random.hpp>
#include <arbutuscrank/entry/members.hpp>
#include <arbutuscrank/entry/settings.hpp>
#include <arbutuscrank/entry/targets.hpp>
#include <arbutuscrank/entry/traffic_policy.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Chooses the target of each attempt: by affinity among targets with room, near ones first.

namespace arbutuscrank::entry {

/// \brief What is to be placed.
struct Placement {
    std::string service;
    std::string_view affinity; ///< requests with equal values go to the same target; empty means none
    const std::vector<std::string>* routeRegions = nullptr; ///< empty or null means all
    const std::vector<std::string>* accountRegions = nullptr;
    const std::vector<std::string>* tried = nullptr; ///< ids of targets not to use again
    bool idempotent = false; ///< only such requests try out ejected targets
    double maxLoad = 1; ///< load per slot up to which a target is used; above 1 it queues
};

/// \brief Why no target was chosen.
enum class NoTarget {
    NoneInService, ///< the service has no target that may be used
    AllBusy, ///< all usable targets are loaded above the limit
};

/// \brief A chosen target, or the reason why there is none.
struct Choice {
    Target* target = nullptr;
    bool trial = false; ///< the target is ejected and tried out
    NoTarget reason = NoTarget::NoneInService;
};

/// \brief How one service's requests of this region are split among regions.
///
/// A part of the affinity values stays in the region where requests come in; the others go to regions with room.
struct RegionSplit {
    std::map<std::string, double> parts; ///< part of the values by region, this VM's region included; their sum is 1
    TimePoint updatedAt {};
};

/// \brief Places requests on targets.
class TargetSelection {
public:
    TargetSelection(std::string region, const Bounds& bounds, std::uint64_t seed)
        : m_region(std::move(region))
        , m_bounds(bounds)
        , m_random(seed)
    {
    }

    /// \brief Chooses a target. The caller counts the attempt in \ref Target::inFlight.
    [[nodiscard]] Choice choose(TargetTable& targets, const Placement& placement, TimePoint now);

    /// \brief Recomputes how the region's requests are split among regions, from demand and slots.
    /// \param demand requests per second by service and region, as all VMs report them
    void updateSplits(
        const TargetTable& targets, const std::map<std::string, std::map<std::string, double>>& demand, TimePoint now);

    /// \brief Sets this VM's part of the rate of each cold target.
    void updateColdShares(TargetTable& targets, const PolicyIndex& policy, const MemberTable& members, TimePoint now);

    [[nodiscard]] const std::map<std::string, RegionSplit>& splits() const noexcept { return m_splits; }

private:
    struct Candidate {
        Target* target = nullptr;
        double weight = 0; ///< rendezvous weight of the affinity value, or a random number
        double loadPerSlot = 0;
    };

    [[nodiscard]] std::map<std::string, double> wantedParts(
        const std::map<std::string, double>& slots, const std::map<std::string, double>& demand) const;
    [[nodiscard]] std::string chooseRegion(const Placement& placement, std::uint64_t affinityHash);
    [[nodiscard]] std::vector<Candidate> collect(
        TargetTable& targets, const Placement& placement, std::uint64_t affinityHash, TimePoint now);
    [[nodiscard]] Target* tryEjected(TargetTable& targets, const Placement& placement, TimePoint now);

    std::string m_region;
    Bounds m_bounds;
    Random m_random;
    std::map<std::string, RegionSplit> m_splits;
    std::optional<TimePoint> m_firstSplitAt;
};

} // namespace arbutuscrank::entry
