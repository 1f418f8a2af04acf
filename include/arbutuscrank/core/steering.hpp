#pragma once

#include <arbutuscrank/core/context.hpp>
#include <arbutuscrank/core/forward.hpp>
#include <arbutuscrank/core/lookup_table.hpp>
#include <arbutuscrank/core/plan.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \file
/// \brief Topic "steering": choice of region, planned shifts of traffic between regions, and the look-up table (section
/// 11 of docs/design.md).

namespace arbutuscrank {

/// \brief Slots that the owners of a region reported for one service. Reports from other regions arrive through their
/// relays only.
struct RegionLoad {
    std::uint32_t slots = 0;
    std::uint32_t busy = 0; ///< requests in flight and queued

    [[nodiscard]] std::uint32_t freeSlots() const noexcept { return slots > busy ? slots - busy : 0; }
};

/// \brief Kind of the outstanding store call for the plan. A watch may be outstanding at the same time.
enum class PlanCall : std::uint8_t { None, Read, Write };

/// \brief State of the topic; written only by the functions below.
struct SteeringState {
    // Look-up table
    std::shared_ptr<const LookupTable> table; ///< last published table
    std::shared_ptr<const ClientMap> clients;
    std::uint64_t clientsFingerprint = 0;
    std::shared_ptr<const HolderIndex> holders;
    std::map<std::string, std::vector<VmId>, std::less<>> accountHolders; ///< source of \ref holders
    std::size_t holderCursor = 0; ///< index in the document's accounts of the next holder check
    bool holdersChanged = false;
    bool isPublicationPending = false; ///< a change is delayed by the publication rate limit
    TimePoint nextTableCheck;
    /// Token bucket of publications, stored as a time. The bucket holds one token for each
    /// \ref steering::publishInterval since this time, at most \ref steering::publishBurst. Each publication takes one
    /// token by moving the time forward by one interval.
    TimePoint publishTokensCountedFrom = TimePoint::min();

    // Plan
    Plan plan; ///< plan of the highest known version
    ObjectVersion planObjectVersion = 0; ///< version of the store object at the last read or write
    /// Whether the planner may write without reading the plan first. True after an answer of the store, even if the
    /// stored plan is missing, unreadable or older than \ref plan. False at the start, when this daemon becomes the
    /// planner, after a write that failed or that another write has already replaced, after a read or write without an
    /// answer, and after the answer of a watch that arrives while a write is outstanding.
    bool isPlanCurrent = false;
    PlanCall planCall = PlanCall::None;
    StoreToken planToken = 0; ///< of the outstanding read or write
    TimePoint planCallStartedAt;
    Plan pendingPlan; ///< plan of the outstanding write
    StoreToken watchToken = 0; ///< of the outstanding watch; 0 if there is none
    TimePoint watchOpenedAt;
    TimePoint nextWatch;
    TimePoint nextPlanCall;
    std::uint64_t lastTokenNumber = 0;
    bool hasPlannerRole = false;
    bool storeFailing = false; ///< the last call failed, and this was logged
    std::map<std::string, TimePoint, std::less<>> steppedAt; ///< when each shift's current percentage was first seen
    TimePoint planWrittenAt; ///< time of the last successful write of the plan
    TimePoint nextPlannerCheck;

    // Loads
    std::map<std::string, std::map<std::string, RegionLoad, std::less<>>, std::less<>> loads; ///< by service and region
    TimePoint nextLoadRefresh;
};

namespace steering {

    /// The look-up table is published at most once per interval on average.
    inline constexpr Duration publishInterval = std::chrono::milliseconds(250);
    /// Publications that may follow each other without a delay after an idle time.
    inline constexpr int publishBurst = 4;
    /// Time between comparisons of the table with the members. They detect changes that raise no event, such as a
    /// new address.
    inline constexpr Duration tableCheckInterval = std::chrono::seconds(1);
    /// Accounts whose quota holders are compared per tick. 100,000 accounts take 20 s at 20 ticks a second.
    inline constexpr std::size_t holderChecksPerTick = 250;
    /// Time between reads of the plan by an entry in the source region of a shift.
    inline constexpr Duration planReadInterval = std::chrono::seconds(5);
    /// Delay before the next store call after a failed one.
    inline constexpr Duration planRetryInterval = std::chrono::seconds(2);
    /// Time after which a read or write without an answer counts as lost. The platform's client normally times out
    /// earlier and reports the failure.
    inline constexpr Duration planCallTimeout = std::chrono::seconds(15);
    /// Time after which a watch without an answer counts as lost. The platform's client normally times out earlier.
    inline constexpr Duration planWatchTimeout = std::chrono::seconds(120);
    /// Shortest time from a write of the plan to a later write that changes only weights.
    inline constexpr Duration weightWriteInterval = std::chrono::seconds(10);
    /// Smallest change of a weight that causes a write.
    inline constexpr std::uint32_t minWeightChangeThousandths = 100;
    /// Time between evaluations of the planner role and of the next steps of the shifts.
    inline constexpr Duration plannerInterval = std::chrono::seconds(1);
    /// Percentage of the destination region's slots that must be free for a shift to grow. A step moves up to
    /// Shift::stepPercent of the source region's traffic and load reports are up to 1 s old, or 2 s in large fleets, so
    /// a region that is already full could be overloaded by the step.
    inline constexpr std::uint32_t shiftReservePercent = 20;
    /// Time between updates of \ref SteeringState::loads. Heartbeats carry reports every one or two seconds.
    inline constexpr Duration loadRefreshInterval = std::chrono::milliseconds(200);
    /// Expected answer size in bytes if the service configures none.
    inline constexpr std::uint64_t defaultAnswerBytes = 64UL * 1024;

    /// \brief A region where a request may run, and the quotas that it must be granted first.
    struct RegionChoice {
        std::string region;
        std::vector<std::pair<std::string, MicroTokens>> quotas; ///< quota key and tokens; empty for the own region
    };

    /// \brief Regions for a request, best first. The own region is included unless it is drained. For a service that
    /// the document does not contain, it is the only choice, even if it is drained. The caller skips a choice whose
    /// quotas refuse, so that a request beyond a shift's cap stays in its own region.
    ///
    /// The link quota is charged for the direction from the serving region to the own region, `linkKey(serving, own)`,
    /// by the expected size of the answer. Answers such as firmware bundles fill links, while requests are small.
    /// \param account not used
    [[nodiscard]] std::vector<RegionChoice> chooseRegions(
        State& state, std::string_view service, std::string_view account, Context& context);

    /// \brief Whether this daemon is the planner: the first in rendezvous order among the active members that it hears.
    /// Two daemons may both consider themselves the planner for a while; compare-and-set writes to the store prevent
    /// either from overwriting the other's plan unseen.
    [[nodiscard]] bool isPlanner(const State& state);

    void onTick(State& state, Context& context);
    void onConfigurationApplied(State& state, const ConfigurationApplied& event, Context& context);
    void onMemberChanged(State& state, const MemberChanged& event, Context& context);
    void onObjectRead(State& state, const ObjectRead& event, Context& context);
    void onObjectWritten(State& state, const ObjectWritten& event, Context& context);
    void onStoreCallFailed(State& state, const StoreCallFailed& event, Context& context);

} // namespace steering

} // namespace arbutuscrank
