#include "entry/fleet_harness.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace arbutuscrank::entry::test {

namespace {

    /// Requests per second of the whole fleet. Each of the three targets gets a third, more than it may get while cold.
    constexpr double requestsPerSecond = 75;
    /// Time for which a target of the fleet's policy is cold.
    constexpr Duration coldTime = seconds(3);
    /// Longest time until a target's entry in the store says that it is cold.
    constexpr Duration untilHeartbeat = milliseconds(1500);

    TargetRecord makeColdTarget(const std::string& id)
    {
        auto record = makeTarget(id);
        record.coldRemaining = coldTime;
        return record;
    }

    /// Requests that the bounds allow within a second to a cold target of the fleet's policy, from all VMs together.
    double allowedRequests()
    {
        const auto bounds = makeSettings().bounds;
        return makePolicy().services.front().coldRate * bounds.coldRateFactor + bounds.coldSlack;
    }

    /// Largest number of requests that a target got within one second that began at \p from or later.
    std::size_t largestSecond(Fleet& fleet, const std::string& target, TimePoint from)
    {
        const auto& times = fleet.sendTimes[target];
        std::size_t largest = 0;
        for (auto first = std::ranges::lower_bound(times, from); first != times.end(); ++first) {
            const auto end = std::lower_bound(first, times.end(), *first + seconds(1));
            largest = std::max(largest, static_cast<std::size_t>(std::distance(first, end)));
        }
        return largest;
    }

} // namespace

// Guards against a flood from VMs that cannot read the store and so do not learn from it that a target is cold.
TEST(ColdTargetFloodFailure, VmsThatCannotReadTheStoreKeepToTheRate)
{
    Fleet fleet({ 4, 4 }, makePolicy());
    fleet.run(seconds(4), requestsPerSecond);
    for (const auto* vm : { "a1", "a3", "a4", "b1", "b2", "b4" })
        fleet.loseStore(vm);
    fleet.run(seconds(2), requestsPerSecond);
    const auto turnedColdAt = fleet.now;
    for (const auto* vm : { "a2", "b3" })
        fleet.raise(vm, TargetChanged { makeColdTarget("t1") });
    fleet.run(coldTime, requestsPerSecond);
    EXPECT_LE(static_cast<double>(largestSecond(fleet, "t1", turnedColdAt)), allowedRequests());
    EXPECT_GT(fleet.sendTimes["t1"].size(), 0U);
}

// Guards against requests from VMs that cannot read the store to targets that are evacuated, and so cold afterwards.
TEST(ColdTargetFloodFailure, VmsThatCannotReadTheStoreLearnOfEvacuations)
{
    Fleet fleet({ 4, 4 }, makePolicy());
    fleet.run(seconds(4), requestsPerSecond);
    for (const auto* vm : { "a1", "a3", "a4", "b1", "b2", "b4" })
        fleet.loseStore(vm);
    const std::set<std::string> evacuated { makeTarget("t1").failureDomain };
    fleet.raise("a2", EvacuationsChanged { { .revision = 7, .failureDomains = evacuated } });
    fleet.run(seconds(1));
    for (const auto* vm : { "a1", "b1", "b4" })
        EXPECT_EQ(fleet.at(vm).targets.evacuated(), evacuated);
    fleet.raise("a1", EvacuationsChanged { { .revision = 6, .failureDomains = {} } });
    EXPECT_EQ(fleet.at("a1").targets.evacuated(), evacuated);
    fleet.raise("a2", EvacuationsChanged { { .revision = 8, .failureDomains = {} } });
    fleet.run(seconds(1));
    for (const auto* vm : { "a1", "b1", "b4" }) {
        EXPECT_TRUE(fleet.at(vm).targets.evacuated().empty());
        EXPECT_TRUE(fleet.at(vm).targets.find("t1")->isCold(fleet.now));
    }
}

// Guards against a flood from VMs that reach neither the store nor enough other VMs to learn that a target is cold.
TEST(ColdTargetFloodFailure, IsolatedVmsKeepToTheRate)
{
    Fleet fleet({ 4, 4 }, makePolicy());
    fleet.run(seconds(4), requestsPerSecond);
    for (const auto* vm : { "a1", "a2", "a3", "a4", "b1", "b2" }) {
        fleet.isolate(vm);
        fleet.loseStore(vm);
    }
    fleet.run(seconds(2), requestsPerSecond);
    const auto turnedColdAt = fleet.now;
    for (const auto* vm : { "b3", "b4" })
        fleet.raise(vm, TargetChanged { makeColdTarget("t1") });
    fleet.run(coldTime, requestsPerSecond);
    EXPECT_LE(static_cast<double>(largestSecond(fleet, "t1", turnedColdAt)), allowedRequests());
}

