#include "core/steering_harness.hpp"

#include <gtest/gtest.h>

namespace arbutuscrank::test {

namespace {

    using std::chrono::seconds;

    std::vector<steering::RegionChoice> choose(Fleet& fleet)
    {
        Outbox outbox;
        Context context { fleet.now, outbox };
        return steering::chooseRegions(fleet.daemons[0]->state, "kitty", "acme", context);
    }

    const std::vector<std::pair<std::string, MicroTokens>> spillQuotas {
        { quota::spillKey("kitty", "south"), oneToken },
        { quota::linkKey("south", "north"), 65536 * oneToken },
    };

    /// One entry in north, two in south and one in west, without shifts.
    struct SteeringChoices : testing::Test {
        SteeringChoices()
        {
            document.shifts.clear();
            addEntries(fleet, 1, 2);
            fleet.add("w0", "west").slots = 50;
            fleet.apply(document);
            fleet.run(seconds(5));
        }

        Document document = makeShiftDocument();
        Fleet fleet;
    };

} // namespace

// Guards against spill while the own region has free slots.
TEST_F(SteeringChoices, OnlyOwnRegionWhileItHasFreeSlots)
{
    const auto choices = choose(fleet);
    ASSERT_EQ(choices.size(), 1U);
    EXPECT_EQ(choices[0].region, "north");
    EXPECT_TRUE(choices[0].quotas.empty());
}

// Guards against traffic into a drained region, against spill without a grant (west has the most free slots but no
// grant), and against spill that skips a quota.
TEST_F(SteeringChoices, DrainedRegionSpillsOnlyWithAGrant)
{
    document.drains = { { DrainKind::Region, "north" } };
    fleet.apply(document);
    auto choices = choose(fleet);
    ASSERT_EQ(choices.size(), 1U);
    EXPECT_EQ(choices[0].region, "south");
    EXPECT_EQ(choices[0].quotas, spillQuotas);

    document.drains.push_back({ DrainKind::Region, "south" });
    fleet.apply(document);
    EXPECT_TRUE(choose(fleet).empty());
}

// Guards against spill into a region that reports no free slot.
TEST_F(SteeringChoices, FullRegionGetsNoSpill)
{
    document.drains = { { DrainKind::Region, "north" } };
    fleet.apply(document);
    for (auto& it : fleet.daemons)
        it->inFlight = 10;
    fleet.run(seconds(3));
    EXPECT_TRUE(choose(fleet).empty());
}

// Guards against an own region that is left out of the choices because this entry knows of no target in it.
TEST_F(SteeringChoices, OwnRegionWithoutTargetsIsTheLastChoice)
{
    document.services[0].targets.erase(document.services[0].targets.begin());
    fleet.apply(document);
    const auto choices = choose(fleet);
    ASSERT_EQ(choices.size(), 2U);
    EXPECT_EQ(choices[0].region, "south");
    EXPECT_EQ(choices[1].region, "north");
}

// Guards against a moved share of requests that differs from the plan, and a moved request without one of its quotas or
// without its own region as an alternative.
TEST_F(SteeringChoices, ShiftMovesItsShareWithAllQuotas)
{
    document = makeShiftDocument();
    document.services[0].maxAnswerBytes = 1000;
    fleet.apply(document);
    fleet.daemons[0]->state.steering.plan.shifts["move"] = { "kitty", "north", "south", 30 };
    int moved = 0;
    for (int n = 0; n < 10'000; ++n) {
        const auto choices = choose(fleet);
        if (choices.front().region == "north")
            continue;
        ++moved;
        ASSERT_EQ(choices.size(), 2U);
        EXPECT_EQ(choices[1].region, "north");
        const std::vector<std::pair<std::string, MicroTokens>> quotas { { quota::shiftKey("move"), oneToken },
            spillQuotas[0], { quota::linkKey("south", "north"), 1000 * oneToken } };
        EXPECT_EQ(choices[0].quotas, quotas);
    }
    EXPECT_NEAR(moved, 3000, 275); // tolerance of 6 standard deviations

    document.shifts[0].percent = 0; // applies before any planner has written it
    fleet.apply(document);
    for (int n = 0; n < 1000; ++n)
        ASSERT_EQ(choose(fleet).front().region, "north");
}

// Guards against a store load that grows with the fleet: only the planner and entries in the source region of a shift
// read the plan.
TEST_F(SteeringChoices, OnlyThePlannerAndTheSendingRegionReadThePlan)
{
    fleet.apply(makeShiftDocument());
    for (auto& it : fleet.daemons)
        it->reads = 0;
    fleet.run(seconds(60));
    for (const auto& it : fleet.daemons) {
        const bool planner = it.get() == fleet.planner();
        EXPECT_LE(it->reads, planner ? 2U : it->state.self.region == "north" ? 13U : 0U) << it->state.self.process.vm;
        EXPECT_LE(it->writes, planner ? 10U : 0U);
    }
}

// Guards against publications without a change, and against more than 4 at once when many changes follow each other.
TEST_F(SteeringChoices, TableIsPublishedOnlyOnChangeAndAtALimitedRate)
{
    auto& entry = *fleet.daemons[0];
    const auto publishedBefore = entry.published.size();
    fleet.run(seconds(30));
    EXPECT_EQ(entry.published.size(), publishedBefore);
    for (std::uint32_t n = 0; n < 100; ++n) {
        document.steering.lookupTtlSeconds = 10 + n;
        fleet.applyTo(entry, document);
    }
    EXPECT_EQ(entry.published.size(), publishedBefore + 4);
    fleet.run(seconds(1));
    EXPECT_EQ(entry.published.size(), publishedBefore + 5);
    EXPECT_EQ(entry.published.back()->ttlSeconds(), 109U);
}

// Guards against an empty answer when all entries are drained.
TEST_F(SteeringChoices, DrainedEntriesAreReturnedOnlyIfNoOtherIsLeft)
{
    document.drains = { { DrainKind::Vm, "n0" }, { DrainKind::FailureDomain, "south-a" } };
    fleet.run(seconds(2));
    fleet.apply(document);
    auto& entry = *fleet.daemons[0];
    const auto vmsOf = [&entry] {
        std::vector<std::string> vms;
        for (const auto* it : entry.published.back()->lookup(1, {}, 10))
            vms.push_back(it->vm);
        return vms;
    };
    EXPECT_EQ(vmsOf(), std::vector<std::string> { "w0" });
    document.drains.push_back({ DrainKind::Region, "west" });
    fleet.apply(document);
    EXPECT_EQ(vmsOf().size(), 4U);
}

} // namespace arbutuscrank::test
