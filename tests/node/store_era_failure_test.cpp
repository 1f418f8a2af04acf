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
    follower->noteEra(2);
    std::optional<Result<StoreListing>> answer;
    follower->list(Collection::Policy, {}, [&](auto result) { answer = std::move(result); });
    ASSERT_TRUE(runUntil(context, [&] { return answer.has_value(); }));
    EXPECT_FALSE(*answer);
    EXPECT_EQ(follower->era(), 2U);
}

// EVAC, DRAIN. Guards against an answer of the old era that arrives late and is applied over the new one.
TEST_F(StoreEraFeedFailure, LateAnswerOfTheOldEraIsRejectedAndNotServed)
{
    std::optional<Result<StoreChanges>> answer;
    coordinator->watch(Collection::Policy, 10, milliseconds(1000), [&](auto result) { answer = std::move(result); });
    platformStore->returnFromCopy({ { "main", 3, "{}" } }, 8);
    coordinator->list(Collection::Targets, {}, [](const auto&) {});
    ASSERT_FALSE(answer);
    platformStore->answerWatch(Collection::Policy,
        StoreChanges { .changes = { { { "main", 12, "late" }, false } }, .revision = 12, .era = 1 });
    ASSERT_TRUE(answer);
    EXPECT_FALSE(*answer);
    EXPECT_EQ(coordinator->era(), 2U);
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
