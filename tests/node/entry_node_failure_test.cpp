#include "node/entry_node.hpp"

#include "node/loopback.hpp"
#include "node/memory_store.hpp"

#include <gtest/gtest.h>

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
            store->objects.clear();
            PlatformBinding platform;
            platform.store = store;
            platform.decoder = std::make_shared<EmptyDecoder>();
            node.emplace(context, settings, std::move(platform));
            EXPECT_TRUE(node->start());
        }

        bool isWatchPending(Collection collection) { return static_cast<bool>(store->pendingWatches[collection]); }

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

} // namespace arbutuscrank::node::test
