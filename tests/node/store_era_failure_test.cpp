#include "node/collection_reader.hpp"
#include "node/loopback.hpp"
#include "node/memory_store.hpp"
#include "node/shared_store.hpp"

#include <gtest/gtest.h>

namespace arbutuscrank::node::test {

namespace {

    using std::chrono::milliseconds;

    /// A coordinator that reads the store in era 1, and a follower that reads the coordinator's feed.
    struct StoreEraFeedFailure : testing::Test {
        StoreEraFeedFailure()
        {
            platformStore->era = 1;
            EXPECT_TRUE(coordinator->open(address));
            follower->setSource(address);
            coordinator->setEraHandler([this](StoreEra era) { coordinatorEras.push_back(era); });
            follower->setEraHandler([this](StoreEra era) { followerEras.push_back(era); });
            coordinator->list(Collection::Policy, {}, [](const auto&) {});
        }

        /// Lists a collection and waits for the answer. \returns Timeout if there is none
        Result<StoreListing> listFrom(SharedStore& store, Collection collection)
        {
            std::optional<Result<StoreListing>> answer;
            store.list(collection, {}, [&](auto result) { answer = std::move(result); });
            if (!runUntil(context, [&] { return answer.has_value(); }))
                return Error { ErrorCode::Timeout, "test.list", {}, "no answer" };
            return std::move(*answer);
        }

        asio::io_context context;
        std::string address = freeAddress();
        std::shared_ptr<MemoryStore> platformStore = std::make_shared<MemoryStore>();
        std::shared_ptr<SharedStore> coordinator = std::make_shared<SharedStore>(context, platformStore);
        std::shared_ptr<SharedStore> follower = std::make_shared<SharedStore>(context, std::make_shared<MemoryStore>());
        std::vector<StoreEra> coordinatorEras;
        std::vector<StoreEra> followerEras;
    };

} // namespace

// EVAC, DRAIN. Guards against readers of a feed that compare revisions of the new era with those of the old one.
TEST_F(StoreEraFeedFailure, WaitingReaderOfAFeedLearnsOfTheRise)
{
    std::optional<Result<StoreChanges>> answer;
    follower->list(Collection::Policy, {}, [](const auto&) {});
    ASSERT_TRUE(runUntil(context, [&] { return !followerEras.empty(); }));
    follower->watch(Collection::Policy, 10, milliseconds(1000), [&](auto result) { answer = std::move(result); });
    context.restart();
    context.run_for(milliseconds(100));
    ASSERT_FALSE(answer);
    platformStore->returnFromCopy({ { "main", 3, "{}" } }, 8);
    coordinator->list(Collection::Policy, {}, [](const auto&) {});
    ASSERT_TRUE(runUntil(context, [&] { return answer.has_value(); }));
    EXPECT_FALSE(*answer);
    EXPECT_EQ(coordinatorEras, (std::vector<StoreEra> { 1, 2 }));
    EXPECT_EQ(followerEras, (std::vector<StoreEra> { 1, 2 }));
}

// EVAC, DRAIN. Guards against a VM that knows the new era and applies the old copy of a feed that has not heard of it.
TEST_F(StoreEraFeedFailure, AnswerOfAFeedThatHasNotHeardOfTheRiseIsRejected)
{
    // Without the rise, the feed serves its copy.
    const auto before = listFrom(*follower, Collection::Policy);
    ASSERT_TRUE(before);
    ASSERT_EQ(before.value().era, 1U);
    follower->noteEra(2);
    const auto listing = listFrom(*follower, Collection::Policy);
    ASSERT_FALSE(listing);
    EXPECT_EQ(listing.error().code, ErrorCode::Unavailable);
    EXPECT_EQ(listing.error().step, "store.era");
    std::optional<Result<StoreChanges>> changes;
    follower->watch(Collection::Policy, 5, milliseconds(100), [&](auto result) { changes = std::move(result); });
    ASSERT_TRUE(runUntil(context, [&] { return changes.has_value(); }));
    ASSERT_FALSE(*changes);
    EXPECT_EQ(changes->error().code, ErrorCode::NotFound);
    EXPECT_EQ(follower->era(), 2U);
    EXPECT_EQ(coordinator->era(), 1U);
}

// EVAC, DRAIN. Guards against an answer of the old era that arrives late and is applied over the new one, whether or
// not it names its era.
TEST_F(StoreEraFeedFailure, LateAnswerOfTheOldEraIsRejectedAndNotServed)
{
    for (const StoreEra named : { 1, 0 }) {
        const auto current = coordinator->era() + 1;
        std::optional<Result<StoreChanges>> answer;
        coordinator->watch(
            Collection::Policy, 10, milliseconds(1000), [&](auto result) { answer = std::move(result); });
        platformStore->returnFromCopy({ { "main", 3, "{}" } }, 8);
        EXPECT_FALSE(listFrom(*coordinator, Collection::Targets)); // it was sent before the rise was known
        ASSERT_TRUE(listFrom(*coordinator, Collection::Targets));
        ASSERT_FALSE(answer);
        const StoreChanges late { .changes = { { { "main", 12, "late" }, false } }, .revision = 12, .era = named };
        std::exchange(platformStore->pendingWatches[Collection::Policy], {})(late);
        ASSERT_TRUE(answer);
        ASSERT_FALSE(*answer);
        EXPECT_EQ(answer->error().code, ErrorCode::Unavailable);
        EXPECT_EQ(answer->error().step, "store.era");
        EXPECT_EQ(coordinator->era(), current);
        // The feed has no copy of the policy in the new era, and nothing confirms the others.
        for (const auto collection : { Collection::Policy, Collection::Targets }) {
            const auto refused = listFrom(*follower, collection);
            ASSERT_FALSE(refused) << toString(collection);
            EXPECT_EQ(refused.error().step, "feed.read");
        }
        ASSERT_TRUE(listFrom(*coordinator, Collection::Policy));
        const auto served = listFrom(*follower, Collection::Policy);
        ASSERT_TRUE(served);
        EXPECT_EQ(served.value().era, current);
        EXPECT_EQ(served.value().revision, 8U);
        ASSERT_EQ(served.value().objects.size(), 1U);
        EXPECT_EQ(served.value().objects.front().revision, 3U);
        EXPECT_EQ(served.value().objects.front().body, "{}");
    }
}

// Guards against a write with a revision of the old era, which the store may have given out again.
TEST_F(StoreEraFeedFailure, WriteOfTheOldEraIsAbandoned)
{
    platformStore->holdsWrites = true;
    std::optional<Result<ObjectVersion>> answer;
    coordinator->write(Collection::Members, { "vm-1", 9, "{}" }, [&](auto result) { answer = std::move(result); });
    platformStore->returnFromCopy({}, 8);
    coordinator->list(Collection::Policy, {}, [](const auto&) {});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->error().code, ErrorCode::Unknown);
}

