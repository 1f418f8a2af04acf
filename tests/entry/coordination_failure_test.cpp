#include "entry/fleet_harness.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace arbutuscrank::entry::test {

namespace {

    using Vms = std::vector<VmId>;

    TrafficPolicy policyWithQuota(double rate, double burst)
    {
        auto policy = makePolicy();
        policy.accounts.front().ratePerSecond = rate;
        policy.accounts.front().burst = burst;
        return policy;
    }

    double maxAdmitted(double rate, double burst)
    {
        const Bounds bounds;
        const double window = std::chrono::duration<double>(bounds.quotaWindow).count();
        return (rate * window + burst) * (1 + bounds.quotaOverage) + bounds.quotaSlack;
    }

    std::size_t maxCountInWindow(const std::vector<TimePoint>& times, Duration window)
    {
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] >= window)
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }

} // namespace

// Guards against several coordinators in a failure domain, and against VMs whose status does not reach all others.
TEST(CoordinationFailure, EachFailureDomainHasOneCoordinatorAndSeesAllVms)
{
    Fleet fleet({ 3, 3 }, makePolicy());
    fleet.run(seconds(3));
    EXPECT_EQ(fleet.coordinators("a"), (Vms { "a1" }));
    EXPECT_EQ(fleet.coordinators("b"), (Vms { "b1" }));
    for (const auto& [vm, member] : fleet.at("a3").members.others())
        EXPECT_TRUE(MemberTable::isResponsive(member, fleet.now) && member.ready) << vm;
}

// Guards against a failure domain that admits no keyed requests after its coordinator has crashed.
TEST(CoordinationFailure, NextVmTakesOverFromACrashedCoordinator)
{
    Fleet fleet({ 4, 2 }, makePolicy());
    fleet.run(seconds(3));
    fleet.kill("a1");
    fleet.run(milliseconds(1100));
    EXPECT_EQ(fleet.coordinators("a"), (Vms { "a2" }));
    fleet.run(seconds(2)); // the new coordinator recomputes the shares of the account
    const auto refusalsBefore = fleet.refusalsByStatus;
    fleet.run(seconds(2), 50);
    EXPECT_EQ(fleet.refusalsByStatus, refusalsBefore);
    fleet.start("a1");
    fleet.run(seconds(2));
    EXPECT_EQ(fleet.coordinators("a"), (Vms { "a1" }));
}

// Guards against requests that are held indefinitely after the coordinator has crashed. They are refused as not run
// after the last admission request has timed out.
TEST(CoordinationFailure, RequestsAreRefusedIfNoCoordinatorAnswers)
{
    Fleet fleet({ 2 }, makePolicy());
    fleet.run(seconds(3));
    fleet.kill("a1");
    fleet.run(milliseconds(20), 500);
    const auto sentRequests = fleet.requestCount;
    ASSERT_GT(sentRequests, 0U);
    fleet.run(milliseconds(250));
    EXPECT_EQ(fleet.refusalsByStatus[503], sentRequests);
}

// Guards against a coordinator that sends heartbeats but receives nothing: the other VMs follow it, and their admission
// requests are lost.
TEST(CoordinationFailure, CoordinatorThatReceivesNoReportsStepsDown)
{
    Coordination coordination({ .process = { "a1", 1 }, .failureDomain = "a", .capacity = 2 });
    MemberTable members({ .process = { "a1", 1 }, .failureDomain = "a", .capacity = 2 });
    TimePoint now { seconds(100) };
    members.applySnapshot({ { .process = { "a2", 0 }, .failureDomain = "a", .capacity = 1 } }, now);
    EXPECT_TRUE(coordination.update(members, now));
    coordination.recordReport(now);
    now += milliseconds(1000);
    EXPECT_FALSE(coordination.update(members, now));
    EXPECT_FALSE(coordination.isCoordinator());
    now += milliseconds(200);
    coordination.recordHeartbeat("a2", false, now);
    EXPECT_FALSE(coordination.update(members, now));
    EXPECT_EQ(coordination.followedCoordinator(), "a2");
    now += seconds(4);
    EXPECT_TRUE(coordination.update(members, now));
}

// Guards against two coordinators that admit requests from the same share. A coordinator whose heartbeats are lost
// steps down when it receives those of the VM that has replaced it.
TEST(CoordinationFailure, CoordinatorWhoseHeartbeatsAreLostStepsDown)
{
    Fleet fleet({ 3, 2 }, makePolicy());
    fleet.run(seconds(3));
    fleet.setOutgoingBlocked("a1");
    fleet.run(milliseconds(1600));
    EXPECT_EQ(fleet.coordinators("a"), (Vms { "a2" }));
    fleet.setOutgoingBlocked("a1", false);
    fleet.run(seconds(4));
    EXPECT_EQ(fleet.coordinators("a"), (Vms { "a1" }));
}

// Guards against a coordinator that keeps its role while it shuts down: its failure domain would have no coordinator
// for a while when the process ends.
TEST(CoordinationFailure, AStoppingCoordinatorIsReplaced)
{
    Fleet fleet({ 3 }, makePolicy());
    fleet.run(seconds(3));
    auto& stopping = fleet.at("a1");
    std::vector<EntryEffect> effects;
    reduce(stopping, StopRequested {}, fleet.now, effects);
    fleet.run(milliseconds(900));
    EXPECT_EQ(fleet.at("a3").coordination.followedCoordinator(), "a2");
}

// Guards against an account that exceeds its quota while coordinators crash, restart, cannot send, or lose datagrams.
RC_GTEST_PROP(CoordinationFailure, KeepsToTheQuotaWhileCoordinatorsChange, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const double rate = *rc::gen::inRange(20, 120);
    Fleet fleet({ 3, 3, 2 }, policyWithQuota(rate, rate), seed);
    fleet.run(seconds(4), rate / 2);
    for (int i = 0; i < 3; ++i) {
        const VmId vm = *rc::gen::element<std::string>("a1", "b1", "b2", "c1");
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            fleet.kill(vm);
            fleet.run(seconds(3), rate * 4);
            fleet.start(vm);
            break;
        case 1:
            fleet.setOutgoingBlocked(vm);
            fleet.run(seconds(3), rate * 4);
            fleet.setOutgoingBlocked(vm, false);
            break;
        default:
            fleet.setLossRate(0.1);
            fleet.run(seconds(3), rate * 4);
            fleet.setLossRate(0);
            break;
        }
        fleet.run(seconds(2), rate * 2);
    }
    RC_ASSERT(
        static_cast<double>(maxCountInWindow(fleet.admissionTimes, Bounds {}.quotaWindow)) <= maxAdmitted(rate, rate));
}

} // namespace arbutuscrank::entry::test
