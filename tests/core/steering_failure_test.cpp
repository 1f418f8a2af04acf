#include "core/steering_harness.hpp"

#include <algorithm>
#include <cstdio>

#include <gtest/gtest.h>

namespace arbutuscrank::test {

namespace {

    using std::chrono::seconds;

    class SteeringFailure : public testing::Test {
    protected:
        void SetUp() override
        {
            std::printf("seed %llu\n", static_cast<unsigned long long>(steeringSeed));
            addEntries(fleet, 3, 2);
            fleet.apply(makeShiftDocument());
        }

        /// Expects every written plan version to be higher than the one before.
        void expectIncreasingVersions() const
        {
            for (std::size_t n = 1; n < fleet.plan.planVersions.size(); ++n)
                EXPECT_GT(fleet.plan.planVersions[n], fleet.plan.planVersions[n - 1]);
        }

        /// Percentage of the shift "move" in the stored plan.
        [[nodiscard]] double storedPercent() const
        {
            const auto plan = planFromJson(fleet.plan.value);
            return plan && plan->shifts.contains("move") ? plan->shifts.at("move").percent : 0;
        }

        Fleet fleet;
    };

} // namespace

// Guards against a shift that starts above its first step, grows faster than configured or exceeds its final
// percentage.
TEST_F(SteeringFailure, ShiftGrowsStepByStep)
{
    fleet.run(seconds(15));
    EXPECT_EQ(storedPercent(), 10);
    fleet.run(seconds(30));
    EXPECT_EQ(storedPercent(), 20);
    fleet.run(seconds(200));
    EXPECT_EQ(storedPercent(), 50);
    expectIncreasingVersions();
    const auto* planner = fleet.planner();
    ASSERT_NE(planner, nullptr);
    for (std::size_t n = 1; n < planner->steps.size(); ++n) {
        EXPECT_GE(planner->steps[n].first - planner->steps[n - 1].first, seconds(30));
        EXPECT_EQ(planner->steps[n].second - planner->steps[n - 1].second, 10);
    }
    for (const auto& it : fleet.daemons) {
        if (it->state.self.region == "north") {
            EXPECT_EQ(Fleet::percentOf(*it), 50) << it->state.self.process.vm;
        }
    }
}

// Guards against a new planner that restarts a shift, skips a step or steps too early.
TEST_F(SteeringFailure, NewPlannerContinuesFromStoredProgress)
{
    fleet.run(seconds(50));
    ASSERT_EQ(storedPercent(), 20);
    auto* formerPlanner = fleet.planner();
    ASSERT_NE(formerPlanner, nullptr);
    formerPlanner->alive = false;
    fleet.run(seconds(10));
    EXPECT_EQ(storedPercent(), 20);
    ASSERT_NE(fleet.planner(), nullptr);
    ASSERT_NE(fleet.planner(), formerPlanner);
    fleet.run(seconds(60));
    EXPECT_GE(storedPercent(), 30);
    EXPECT_LE(storedPercent(), 40);
    expectIncreasingVersions();
}

// Guards against two planners that each add their own steps: the shift must not grow faster than with one.
TEST_F(SteeringFailure, TwoPlannersStepNoFasterThanOne)
{
    fleet.run(seconds(15));
    ASSERT_EQ(storedPercent(), 10);
    auto* first = fleet.planner();
    ASSERT_NE(first, nullptr);
    for (auto& it : fleet.daemons)
        it->isConnected = it.get() != first;
    // The first planner hears no other member and stays planner in its own view; the others choose a second one. The
    // first sees headroom only if it is in south, because it receives no load report of another region.
    auto before = storedPercent();
    for (int n = 0; n < 8; ++n) {
        fleet.run(seconds(29));
        EXPECT_LE(storedPercent() - before, 10);
        before = storedPercent();
    }
    const auto planners = std::count_if(
        fleet.daemons.begin(), fleet.daemons.end(), [](const auto& it) { return it->state.steering.hasPlannerRole; });
    EXPECT_EQ(planners, 2);
    EXPECT_EQ(storedPercent(), 50);
    expectIncreasingVersions();
}

// Guards against a shift that reverts or grows while the store is down, or makes several steps at once afterwards.
TEST_F(SteeringFailure, ShiftHoldsWhileTheStoreIsDown)
{
    fleet.run(seconds(50));
    ASSERT_EQ(storedPercent(), 20);
    fleet.plan.isDown = true;
    for (int n = 0; n < 10; ++n) {
        fleet.run(seconds(30));
        for (const auto& it : fleet.daemons) {
            if (it->state.self.region == "north") {
                EXPECT_EQ(Fleet::percentOf(*it), 20);
            }
        }
    }
    fleet.plan.isDown = false;
    fleet.run(seconds(10));
    EXPECT_LE(storedPercent(), 30);
    expectIncreasingVersions();
}

// Guards against a step that is repeated because the answer to its write was lost.
TEST_F(SteeringFailure, LostWriteAnswerDoesNotRepeatAStep)
{
    fleet.run(seconds(15));
    fleet.plan.loseNextAnswer = true;
    fleet.run(seconds(35));
    EXPECT_EQ(storedPercent(), 20);
    EXPECT_FALSE(fleet.plan.loseNextAnswer);
    expectIncreasingVersions();
}

// Guards against moving more traffic into a region without enough free slots.
TEST_F(SteeringFailure, ShiftHoldsWithoutHeadroom)
{
    fleet.run(seconds(15));
    ASSERT_EQ(storedPercent(), 10);
    for (auto& it : fleet.daemons)
        it->inFlight = it->state.self.region == "south" ? 9 : 0; // 10% free, below the reserve of 20%
    fleet.run(seconds(120));
    EXPECT_EQ(storedPercent(), 10);
    for (auto& it : fleet.daemons)
        it->inFlight = 0;
    fleet.run(seconds(25)); // one step is overdue; the step after it follows 30 s later
    EXPECT_EQ(storedPercent(), 20);
    fleet.run(seconds(30));
    EXPECT_EQ(storedPercent(), 30);
}

// Guards against a removed shift that stays in the plan, and against a shift of the same name that inherits its
// progress.
TEST_F(SteeringFailure, RemovedShiftLeavesThePlan)
{
    fleet.run(seconds(50));
    ASSERT_EQ(storedPercent(), 20);
    auto document = makeShiftDocument();
    document.shifts[0].to = "west";
    fleet.apply(document);
    fleet.run(seconds(3));
    EXPECT_EQ(storedPercent(), 0);
    document.shifts.clear();
    fleet.apply(document);
    fleet.run(seconds(3));
    EXPECT_TRUE(planFromJson(fleet.plan.value)->shifts.empty());
    expectIncreasingVersions();
}

// Guards against a look-up that returns the region of a drained site, or a leaving entry, while the store is down.
TEST_F(SteeringFailure, DrainAndLeavingTakeEffectWithoutTheStore)
{
    auto document = makeShiftDocument();
    document.steering.sites = { { "site-s", "south" }, { "site-n", "north" } };
    document.steering.groups = { { "g", { "site-s", "site-n" } } };
    document.steering.blocks = { { "10.0.0.0/8", "g" } };
    fleet.apply(document);
    fleet.run(seconds(5));
    auto& entry = *fleet.daemons[0];
    const auto first = [&entry] { return entry.published.back()->lookup(0x0a000001, {}, 3).at(0)->region; };
    EXPECT_EQ(first(), "south");
    fleet.plan.isDown = true;
    const auto clients = entry.published.back()->content().clients;
    document.drains = { { DrainKind::Site, "site-s" } };
    fleet.apply(document);
    EXPECT_EQ(first(), "north");
    EXPECT_EQ(entry.published.back()->content().clients, clients); // successive tables share the client map

    auto leaving = membership::selfMember(fleet.daemons[1]->state);
    leaving.leaving = true;
    Heartbeat message;
    message.sender = leaving;
    fleet.now += seconds(1);
    fleet.deliver(entry, PeerMessageReceived { leaving.process, message });
    for (std::uint32_t client = 0x0a000000; client < 0x0a000100; ++client) {
        for (const auto* it : entry.published.back()->lookup(client, {}, 10))
            EXPECT_NE(it->vm, "n1");
    }
}

// Guards against a moved request that needs no token of its shift, so that the shift could exceed its cap, and against
// a request that cannot stay in its own region if it gets no token. 20 entries with plans of different age share one
// simulated token bucket.
TEST_F(SteeringFailure, EveryMovedRequestNeedsATokenWhateverThePlan)
{
    Fleet largeFleet;
    addEntries(largeFleet, 20, 0);
    auto document = makeShiftDocument();
    document.shifts[0].percent = 100;
    largeFleet.apply(document);
    for (std::size_t n = 0; n < 20; ++n)
        largeFleet.daemons[n]->state.steering.plan.shifts["move"]
            = { "kitty", "north", "south", static_cast<double>(n % 11) * 10 };
    const double cap = 20; // requests/s, and the burst of the simulated quota
    double tokens = cap;
    std::vector<int> movedAt; // in ms
    std::size_t stayed = 0;
    Random random(steeringSeed);
    Outbox outbox;
    for (int ms = 0; ms < 10'000; ++ms) {
        tokens = std::min(cap, tokens + cap / 1000);
        auto& daemon = *largeFleet.daemons[random.below(20)];
        Context context { largeFleet.now + std::chrono::milliseconds(ms), outbox };
        for (const auto& choice : steering::chooseRegions(daemon.state, "kitty", "acme", context)) {
            if (choice.region == "north") {
                ++stayed;
                break;
            }
            ASSERT_FALSE(choice.quotas.empty());
            ASSERT_EQ(choice.quotas[0], std::make_pair(quota::shiftKey("move"), oneToken));
            if (tokens >= 1) {
                tokens -= 1;
                movedAt.push_back(ms);
                break;
            }
        }
    }
    EXPECT_EQ(stayed + movedAt.size(), 10'000U);
    EXPECT_GE(movedAt.size(), 200U); // the cap was reached, so requests were refused
    for (std::size_t a = 0; a < movedAt.size(); ++a) {
        for (std::size_t b = a; b < movedAt.size(); ++b)
            ASSERT_LE(static_cast<double>(b - a + 1), cap * (movedAt[b] - movedAt[a]) / 1000 + cap + 1e-6);
    }
}

} // namespace arbutuscrank::test
