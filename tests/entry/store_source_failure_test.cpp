#include "entry/fleet_harness.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace arbutuscrank::entry::test {

namespace {

    constexpr int vmsPerDomain = 9;
    constexpr std::size_t domains = 3;
    /// VMs of a failure domain that may look for a way to the store: the coordinator and its two deputies.
    constexpr std::size_t searchersPerDomain = 3;

    struct StoreSourceFailure : testing::Test {
        StoreSourceFailure()
        {
            fleet.run(seconds(4));
            fleet.storeReads = 0;
        }

        [[nodiscard]] std::size_t readersOfStore() const
        {
            return static_cast<std::size_t>(std::ranges::count_if(
                fleet.all(), [](const auto& item) { return item.second.storeSource.feed.empty(); }));
        }

        /// Largest number of VMs that read the store at the same time within a time.
        std::size_t mostReadersOfStore(Duration duration)
        {
            std::size_t most = 0;
            for (Duration done {}; done < duration; done += milliseconds(100)) {
                fleet.run(milliseconds(100));
                most = std::max(most, readersOfStore());
            }
            return most;
        }

        void loseStore(char domain)
        {
            for (int i = 1; i <= vmsPerDomain; ++i)
                fleet.loseStore(std::string(1, domain) + std::to_string(i));
        }

        /// Fails for each VM whose newest answer, from the store or a feed, is older than a time.
        void expectAnswered(Duration maxAge)
        {
            for (const auto& [vm, entry] : fleet.all())
                EXPECT_LE(fleet.now - entry.storeAnsweredAt.value_or(TimePoint {}), maxAge) << vm;
        }

        Fleet fleet { { vmsPerDomain, vmsPerDomain, vmsPerDomain }, makePolicy() };
    };

} // namespace

// Guards against calls of every VM of a failure domain whose coordinator is turned away by the store.
TEST_F(StoreSourceFailure, VmsOfACoordinatorWithoutTheStoreReadAnotherFeed)
{
    loseStore('a');
    EXPECT_LE(mostReadersOfStore(seconds(3)), domains);
    expectAnswered(seconds(1));
    fleet.run(seconds(5));
    expectAnswered(seconds(1));
    for (int i = 1; i <= vmsPerDomain; ++i)
        fleet.returnStore("a" + std::to_string(i));
    fleet.run(seconds(6));
    EXPECT_TRUE(fleet.at("a1").storeSource.feed.empty());
    EXPECT_EQ(fleet.at("a2").storeSource.feed, "a1");
    expectAnswered(seconds(1));
}

// Guards against a coordinator that takes the feed of another one that has lost the store too.
TEST_F(StoreSourceFailure, FeedsOfCoordinatorsWithoutTheStoreAreNotRead)
{
    loseStore('a');
    loseStore('b');
    fleet.run(seconds(3));
    EXPECT_EQ(fleet.at("a1").storeSource.feed, "c1");
    EXPECT_EQ(fleet.at("b1").storeSource.feed, "c1");
    EXPECT_EQ(fleet.at("b5").storeSource.feed, "c1");
    expectAnswered(seconds(1));
}

// Guards against calls of every VM while the store is down.
TEST_F(StoreSourceFailure, FewVmsCallAStoreThatIsDown)
{
    for (const char domain : { 'a', 'b', 'c' })
        loseStore(domain);
    EXPECT_LE(mostReadersOfStore(seconds(10)), domains * searchersPerDomain);
}

// Guards against calls of every VM when the store returns after an outage, before the coordinators have read it.
TEST_F(StoreSourceFailure, FewVmsCallAStoreThatReturns)
{
    for (const char domain : { 'a', 'b', 'c' })
        loseStore(domain);
    fleet.run(seconds(5));
    for (const char domain : { 'a', 'b', 'c' }) {
        for (int i = 1; i <= vmsPerDomain; ++i)
            fleet.returnStore(std::string(1, domain) + std::to_string(i));
    }
    EXPECT_LE(mostReadersOfStore(seconds(3)), domains * searchersPerDomain);
    expectAnswered(seconds(1));
}

// Guards against a VM that keeps an old configuration for ever, because one collection of the feed, such as a
// configuration that has grown, cannot be read in time while the others can.
TEST_F(StoreSourceFailure, VmReadsTheStoreIfOneCollectionOfTheFeedKeepsFailing)
{
    fleet.breakFeedCollection("a7");
    fleet.run(seconds(2));
    EXPECT_TRUE(fleet.at("a7").storeSource.feed.empty());
    EXPECT_EQ(fleet.at("a6").storeSource.feed, "a1");
}

// Guards against a fleet without the store although some VMs that do not coordinate could read it.
TEST_F(StoreSourceFailure, DeputyThatReachesTheStoreServesItsDomain)
{
    for (const char domain : { 'a', 'b', 'c' })
        loseStore(domain);
    fleet.returnStore("b2");
    fleet.run(seconds(8));
    EXPECT_EQ(fleet.at("b1").storeSource.feed, "b2");
    EXPECT_EQ(fleet.at("b7").storeSource.feed, "b2");
    EXPECT_TRUE(fleet.at("b2").storeSource.feed.empty());
}

// Guards against calls of every VM of a failure domain whose coordinator has ended.
TEST_F(StoreSourceFailure, VmsWaitForTheSuccessorOfTheirCoordinator)
{
    fleet.kill("a1");
    EXPECT_LE(mostReadersOfStore(seconds(4)), domains);
    EXPECT_EQ(fleet.coordinators("a"), std::vector<VmId> { "a2" });
    expectAnswered(seconds(1));
}

} // namespace arbutuscrank::entry::test
