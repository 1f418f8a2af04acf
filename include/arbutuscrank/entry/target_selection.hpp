#pragma once

#include <arbutuscrank/core/random.hpp>
#include <arbutuscrank/entry/settings.hpp>
#include <arbutuscrank/entry/targets.hpp>
#include <arbutuscrank/entry/traffic_policy.hpp>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Selects the target of each attempt by region, affinity and load.

namespace arbutuscrank::entry {

/// \brief Class of routes that can wait about equally long for an answer. Requests of a greater class leave a full
/// region first.
/// \returns twice the binary logarithm of the objective in milliseconds, rounded down, so that few classes exist; the
/// greatest class if there is no objective
[[nodiscard]] std::uint32_t slackClass(Duration latencyObjective) noexcept;

/// \brief Least latency objective of a class in milliseconds; std::nullopt for the class without objectives.
[[nodiscard]] std::optional<std::uint32_t> leastObjectiveMs(std::uint32_t slackClass) noexcept;

/// \brief Criteria for the selection of a target.
struct Placement {
    std::string service;
    /// Affinity value: requests with equal values prefer the same target; empty means no preference
    std::string_view affinity;
    const std::vector<std::string>* routeRegions = nullptr; ///< regions that the route allows; empty or null means all
    /// Regions that the account allows; empty or null means all
    const std::vector<std::string>* accountRegions = nullptr;
    const std::vector<std::string>* excludedTargets = nullptr; ///< IDs of targets to exclude
    bool idempotent = false; ///< only idempotent requests are used as trials of ejected targets
    std::uint32_t slackClass = 0; ///< see \ref slackClass
    double maxLoad = 1; ///< load per slot up to which a target is used; above 1 requests queue at the target
};

/// \brief Why no target was chosen.
enum class NoTargetReason {
    NoneInService, ///< no target of the service is in service, in an allowed region and not excluded
    /// Targets are in service, but each one that was considered is unreachable, at its load limit, paused, or out of
    /// tokens of its limited rate
    NoneAvailable,
};

/// \brief A chosen target, or the reason why there is none.
struct TargetChoice {
    Target* target = nullptr;
    bool isTrial = false; ///< the target is ejected and the request tests it
    NoTargetReason reason = NoTargetReason::NoneInService;
};

/// \brief Requests per second by service and region of the callers.
using DemandByRegion = std::map<std::string, std::map<std::string, double>>;

/// \brief Part of the demand that is restricted to a single region: requests per second by service, region of the
/// callers and region that serves them.
using RestrictedDemand = std::map<std::string, std::map<std::string, std::map<std::string, double, std::less<>>>>;

/// \brief Part of the demand of this VM's region that this region and another one may serve: requests per second by
/// service and \ref slackClass.
using MovableDemand = std::map<std::string, std::map<std::uint32_t, double>>;

/// \brief Split of this region's requests for one service among regions.
///
/// A fraction of the affinity values stays in the region where the requests arrive. The others are spread over the
/// regions with spare capacity.
struct RegionSplit {
    /// Fraction of the affinity values by region, including this VM's; the sum is 1
    std::map<std::string, double> fractions;
    /// Fraction of the affinity values of a slack class by region; for each class, the sum is 1. Classes with less
    /// slack stay in this VM's region first. Over all classes, the fractions are close to \ref fractions, which apply
    /// to classes without reported demand.
    std::map<std::uint32_t, std::map<std::string, double>> fractionsByClass;
    /// Fraction of the affinity values that this VM's region may not serve, by region; the sum is 1 unless only this
    /// VM's region has targets
    std::map<std::string, double> elsewhere;
    /// Regions of which other regions' callers use a large part, because no other region may serve their requests.
    /// Such a region serves the objects of callers of all regions, so that an object gets one target there.
    std::set<std::string> sharedRegions;
    TimePoint updatedAt {};
};

/// \brief Selects targets for attempts.
class TargetSelection {
public:
    TargetSelection(std::string region, const Bounds& bounds, std::uint64_t seed)
        : m_region(std::move(region))
        , m_bounds(bounds)
        , m_random(seed)
    {
    }

    /// \brief Selects a target. The calling code must count the attempt in \ref Target::inFlight.
    [[nodiscard]] TargetChoice choose(TargetTable& targets, const Placement& placement, TimePoint now);

    /// \brief Whether the split follows the demand immediately, because this VM has just started.
    [[nodiscard]] bool isStarting(TimePoint now) const noexcept;

    /// \brief Recomputes the split of each service from demand and slots.
    /// \param demand summed over all VMs
    /// \param restricted part of \p demand that only one region may serve
    void updateSplits(const TargetTable& targets, const DemandByRegion& demand, const RestrictedDemand& restricted,
        const MovableDemand& movable, TimePoint now);

    [[nodiscard]] const std::map<std::string, RegionSplit>& splits() const noexcept { return m_splits; }

private:
    struct Candidate {
        Target* target = nullptr;
        double weight = 0; ///< rendezvous hashing weight for the affinity value, or a random number without affinity
        double loadPerSlot = 0;
    };

    /// Demand for one service.
    struct UnrestrictedDemand {
        std::map<std::string, double> perSecond; ///< that any region may serve, by region of the callers
        std::map<std::string, double> restrictedTo; ///< that is restricted to a region, by that region
        std::map<std::string, double> fromElsewhere; ///< part of \ref restrictedTo from callers of other regions

        /// Takes a region's restricted requests out of \ref perSecond. \param slots by region with targets
        void subtract(const std::string& callers, const std::map<std::string, double, std::less<>>& restricted,
            const std::map<std::string, double>& slots);
        /// Sum of \ref perSecond; 0 if it is too small to be reported
        [[nodiscard]] double total() const;
        /// Unrestricted demand of a region's callers, or a fraction if nothing is reported.
        /// \param regions number of regions with targets
        [[nodiscard]] double of(const std::string& region, std::size_t regions) const;
        /// Unrestricted demand that a region serves before its own callers' requests leave it, in the unit of \ref of.
        /// \param slotFraction the region's fraction of all slots
        [[nodiscard]] double fairPart(const std::string& region, double slotFraction) const;
    };

    [[nodiscard]] static std::set<std::string> sharedRegions(const std::map<std::string, double>& slots,
        const UnrestrictedDemand& demand, const std::set<std::string>& before);
    /// Spare capacity of the other regions as fractions of its sum.
    [[nodiscard]] std::map<std::string, double> spareFractions(
        const std::map<std::string, double>& slots, const UnrestrictedDemand& demand) const;
    [[nodiscard]] std::map<std::string, double> desiredFractions(const std::map<std::string, double>& slots,
        const UnrestrictedDemand& demand, const std::map<std::string, double>& spare) const;
    [[nodiscard]] static const Candidate* leastLoaded(std::span<const Candidate> candidates, double maxLoad);
    /// \param candidates in rendezvous order
    [[nodiscard]] const Candidate* chooseByAffinity(
        std::span<const Candidate> candidates, const std::string& service, double maxLoad) const;
    [[nodiscard]] std::string chooseRegion(const Placement& placement, std::uint64_t affinityHash);
    [[nodiscard]] std::vector<Candidate> collectCandidates(
        TargetTable& targets, const Placement& placement, std::uint64_t affinityHash, TimePoint now);
    [[nodiscard]] Target* findTrialTarget(TargetTable& targets, const Placement& placement, TimePoint now);

    std::string m_region;
    Bounds m_bounds;
    Random m_random;
    std::map<std::string, RegionSplit> m_splits;
    std::optional<TimePoint> m_firstSplitAt;
};

} // namespace arbutuscrank::entry
