#include "node/entry_node.hpp"

#include "node/loopback.hpp"
#include "node/memory_store.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>

namespace arbutuscrank::node::test {

namespace {

    struct EmptyDecoder : StoreDecoder {
        [[nodiscard]] Result<entry::TrafficPolicy> decodePolicy(const StoreObject&) const override
        {
            return entry::TrafficPolicy { .version = 1 };
        }
        [[nodiscard]] Result<entry::TargetRecord> decodeTarget(const StoreObject&) const override
        {
            return Error { ErrorCode::InvalidArgument, "test", {}, "no target" };
        }
    };

    /// A VM that is alone in its failure domain and therefore reads the store itself.
    struct EntryNodeFailure : testing::Test {
        EntryNodeFailure()
        {
            settings.vm = "vm-1";
            settings.region = "r";
            settings.failureDomain = "d";
            settings.logLevel = "off";
            for (auto* address : { &settings.callerAddress, &settings.readinessAddress, &settings.lookupAddress,
                     &settings.reportAddress, &settings.metricsAddress })
                *address = freeAddress();
            settings.bounds.drainLimit = std::chrono::milliseconds(40);
            store->objects.clear();
            PlatformBinding platform;
            platform.store = store;
            platform.decoder = std::make_shared<EmptyDecoder>();
            node.emplace(context, settings, std::move(platform));
            EXPECT_TRUE(node->start());
        }

        bool isWatchPending(Collection collection) { return static_cast<bool>(store->pendingWatches[collection]); }

        bool areAllWatchesPending()
        {
            return isWatchPending(Collection::Policy) && isWatchPending(Collection::Targets)
                && isWatchPending(Collection::Evacuations) && isWatchPending(Collection::Members);
        }

        /// Answers each watch of the policy without a change and with the store's revision, for some time.
        void answerPolicyWatches(std::uint64_t revision, Duration duration)
        {
            const auto end = std::chrono::steady_clock::now() + duration;
            while (std::chrono::steady_clock::now() < end) {
                if (isWatchPending(Collection::Policy))
                    store->answerWatch(Collection::Policy, StoreChanges { .revision = revision });
                context.restart();
                context.run_for(std::chrono::milliseconds(10));
            }
        }

        static constexpr auto longWatches = { Collection::Targets, Collection::Evacuations, Collection::Members };