// Guards against answers without an era, as of stores that know none, that change anything.
TEST_F(StoreEraFeedFailure, AnswerWithoutAnEraIsOfTheKnownOne)
{
    platformStore->era = 0;
    bool isListed = false;
    coordinator->list(Collection::Policy, {}, [&](const auto& result) { isListed = result.has_value(); });
    EXPECT_TRUE(isListed);
    EXPECT_EQ(coordinator->era(), 1U);
}

// DRAIN, EVAC. Guards against a reader that rejects every list of the new era, whose revisions have gone back.
TEST(StoreEraReaderFailure, ListOfTheNewEraIsAppliedAlthoughItsRevisionIsLower)
{
    asio::io_context context;
    const auto store = std::make_shared<MemoryStore>();
    std::size_t listings = 0;
    std::size_t failures = 0;
    const auto reader = std::make_shared<CollectionReader>(context, store, Collection::Evacuations,
        CollectionReader::WatchTiming { milliseconds(100), milliseconds(1) },
        CollectionReader::Handlers { .onListed = [&](const auto&) { ++listings; },
            .onChanged = [](const StoreChange&) {},
            .onConfirmed = [](TimePoint) {},
            .onFailed = [&](const Error&) { ++failures; } });
    reader->start();
    store->answerWatch(
        Collection::Evacuations, StoreChanges { .changes = { { { "zone-b", 20, "{}" }, false } }, .revision = 21 });
    store->returnFromCopy({}, 12);
    reader->restartInNewEra();
    EXPECT_EQ(listings, 2U);
    EXPECT_EQ(failures, 0U);
    EXPECT_EQ(reader->revision(), 12U);
}

} // namespace arbutuscrank::node::test
