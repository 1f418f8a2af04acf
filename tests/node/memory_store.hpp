#pragma once

#include "node/object_store.hpp"

#include <map>

/// \file
/// \brief Store in memory, for tests.

namespace arbutuscrank::node::test {

/// \brief A store in memory. A watch stays pending until the test answers it.
class MemoryStore : public ObjectStore {
public:
    void list(Collection collection, const std::string&, Handler<StoreListing> done) override
    {
        ++calls;
        ++lists[collection];
        if (isUnavailable)
            done(Error { ErrorCode::Unavailable, "store.call", {}, "status 503" });
        else
            done(StoreListing { .objects = objects, .revision = revision });
    }
    void watch(Collection collection, std::uint64_t, Duration, Handler<StoreChanges> done) override
    {
        ++calls;
        ++watches[collection];
        pendingWatches[collection] = std::move(done);
    }
    void abandonReads(Collection) override { }
    void write(Collection, const StoreObject&, Handler<ObjectVersion> done) override { done(ObjectVersion { 1 }); }
    void remove(Collection, const std::string&, ObjectVersion, Handler<ObjectVersion> done) override
    {
        done(ObjectVersion { 0 });
    }

    /// \brief Answers the pending watch of a collection.
    void answerWatch(Collection collection, Result<StoreChanges> changes)
    {
        std::exchange(pendingWatches[collection], {})(std::move(changes));
    }

    std::vector<StoreObject> objects { { "main", 5, "{}" } }; ///< of each collection
    std::uint64_t revision = 10;
    std::map<Collection, Handler<StoreChanges>> pendingWatches;
    std::map<Collection, int> lists; ///< number of lists by collection
    std::map<Collection, int> watches; ///< number of watches by collection
    bool isUnavailable = false;
    int calls = 0;
};

} // namespace arbutuscrank::node::test