        asio::io_context context;
        entry::EntrySettings settings;
        std::shared_ptr<MemoryStore> store = std::make_shared<MemoryStore>();
        std::optional<EntryNode> node;
    };

} // namespace

// Guards against drains and evacuations that stay unknown for as long as a watch waits, because its connection died
// together with others whose loss was noticed.
TEST_F(EntryNodeFailure, EveryCollectionIsListedOnceTheStoreAnswersAfterALoss)
{
    ASSERT_TRUE(runUntil(context, [&] {
        return isWatchPending(Collection::Policy) && isWatchPending(Collection::Targets)
            && isWatchPending(Collection::Evacuations);
    }));
    const auto lists = store->lists[Collection::Evacuations];
    const Error lost { ErrorCode::Unknown, "store.answer", {}, "connection reset" };
    store->answerWatch(Collection::Targets, lost);
    store->answerWatch(Collection::Policy, lost);
    EXPECT_TRUE(runUntil(context, [&] { return store->lists[Collection::Evacuations] > lists; }));
}

// Guards against drains and evacuations that stay unknown for as long as a watch waits, because its connection has gone
// silent while the policy is read as usual.
TEST_F(EntryNodeFailure, WatchesThatMissAChangeOfTheStoreAreSentAgain)
{
    ASSERT_TRUE(runUntil(context, [&] { return areAllWatchesPending(); }));
    const auto before = store->watches;
    answerPolicyWatches(store->revision + 1, 4 * settings.bounds.drainLimit);
    for (const auto collection : longWatches)
        EXPECT_EQ(store->watches[collection], before.at(collection) + 1) << toString(collection);
    answerPolicyWatches(store->revision + 2, 4 * settings.bounds.drainLimit);
    for (const auto collection : longWatches)
        EXPECT_EQ(store->watches[collection], before.at(collection) + 2) << toString(collection);
}

// Guards against a VM that stays unknown to the others, because the copy from which the store returned lacks its
// registration, and against watches that go on from a revision of the earlier era.
TEST_F(EntryNodeFailure, ARiseOfTheStoresEraListsEveryCollectionAndRegistersAgain)
{
    ASSERT_TRUE(runUntil(context, [&] { return areAllWatchesPending(); }));
    store->era = 1;
    store->answerWatch(Collection::Policy, StoreChanges { .revision = store->revision });
    ASSERT_TRUE(runUntil(context, [&] { return isWatchPending(Collection::Policy); }));
    const auto lists = store->lists;
    const auto writes = store->writes.size();
    ASSERT_GT(writes, 0U);
    store->returnFromCopy({}, 8);
    store->answerWatch(Collection::Policy, Error { ErrorCode::NotFound, "store.call", {}, "status 410" });
    for (const auto& [collection, n] : lists)
        EXPECT_EQ(store->lists[collection], n + 1) << toString(collection);
    ASSERT_EQ(store->writes.size(), writes + 1);
    EXPECT_EQ(store->writes.back().revision, 0U);
}

// Guards against a VM that tries to register many times a second, because its registration exists where the list of VMs
// does not show it.
TEST_F(EntryNodeFailure, ARegistrationThatACutListHidesIsNotRepeated)
{
    ASSERT_TRUE(runUntil(context, [&] { return areAllWatchesPending(); }));
    const auto writes = store->writes.size();
    store->holdsWrites = true;
    store->isCut = true;
    store->revision = 11;
    store->answerWatch(
        Collection::Members, StoreChanges { .changes = { { { "vm-1", 11, "{}" }, true } }, .revision = 11 });
    for (int i = 0; i < 50; ++i) {
        for (const auto& done : std::exchange(store->pendingWrites, {}))
            done(Error { ErrorCode::Conflict, "store.write", {}, "status 409" });
        answerPolicyWatches(store->revision, std::chrono::milliseconds(10));
    }
    // One write follows the removal, and one the list that shows whether another run of this VM was first.
    EXPECT_EQ(store->writes.size(), writes + 2);
}

// Guards against calls to the store that grow with time although nothing changes in it.
TEST_F(EntryNodeFailure, WatchesAreNotSentAgainWhileTheStoreDoesNotChange)
{
    ASSERT_TRUE(runUntil(context, [&] { return areAllWatchesPending(); }));
    const auto before = store->watches;
    answerPolicyWatches(store->revision, 4 * settings.bounds.drainLimit);
    for (const auto collection : longWatches)
        EXPECT_EQ(store->watches[collection], before.at(collection)) << toString(collection);
}

// Guards against VMs that no longer hear each other, because the name of an odd evacuation makes their reports larger
// than a datagram, and against records of it that the system writes for ever.
TEST_F(EntryNodeFailure, AnEvacuationOfNoKnownFailureDomainIsIgnored)
{
    asio::ip::udp::socket other(context, { asio::ip::address_v4::loopback(), 0 });
    const auto otherAddress = "127.0.0.1:" + std::to_string(other.local_endpoint().port());
    std::array<char, 65536> buf {};
    std::size_t received = 0;
    other.async_receive(asio::buffer(buf), [&](SystemError ec, std::size_t n) { received = ec ? 0 : n; });
    ASSERT_TRUE(runUntil(context, [&] { return areAllWatchesPending(); }));
    const auto report = [&](Collection collection, const std::string& name, const std::string& body) {
        const auto revision = ++store->revision;
        store->answerWatch(
            collection, StoreChanges { .changes = { { { name, revision, body }, false } }, .revision = revision });
        ASSERT_TRUE(runUntil(context, [&] { return areAllWatchesPending(); }));
    };
    constexpr std::size_t maxDatagramBytes = 65'507;
    report(Collection::Evacuations, std::string(maxDatagramBytes, 'z'), "{}");
    report(Collection::Evacuations, "d&+#% ", "{}");
    report(Collection::Evacuations, "d", "{}");
    report(Collection::Members, "vm-2",
        R"({"region":"r","failureDomain":"d","callerAddress":"127.0.0.1:1","reportAddress":")" + otherAddress
            + R"("})");
    EXPECT_TRUE(runUntil(context, [&] { return received != 0; }));
    const auto isRecordOf = [](std::string_view failureDomain) {
        return [name = "evacuation." + std::string(failureDomain)](const StoreObject& it) { return it.name == name; };
    };
    EXPECT_TRUE(runUntil(context, [&] { return std::ranges::any_of(store->writes, isRecordOf("d")); }));
    EXPECT_EQ(std::ranges::count_if(store->writes, isRecordOf("d&+#% ")), 0);
}

} // namespace arbutuscrank::node::test
