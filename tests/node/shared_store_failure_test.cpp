#include "node/shared_store.hpp"

#include "node/clock.hpp"
#include "node/loopback.hpp"
#include "node/memory_store.hpp"

#include <gtest/gtest.h>

namespace arbutuscrank::node::test {

namespace {

    using std::chrono::milliseconds;

    /// A coordinator that reads the store, and a follower that reads the coordinator's feed.
    struct SharedStoreFailure : testing::Test {
        SharedStoreFailure()
        {
            EXPECT_TRUE(coordinator->open(address));
            follower->setSource(address);
        }

        void readAsCoordinator()
        {
            coordinator->list(Collection::Policy, {}, [](const auto&) {});
            coordinator->watch(Collection::Policy, 10, milliseconds(1000), [](const auto&) {});
        }

        template <typename T> Result<T> waitForResult(std::optional<Result<T>>& result)
        {
            const auto end = currentTime() + std::chrono::seconds(5);
            while (!result && currentTime() < end)
                context.run_one_for(milliseconds(20));
            return result ? *result : Error { ErrorCode::Timeout, "test", {}, "no answer" };
        }

        Result<StoreListing> list(Collection collection = Collection::Policy)
        {
            std::optional<Result<StoreListing>> result;
            follower->list(collection, {}, [&](auto answer) { result = std::move(answer); });
            return waitForResult(result);
        }

