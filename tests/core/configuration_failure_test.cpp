#include <fakes/fleet.hpp>

#include <gtest/gtest.h>

#include <cstdio>

using namespace arbutuscrank;
using fakes::Fleet;
using namespace std::chrono_literals;

namespace {

constexpr Duration inForceBound = 9s; ///< section 1.7 of docs/design.md

std::size_t keyedAllowed(const Fleet& fleet, std::string_view region = {})
{
    std::size_t n = 0;
    for (const auto& it : fleet.nodes) {
        n += it.alive && (region.empty() || it.state.self.region == region)
                && configuration::keyedRequestsAllowed(it.state, fleet.now)
            ? 1
            : 0;
    }
    return n;
}

// Guards against a change that stays unknown when the daemons that would push it die at that moment.
TEST(ConfigurationFailure, RelaysKilledAtTheChange)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        Fleet fleet(seed, 3, 2, 4);
        fleet.publish();
        fleet.run(10s);
        ASSERT_EQ(fleet.behind(), 0U);
        fleet.publish();
        fleet.run(Duration(static_cast<std::int64_t>(fleet.random.below(60'000))));
        for (std::size_t n = 0; n < fleet.nodes.size(); ++n) {
            if (membership::isRelay(fleet.nodes[n].state, fleet.nodes[n].state.self.process.vm))
                fleet.crash(n);
        }
        fleet.run(inForceBound);
        EXPECT_EQ(fleet.behind(), 0U);
        EXPECT_FALSE(fleet.wentBack);
    }
}

// Guards against versions that go back or never arrive in any mix of store, network and process faults.
TEST(ConfigurationFailure, RandomFaultsThenNewestEverywhere)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        Fleet fleet(seed, 3, 2, 4);
        fleet.publish();
        fleet.run(8s);
        auto& random = fleet.random;
        for (int step = 0; step < 15; ++step) {
            const auto n = random.below(fleet.nodes.size());
            switch (random.below(8)) {
            case 0:
                fleet.store.down = !fleet.store.down;
                break;
            case 1:
                fleet.store.lostAnswers = 0.3;
                fleet.store.staleAnswers = 0.3;
                fleet.store.garbageAnswers = 0.3;
                break;
            case 2:
                fleet.cut("r0", "r" + std::to_string(1 + random.below(2)));
                break;
            case 3:
                fleet.crash(n);
                break;
            case 4:
                fleet.restart(n);
                break;
            case 5:
                fleet.pause(n, std::chrono::seconds(1 + random.below(10)));
                break;
            case 6:
                fleet.loss = 0.2;
                fleet.store.delay = 400ms;
                break;
            default:
                fleet.publish();
            }
            fleet.run(Duration(static_cast<std::int64_t>(random.below(3'000'000))));
        }
        fleet.store = {};
        fleet.loss = 0;
        fleet.cutLinks.clear();
        for (auto& it : fleet.nodes)
            it.pausedUntil = {};
        fleet.publish();
        fleet.run(inForceBound);
        EXPECT_EQ(fleet.behind(), 0U);
        EXPECT_FALSE(fleet.wentBack);
    }
}

// Guards against a store outage that ends service, and against evidence that goes round among peers for ever.
TEST(ConfigurationFailure, StoreDownKeepsServingAndLooksStale)
{
    Fleet fleet(7, 3, 2, 4);
    fleet.publish();
    fleet.run(10s);
    fleet.store.down = true;
    for (int second = 0; second < 60; ++second) {
        fleet.run(1s);
        EXPECT_EQ(keyedAllowed(fleet), fleet.nodes.size()) << "second " << second;
    }
    for (const auto& it : fleet.nodes)
        EXPECT_GT(*configuration::staleness(it.state, fleet.now), 55s) << it.state.self.process.vm;
}

// Guards against a region that serves withdrawn keys after it was cut off.
TEST(ConfigurationFailure, IsolatedRegionWithoutStoreRefuses)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        Fleet fleet(seed, 3, 2, 4);
        fleet.publish();
        fleet.run(10s);
        fleet.isolate("r2");
        fleet.store.cutRegions = { "r2" };
        fleet.run(configuration::stalenessBound + membership::suspicionTime);
        EXPECT_EQ(keyedAllowed(fleet, "r2"), 0U);
        EXPECT_EQ(keyedAllowed(fleet), 16U);
        const auto version = fleet.publish();
        fleet.cutLinks.clear();
        fleet.run(inForceBound);
        EXPECT_EQ(keyedAllowed(fleet, "r2"), 8U) << "the store is out of reach, other regions are not";
        EXPECT_EQ(configuration::version(fleet.nodes.back().state), version);
    }
}

// Guards against a process that resumes and serves on evidence from before its pause.
TEST(ConfigurationFailure, PausedProcessDoesNotTrustOldEvidence)
{
    Fleet fleet(3, 3, 2, 4);
    fleet.publish();
    fleet.run(10s);
    fleet.pause(23, 20s);
    fleet.run(10s);
    fleet.isolate("r2");
    fleet.store.cutRegions = { "r2" };
    fleet.run(10s);
    std::size_t events = 0;
    fleet.run(1s, [&](Fleet::Node& node) {
        if (&node != &fleet.nodes[23])
            return;
        ++events;
        EXPECT_FALSE(configuration::keyedRequestsAllowed(node.state, fleet.now)) << "event " << events;
    });
    EXPECT_GT(events, 10U);
}

// Guards against a start that waits for the store although peers have the configuration, and the reverse.
TEST(ConfigurationFailure, StartsFromPeersOrStoreAlone)
{
    Fleet fleet(5, 3, 2, 4);
    fleet.publish();
    fleet.run(10s);
    fleet.store.down = true;
    fleet.crash(4);
    fleet.run(1s);
    fleet.restart(4);
    fleet.store.down = false; // the VM list is behind the same address; the manifest is not answered
    fleet.store.lostAnswers = 1;
    fleet.run(inForceBound);
    EXPECT_EQ(fleet.behind(), 0U);
    Fleet alone(6, 1, 1, 1);
    alone.publish();
    alone.run(inForceBound);
    EXPECT_EQ(alone.behind(), 0U);
}

} // namespace
