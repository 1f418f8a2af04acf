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
        nameEra();
        if (isUnavailable)
            done(Error { ErrorCode::Unavailable, "store.call", {}, "status 503" });
        else
            done(StoreListing { .objects = objects, .revision = revision, .hasMore = isCut, .era = era });
    }
    void watch(Collection collection, std::uint64_t, Duration, Handler<StoreChanges> done) override
    {
        ++calls;
        ++watches[collection];
        pendingWatches[collection] = std::move(done);
    }
    void abandonReads(Collection) override { }
    void setEraHandler(EraHandler handler) override { eraHandler = std::move(handler); }
    void abandonWrites() override
    {
        for (auto& done : std::exchange(pendingWrites, {}))
            done(Error { ErrorCode::Unknown, "store.abandon", {}, "abandoned" });
    }
    void write(Collection, const StoreObject& object, Handler<ObjectVersion> done) override
    {
        writes.push_back(object);
        if (holdsWrites)
            pendingWrites.push_back(std::move(done));
        else
            done(ObjectVersion { 1 });
    }
    void remove(Collection, const std::string&, ObjectVersion, Handler<ObjectVersion> done) override
    {
        done(ObjectVersion { 0 });
    }

    /// \brief Comes back from an older copy of the given objects and revision.
    void returnFromCopy(std::vector<StoreObject> copiedObjects, std::uint64_t copiedRevision)
    {
        objects = std::move(copiedObjects);
        revision = copiedRevision;
        ++era;
    }

    /// \brief Answers the pending watch of a collection. An answer that names no era is of the store's era.
    void answerWatch(Collection collection, Result<StoreChanges> changes)
    {
        if (changes && changes.value().era == 0)
            changes.value().era = era;
        nameEra();
        std::exchange(pendingWatches[collection], {})(std::move(changes));
    }

    std::vector<StoreObject> objects { { "main", 5, "{}" } }; ///< of each collection
    std::uint64_t revision = 10;
    std::map<Collection, Handler<StoreChanges>> pendingWatches;
    std::map<Collection, int> lists; ///< number of lists by collection
    std::map<Collection, int> watches; ///< number of watches by collection
    std::vector<StoreObject> writes;
    std::vector<Handler<ObjectVersion>> pendingWrites;
    StoreEra era = 0; ///< 0: answers name none
    EraHandler eraHandler;
    bool holdsWrites = false; ///< writes stay pending until they are abandoned
    bool isUnavailable = false;
    bool isCut = false; ///< lists have a further page that cannot be asked for
    int calls = 0;

private:
    void nameEra()
    {
        if (era != 0 && eraHandler)
            eraHandler(era);
    }
};

} // namespace arbutuscrank::node::test
