#include <fakes/fleet.hpp>

#include <gtest/gtest.h>

#include <cstdio>

using namespace arbutuscrank;
using fakes::Fleet;
using namespace std::chrono_literals;

namespace {

constexpr Duration maxApplyDelay
    = 9s; ///< time within which every daemon applies a change, section 1.7 of docs/design.md

/// Counts the running daemons of a region (empty: of all regions) that serve requests with an API key.
std::size_t countServingKeyedRequests(const Fleet& fleet, std::string_view region = {})
{
    std::size_t n = 0;
    for (const auto& it : fleet.nodes) {
        n += it.isRunning && (region.empty() || it.state.self.region == region)
                && configuration::keyedRequestsAllowed(it.state, fleet.now)
            ? 1
            : 0;
    }
    return n;
}

// Guards against a change that does not reach the fleet because the relays that would push it crash at that moment.
TEST(ConfigurationFailure, ChangeArrivesAlthoughRelaysCrash)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        Fleet fleet(seed, 3, 2, 4);
        fleet.publish();
        fleet.run(10s);
        ASSERT_EQ(fleet.countOutdatedDaemons(), 0U);
        fleet.publish();
        fleet.run(Duration(static_cast<std::int64_t>(fleet.random.below(60'000))));
        for (std::size_t n = 0; n < fleet.nodes.size(); ++n) {
            if (membership::isRelay(fleet.nodes[n].state, fleet.nodes[n].state.self.process.vm))
                fleet.crash(n);
        }
        fleet.run(maxApplyDelay);
        EXPECT_EQ(fleet.countOutdatedDaemons(), 0U);
        EXPECT_FALSE(fleet.hasVersionDecreased);
    }
}

// Guards against versions that decrease or never arrive under random combinations of store, network and process
// faults.
TEST(ConfigurationFailure, NewestVersionIsAppliedEverywhereAfterRandomFaults)
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
                fleet.store.isDown = !fleet.store.isDown;
                break;
            case 1:
                fleet.store.lostAnswerProbability = 0.3;
                fleet.store.staleReadProbability = 0.3;
                fleet.store.invalidReadProbability = 0.3;
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
                fleet.dropProbability = 0.2;
                fleet.store.oneWayDelay = 400ms;
                break;
            default:
                fleet.publish();
            }
            fleet.run(Duration(static_cast<std::int64_t>(random.below(3'000'000))));
        }
        fleet.store = {};
        fleet.dropProbability = 0;
        fleet.cutLinks.clear();
        for (auto& it : fleet.nodes)
            it.pausedUntil = {};
        fleet.publish();
        fleet.run(maxApplyDelay);
        EXPECT_EQ(fleet.countOutdatedDaemons(), 0U);
        EXPECT_FALSE(fleet.hasVersionDecreased);
    }
}

// Guards against a store outage that stops service, and against confirmations that circulate among the peers so that
// the version never looks stale.
TEST(ConfigurationFailure, StoreOutageKeepsServiceAndIncreasesStaleness)
{
    Fleet fleet(7, 3, 2, 4);
    fleet.publish();
    fleet.run(10s);
    fleet.store.isDown = true;
    for (int second = 0; second < 60; ++second) {
        fleet.run(1s);
        EXPECT_EQ(countServingKeyedRequests(fleet), fleet.nodes.size()) << "second " << second;
    }
    for (const auto& it : fleet.nodes)
        EXPECT_GT(*configuration::staleness(it.state, fleet.now), 55s) << it.state.self.process.vm;
}

// Guards against a region that accepts withdrawn keys while it is cut off from the store and the other regions.
TEST(ConfigurationFailure, IsolatedRegionWithoutStoreRefusesKeyedRequests)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        Fleet fleet(seed, 3, 2, 4);
        fleet.publish();
        fleet.run(10s);
        fleet.isolate("r2");
        fleet.store.cutRegions = { "r2" };
        fleet.run(configuration::stalenessBound + membership::suspicionTime);
        EXPECT_EQ(countServingKeyedRequests(fleet, "r2"), 0U);
        EXPECT_EQ(countServingKeyedRequests(fleet), 16U);
        const auto version = fleet.publish();
        fleet.cutLinks.clear();
        fleet.run(maxApplyDelay);
        EXPECT_EQ(countServingKeyedRequests(fleet, "r2"), 8U)
            << "the store is unreachable, but the other regions are reachable";
        EXPECT_EQ(configuration::version(fleet.nodes.back().state), version);
    }
}

// Guards against a process that resumes after a pause and serves keyed requests because of confirmations from before
// the pause.
TEST(ConfigurationFailure, ResumedProcessIgnoresConfirmationsFromBeforeThePause)
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

// Guards against a start that needs the store although peers have the configuration, or needs peers although the store
// has it.
TEST(ConfigurationFailure, StartsFromPeersAloneOrFromTheStoreAlone)
{
    Fleet fleet(5, 3, 2, 4);
    fleet.publish();
    fleet.run(10s);
    fleet.store.isDown = true;
    fleet.crash(4);
    fleet.run(1s);
    fleet.restart(4);
    // The VM list, which has the same address as the store, answers again. The answers of store calls are lost.
    fleet.store.isDown = false;
    fleet.store.lostAnswerProbability = 1;
    fleet.run(maxApplyDelay);
    EXPECT_EQ(fleet.countOutdatedDaemons(), 0U);
    Fleet alone(6, 1, 1, 1);
    alone.publish();
    alone.run(maxApplyDelay);
    EXPECT_EQ(alone.countOutdatedDaemons(), 0U);
}

} // namespace
