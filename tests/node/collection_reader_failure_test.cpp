#include "node/collection_reader.hpp"

#include "node/memory_store.hpp"
#include "node/shared_store.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace arbutuscrank::node::test {

namespace {

    using std::chrono::milliseconds;

    struct CollectionReaderFailure : testing::Test {
        CollectionReaderFailure()
        {
            store->objects = { { "zone-a", 4, "{}" } };
            store->revision = 10;
            reader->start();
        }

        CollectionReader::Handlers handlers()
        {
            return { .onListed = [this](const StoreListing& listing) { listings.push_back(listing.objects); },
                .onChanged = [](const StoreChange&) {},
                .onConfirmed = [](TimePoint) {},
                .onFailed = [this](const Error& error) { errors.push_back(error); } };
        }

        void report(StoreChange change, std::uint64_t revision)
        {
            store->answerWatch(
                Collection::Evacuations, StoreChanges { .changes = { std::move(change) }, .revision = revision });
        }

        /// Lists from a source that has read the store as of a revision.
        void listFrom(std::vector<StoreObject> objects, std::uint64_t revision)
        {
            store->objects = std::move(objects);
            store->revision = revision;
            reader->restart();
        }

        asio::io_context context;
        std::shared_ptr<MemoryStore> store = std::make_shared<MemoryStore>();
        std::vector<std::vector<StoreObject>> listings;
        std::vector<Error> errors;
        std::shared_ptr<CollectionReader> reader = std::make_shared<CollectionReader>(context, store,
            Collection::Evacuations, CollectionReader::WatchTiming { milliseconds(100), milliseconds(1) }, handlers());
    };

} // namespace

// Guards against an evacuation or a drain that a VM takes back, because it turns to a source that is behind.
TEST_F(CollectionReaderFailure, ListWithoutAReportedChangeIsNotApplied)
{
    report({ { "zone-b", 20, "{}" }, false }, 21);
    listFrom({ { "zone-a", 4, "{}" } }, 19);
    EXPECT_EQ(listings.size(), 1U);
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors.front().code, ErrorCode::Unavailable);
    listFrom({ { "zone-a", 4, "{}" }, { "zone-b", 20, "{}" } }, 20);
    EXPECT_EQ(listings.size(), 2U);
}

// Guards against a removed target that a VM uses again, because it turns to a source that is behind.
TEST_F(CollectionReaderFailure, ListWithAnObjectWhoseRemovalWasReportedIsNotApplied)
{
    report({ { "zone-a", 4, {} }, true }, 20);
    listFrom({ { "zone-a", 4, "{}" } }, 19);
    EXPECT_EQ(listings.size(), 1U);
    EXPECT_EQ(errors.size(), 1U);
}

// Guards against a removed target that a VM uses again, if only a list has shown the removal.
TEST_F(CollectionReaderFailure, ListWithAnObjectThatALaterListLacksIsNotApplied)
{
    listFrom({}, 20);
    ASSERT_EQ(listings.size(), 2U);
    listFrom({ { "zone-a", 4, "{}" } }, 19);
    EXPECT_EQ(listings.size(), 2U);
    EXPECT_EQ(errors.size(), 1U);
}

// Guards against VMs that read the store themselves for long, because the feed's read is old and nothing has changed.
TEST_F(CollectionReaderFailure, OlderListWithoutAMissingChangeIsApplied)
{
    listFrom({ { "zone-a", 4, "{}" } }, 30);
    listFrom({ { "zone-a", 4, "{}" } }, 10);
    EXPECT_EQ(listings.size(), 3U);
    EXPECT_TRUE(errors.empty());
}

// Guards against targets that running VMs never learn of, because no watch reports them once the entries that hid them
// in a list are gone.
TEST_F(CollectionReaderFailure, AnIncompleteListIsReadAgain)
{
    constexpr milliseconds lifetime(50);
    const auto other = std::make_shared<CollectionReader>(context, std::make_shared<SharedStore>(context, store),
        Collection::Targets,
        CollectionReader::WatchTiming { milliseconds(100), milliseconds(1), milliseconds(100), lifetime }, handlers());
    const auto answerWatch = [&] { store->answerWatch(Collection::Targets, StoreChanges { .revision = 10 }); };
    store->isCut = true;
    other->start();
    const auto pages = store->lists[Collection::Targets];
    std::this_thread::sleep_for(2 * lifetime);
    store->objects = { { "zone-a", 4, "{}" }, { "zone-b", 5, "{}" } };
    store->isCut = false;
    answerWatch();
    EXPECT_EQ(store->lists[Collection::Targets], pages + 1);
    EXPECT_EQ(listings.back().size(), 2U);
    // A complete list is not read again.
    std::this_thread::sleep_for(2 * lifetime);
    answerWatch();
    EXPECT_EQ(store->lists[Collection::Targets], pages + 1);
}

} // namespace arbutuscrank::node::test