        asio::io_context context;
        std::string address = freeAddress();
        std::shared_ptr<MemoryStore> coordinatorStore = std::make_shared<MemoryStore>();
        std::shared_ptr<MemoryStore> followerStore = std::make_shared<MemoryStore>();
        std::shared_ptr<SharedStore> coordinator = std::make_shared<SharedStore>(context, coordinatorStore);
        std::shared_ptr<SharedStore> follower = std::make_shared<SharedStore>(context, followerStore);
    };

} // namespace

// Guards against targets that all VMs of a failure domain drop, because a list of the VM that reads the store for them
// lacks these.
TEST_F(SharedStoreFailure, TheFeedKeepsWhatACutListLacks)
{
    coordinatorStore->objects = { { "main", 5, "{}" }, { "t-01", 6, "{}" }, { "t-02", 7, "{}" } };
    for (const auto collection : { Collection::Policy, Collection::Targets })
        coordinator->list(collection, {}, [](const auto&) {});
    coordinatorStore->objects = { { "t-01", 8, "{}" } };
    coordinatorStore->isCut = true;
    coordinator->list(Collection::Targets, {}, [](const auto&) {});
    const auto listing = list(Collection::Targets);
    ASSERT_TRUE(listing);
    std::map<std::string, ObjectVersion> revisions;
    for (const auto& object : listing.value().objects)
        revisions[object.name] = object.revision;
    EXPECT_EQ(revisions, (std::map<std::string, ObjectVersion> { { "main", 5 }, { "t-01", 8 }, { "t-02", 7 } }));
    EXPECT_FALSE(listing.value().isComplete());
    coordinatorStore->isCut = false;
    coordinator->list(Collection::Targets, {}, [](const auto&) {});
    const auto complete = list(Collection::Targets);
    ASSERT_TRUE(complete);
    EXPECT_EQ(complete.value().objects.size(), 1U);
    EXPECT_TRUE(complete.value().isComplete());
}

// Guards against a number of store calls that grows with the fleet.
TEST_F(SharedStoreFailure, AFollowerReadsWithoutCallsToTheStore)
{
    readAsCoordinator();
    const auto listing = list();
    ASSERT_TRUE(listing);
    ASSERT_EQ(listing.value().objects.size(), 1U);
    EXPECT_EQ(listing.value().objects.front().name, "main");
    EXPECT_EQ(followerStore->calls, 0);
}

// Guards against a confirmation that a follower dates later than the coordinator does. Requests with a withdrawn key
// would then be served too long.
TEST_F(SharedStoreFailure, ConfirmationIsNotNewerThanTheCoordinators)
{
    readAsCoordinator();
    const auto confirmedBefore = currentTime();
    context.run_for(milliseconds(150));
    const auto listing = list();
    ASSERT_TRUE(listing);
    ASSERT_TRUE(listing.value().confirmedAt);
    EXPECT_LE(*listing.value().confirmedAt, confirmedBefore);
    EXPECT_GT(*listing.value().confirmedAt, confirmedBefore - std::chrono::seconds(1));
}

// Guards against VMs that become ready late after a start of all VMs: a list that arrives before their coordinator has
// read the store would be refused and tried again after a delay.
TEST_F(SharedStoreFailure, AListWaitsForTheFirstReadOfACoordinatorThatStarts)
{
    std::optional<Result<StoreListing>> result;
    follower->list(Collection::Targets, {}, [&](auto answer) { result = std::move(answer); });
    context.run_for(milliseconds(100));
    ASSERT_FALSE(result);
    coordinator->list(Collection::Targets, {}, [](const auto&) {});
    context.run_for(milliseconds(50));
    ASSERT_FALSE(result) << "the policy is not confirmed";
    readAsCoordinator();
    const auto readAt = currentTime();
    const auto listing = waitForResult(result);
    ASSERT_TRUE(listing);
    EXPECT_EQ(listing.value().objects.size(), 1U);
    ASSERT_TRUE(listing.value().confirmedAt);
    EXPECT_LE(*listing.value().confirmedAt, readAt);
}

// Guards against VMs that wait for a coordinator whose first read has failed.
TEST_F(SharedStoreFailure, AListFailsAtOnceWhenTheFirstReadOfItsCoordinatorFails)
{
    std::optional<Result<StoreListing>> result;
    follower->list(Collection::Targets, {}, [&](auto answer) { result = std::move(answer); });
    context.run_for(milliseconds(100));
    ASSERT_FALSE(result);
    const auto before = currentTime();
    coordinator->invalidateFeed(Collection::Policy);
    EXPECT_FALSE(waitForResult(result));
    EXPECT_FALSE(list(Collection::Targets));
    EXPECT_LT(currentTime() - before, milliseconds(300));
}

// Guards against VMs that wait for a coordinator which never reads the store.
TEST_F(SharedStoreFailure, AListDoesNotWaitLongForTheFirstRead)
{
    const auto before = currentTime();
    EXPECT_FALSE(list(Collection::Targets));
    EXPECT_LT(currentTime() - before, milliseconds(1000));
}

// Guards against changes that reach the coordinator but not its followers.
TEST_F(SharedStoreFailure, AWatchOfTheFeedReportsAChangeAtOnce)
{
    readAsCoordinator();
    std::optional<Result<StoreChanges>> result;
    follower->watch(Collection::Policy, 10, milliseconds(1000), [&](auto answer) { result = std::move(answer); });
    context.run_for(milliseconds(100));
    EXPECT_FALSE(result);
    coordinatorStore->answerWatch(Collection::Policy,
        StoreChanges {
            .changes = { { { "main", 12, "{\"version\":2}" }, false }, { { "old", 11, "" }, true } }, .revision = 12 });
    const auto changes = waitForResult(result);
    ASSERT_TRUE(changes);
    EXPECT_EQ(changes.value().revision, 12U);
    ASSERT_EQ(changes.value().changes.size(), 2U);
    EXPECT_TRUE(changes.value().changes.front().isDeleted);
    EXPECT_EQ(changes.value().changes.back().object.body, "{\"version\":2}");
}

// Guards against VMs that use stale state because their coordinator no longer reaches the store.
TEST_F(SharedStoreFailure, AWatchFailsAtOnceWhenTheCoordinatorLosesTheStore)
{
    readAsCoordinator();
    std::optional<Result<StoreChanges>> result;
    follower->watch(Collection::Policy, 10, milliseconds(1000), [&](auto answer) { result = std::move(answer); });
    context.run_for(milliseconds(100));
    const auto before = currentTime();
    coordinator->invalidateFeed(Collection::Policy);
    const auto changes = waitForResult(result);
    ASSERT_FALSE(changes);
    EXPECT_EQ(changes.error().code, ErrorCode::Unavailable);
    EXPECT_LT(currentTime() - before, milliseconds(500));
    EXPECT_FALSE(list());
}

// Guards against an evacuation or a drain that VMs take back, because their coordinator serves its old copy of a
// collection as soon as it has read the policy again.
TEST_F(SharedStoreFailure, CollectionIsNotServedBeforeItIsReadAgainAfterALoss)
{
    readAsCoordinator();
    for (const auto collection : { Collection::Targets, Collection::Evacuations })
        coordinator->list(collection, {}, [](const auto&) {});
    ASSERT_TRUE(list(Collection::Evacuations));
    coordinator->invalidateFeed(Collection::Policy);
    readAsCoordinator();
    EXPECT_TRUE(list(Collection::Policy));
    EXPECT_FALSE(list(Collection::Evacuations));
    coordinator->list(Collection::Evacuations, {}, [](const auto&) {});
    EXPECT_TRUE(list(Collection::Evacuations));
    EXPECT_FALSE(list(Collection::Targets));
}

// Guards against a watch that is answered twice, because its wait ends in the event loop iteration in which the store
// fails. The process then ended with a segmentation fault.
TEST_F(SharedStoreFailure, AWatchIsAnsweredOnceWhenItsWaitEndsAsTheStoreFails)
{
    readAsCoordinator();
    int answers = 0;
    for (const auto collection : { Collection::Policy, Collection::Targets })
        coordinator->list(collection, {}, [](const auto&) {});
    follower->watch(Collection::Policy, 10, milliseconds(200), [&](const auto&) { ++answers; });
    follower->watch(Collection::Targets, 10, milliseconds(200), [&](const auto&) { ++answers; });
    context.run_for(milliseconds(100));
    asio::steady_timer loss(context, milliseconds(50));
    loss.async_wait([&](SystemError) { coordinator->invalidateFeed(Collection::Policy); });
    std::this_thread::sleep_for(milliseconds(300)); // all three timers expire in one event loop iteration
    context.run_for(milliseconds(200));
    EXPECT_EQ(answers, 2);
}

// Guards against a reader that misses removals made before the coordinator's first read.
TEST_F(SharedStoreFailure, AReaderThatIsTooFarBehindHasToListAgain)
{
    readAsCoordinator();
    std::optional<Result<StoreChanges>> result;
    follower->watch(Collection::Policy, 3, milliseconds(1000), [&](auto answer) { result = std::move(answer); });
    const auto changes = waitForResult(result);
    ASSERT_FALSE(changes);
    EXPECT_EQ(changes.error().code, ErrorCode::NotFound);
}

// Guards against chains of feeds, in which a VM serves what it has read from another VM's feed. Staleness would add up.
TEST_F(SharedStoreFailure, AFollowerServesNothing)
{
    const auto other = freeAddress();
    readAsCoordinator();
    ASSERT_TRUE(list());
    ASSERT_TRUE(follower->open(other));
    SharedStore third(context, followerStore);
    third.setSource(other);
    std::optional<Result<StoreListing>> result;
    third.list(Collection::Policy, {}, [&](auto answer) { result = std::move(answer); });
    EXPECT_FALSE(waitForResult(result));
}

} // namespace arbutuscrank::node::test