// Guards against a flood in the second before the calls of a VM that is cut off reach their time-outs.
TEST(ColdTargetFloodFailure, VmsNoticeACutBeforeTheirCallsTimeOut)
{
    constexpr Duration untilNoticed = milliseconds(750);
    constexpr double peakRequestsPerSecond = 150;
    auto policy = makePolicy();
    policy.accounts.front().ratePerSecond = 0; // no request waits for a coordinator
    Fleet fleet({ 4, 4 }, policy);
    fleet.run(seconds(4), peakRequestsPerSecond);
    for (const auto* vm : { "a1", "a2", "a3", "a4", "b1", "b2" }) {
        fleet.isolate(vm);
        fleet.silenceStore(vm);
    }
    fleet.run(untilNoticed, peakRequestsPerSecond);
    const auto turnedColdAt = fleet.now;
    for (const auto* vm : { "b3", "b4" })
        fleet.raise(vm, TargetChanged { makeColdTarget("t1") });
    fleet.run(coldTime, peakRequestsPerSecond);
    EXPECT_LE(static_cast<double>(largestSecond(fleet, "t1", turnedColdAt)), allowedRequests());
}

// Guards against a flood from VMs that are cut off together: they hear each other, and none of them reads the store.
TEST(ColdTargetFloodFailure, VmsThatAreCutOffTogetherKeepToTheRate)
{
    constexpr Duration untilNoticed = seconds(1);
    constexpr double peakRequestsPerSecond = 150;
    auto policy = makePolicy();
    policy.accounts.front().ratePerSecond = 0; // no request waits for a coordinator
    Fleet fleet({ 4, 4, 2 }, policy);
    fleet.run(seconds(4), peakRequestsPerSecond);
    for (const auto* vm : { "c1", "c2" })
        fleet.isolate(vm);
    for (const auto* vm : { "a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4" })
        fleet.silenceStore(vm);
    fleet.run(untilNoticed, peakRequestsPerSecond);
    const auto turnedColdAt = fleet.now;
    for (const auto* vm : { "c1", "c2" })
        fleet.raise(vm, TargetChanged { makeColdTarget("t1") });
    fleet.run(coldTime, peakRequestsPerSecond);
    EXPECT_LE(static_cast<double>(largestSecond(fleet, "t1", turnedColdAt)), allowedRequests());
}

// Guards against a flood after a restart of the whole fleet right at the end of an evacuation: no VM remembers the
// evacuation, and the entries of the targets do not say that they are cold until their next heartbeat.
TEST(ColdTargetFloodFailure, VmsThatHaveJustStartedKeepToTheRate)
{
    const auto vms = { "a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4" };
    const auto targets = { "t1", "t2", "t3" };
    Fleet fleet({ 4, 4 }, makePolicy());
    fleet.run(seconds(4), requestsPerSecond);
    fleet.evacuate({ makeTarget("t1").failureDomain });
    fleet.run(seconds(1), requestsPerSecond);
    fleet.evacuate({});
    for (const auto* vm : vms)
        fleet.start(vm);
    const auto startedAt = fleet.now;
    fleet.run(untilHeartbeat, requestsPerSecond);
    for (const auto* vm : vms) {
        for (const auto* target : targets)
            fleet.raise(vm, TargetChanged { makeColdTarget(target) });
    }
    fleet.run(coldTime - untilHeartbeat, requestsPerSecond);
    for (const auto* target : targets) {
        EXPECT_LE(static_cast<double>(largestSecond(fleet, target, startedAt)), allowedRequests()) << target;
        EXPECT_GT(largestSecond(fleet, target, startedAt), 0U) << target;
    }
}

// Guards against records of evacuations that stay in the store, so that each start of a VM treats targets as cold.
TEST(ColdTargetFloodFailure, RecordOfAnEvacuationIsRemovedOnceItsTargetsAreWarm)
{
    const auto failureDomain = makeTarget("t1").failureDomain;
    Fleet fleet({ 4, 4 }, makePolicy());
    fleet.run(seconds(4));
    EXPECT_TRUE(fleet.evacuationRecords().empty());
    fleet.evacuate({ failureDomain });
    fleet.run(seconds(1));
    EXPECT_EQ(fleet.evacuationRecords(), std::set<std::string> { failureDomain });
    fleet.evacuate({});
    fleet.run(coldTime - seconds(1));
    EXPECT_EQ(fleet.evacuationRecords(), std::set<std::string> { failureDomain });
    fleet.evacuate({ failureDomain });
    fleet.run(coldTime);
    EXPECT_EQ(fleet.evacuationRecords(), std::set<std::string> { failureDomain });
    fleet.evacuate({});
    fleet.run(coldTime + seconds(1));
    EXPECT_TRUE(fleet.evacuationRecords().empty());
    EXPECT_FALSE(fleet.at("a1").targets.find("t1")->isCold(fleet.now));
}

// Guards against a flood of a cold target in a region without VMs, to which every VM of the other regions may send.
TEST(ColdTargetFloodFailure, TargetInARegionWithoutVmsKeepsItsRate)
{
    Fleet fleet({ 4, 4 }, makePolicy());
    for (const auto* vm : { "a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4" })
        fleet.raise(vm, TargetsListed { { makeTarget("t1", "south") } });
    fleet.run(seconds(4), requestsPerSecond);
    const auto turnedColdAt = fleet.now;
    auto record = makeTarget("t1", "south");
    record.coldRemaining = coldTime;
    for (const auto* vm : { "a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4" })
        fleet.raise(vm, TargetChanged { record });
    fleet.run(coldTime, requestsPerSecond);
    EXPECT_LE(static_cast<double>(largestSecond(fleet, "t1", turnedColdAt)), allowedRequests());
    EXPECT_GT(largestSecond(fleet, "t1", turnedColdAt), 0U);
}

} // namespace arbutuscrank::entry::test
