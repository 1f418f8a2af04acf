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

    double allowed(double rate, double burst)
    {
        const Bounds bounds;
        const double window = std::chrono::duration<double>(bounds.quotaWindow).count();
        return (rate * window + burst) * (1 + bounds.quotaOverage) + bounds.quotaSlack;
    }

    std::size_t mostIn(const std::vector<TimePoint>& times, Duration window)
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

TEST(CoordinationFailure, EachFailureDomainHasOneCoordinatorThatAllHear)
{
    Fleet fleet({ 3, 3 }, makePolicy());
    fleet.run(seconds(3));
    EXPECT_EQ(fleet.coordinators("a"), (Vms { "a1" }));
    EXPECT_EQ(fleet.coordinators("b"), (Vms { "b1" }));
    for (const auto& [vm, member] : fleet.at("a3").members.others())
        EXPECT_TRUE(MemberTable::isResponsive(member, fleet.now) && member.ready) << vm;
}

// Guards against a failure domain that serves no keys after its coordinator has died.
TEST(CoordinationFailure, TheNextVmTakesOverFromADeadCoordinator)
{
    Fleet fleet({ 4, 2 }, makePolicy());
    fleet.run(seconds(3));
    fleet.kill("a1");
    fleet.run(milliseconds(1100));
    EXPECT_EQ(fleet.coordinators("a"), (Vms { "a2" }));
    fleet.run(seconds(2)); // the account's bucket is shared out anew
    const auto refusedBefore = fleet.refused;
    fleet.run(seconds(2), 50);
    EXPECT_EQ(fleet.refused, refusedBefore);
    fleet.start("a1");
    fleet.run(seconds(2));
    EXPECT_EQ(fleet.coordinators("a"), (Vms { "a1" }));
}

// Guards against requests that wait for a coordinator which never answers: they are refused as not run.
TEST(CoordinationFailure, RequestsDoNotWaitForASilentCoordinator)
{
    Fleet fleet({ 2 }, makePolicy());
    fleet.run(seconds(3));
    fleet.kill("a1");
    fleet.run(milliseconds(20), 500);
    const auto asked = fleet.asked;
    ASSERT_GT(asked, 0U);
    fleet.run(milliseconds(250));
    EXPECT_EQ(fleet.refused[503], asked);
}

// Guards against a coordinator that is heard but hears nobody: its failure domain would serve no keys.
TEST(CoordinationFailure, ADeafCoordinatorLetsAnotherTakeOver)
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

// Guards against two coordinators that admit from one share: the one that is not heard gives way.
TEST(CoordinationFailure, ACoordinatorThatIsNotHeardGivesWay)
{
    Fleet fleet({ 3, 2 }, makePolicy());
    fleet.run(seconds(3));
    fleet.mute("a1");
    fleet.run(milliseconds(1600));
    EXPECT_EQ(fleet.coordinators("a"), (Vms { "a2" }));
    fleet.mute("a1", false);
    fleet.run(seconds(4));
    EXPECT_EQ(fleet.coordinators("a"), (Vms { "a1" }));
}

// Guards against a VM that stops and still coordinates: its failure domain would be silent when it ends.
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

// Guards against an account that exceeds its quota while coordinators die, start again, fall silent or lose datagrams.
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
            fleet.mute(vm);
            fleet.run(seconds(3), rate * 4);
            fleet.mute(vm, false);
            break;
        default:
            fleet.setLoss(0.1);
            fleet.run(seconds(3), rate * 4);
            fleet.setLoss(0);
            break;
        }
        fleet.run(seconds(2), rate * 2);
    }
    RC_ASSERT(static_cast<double>(mostIn(fleet.admitted, Bounds {}.quotaWindow)) <= allowed(rate, rate));
}

} // namespace arbutuscrank::entry::test
