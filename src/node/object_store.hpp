#pragma once

#include <arbutuscrank/core/error.hpp>
#include <arbutuscrank/entry.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief What the entry needs of the platform: a store of objects, and decoders for what others write there.

namespace arbutuscrank::node {

/// \brief Groups of objects that the entry reads.
enum class Collection { Policy, Targets, Evacuations, Members };

[[nodiscard]] std::string_view toString(Collection collection) noexcept;

/// \brief One object.
struct StoreObject {
    std::string name;
    ObjectVersion revision = 0;
    std::string body; ///< JSON text
};

/// \brief A page of a collection.
struct StoreListing {
    std::vector<StoreObject> objects;
    std::uint64_t revision = 0; ///< of the store, as of the read
    bool hasMore = false; ///< the rest follows after the last name
    /// Time as of which the store has confirmed this, if another VM read it; else the time at which the call was sent.
    std::optional<TimePoint> confirmedAt;
};

/// \brief One change that a watch reports.
struct StoreChange {
    StoreObject object;
    bool deleted = false;
};

/// \brief Changes after a revision, in order.
struct StoreChanges {
    std::vector<StoreChange> changes;
    std::uint64_t revision = 0; ///< to continue from
    std::optional<TimePoint> confirmedAt; ///< as in \ref StoreListing
};

/// \brief Asynchronous calls to the store. Each handler is called once, from the event loop.
///
/// Errors: Unavailable (nothing was done), Unknown (the call may have been done), Timeout, Conflict (another revision),
/// NotFound (no such object, or the history after a revision is gone), Protocol (unreadable answer).
class ObjectStore {
public:
    template <typename T> using Handler = std::function<void(Result<T>)>;

    virtual ~ObjectStore() = default;

    /// \brief Reads a page. \param after name after which it begins; empty for the first page
    virtual void list(Collection collection, const std::string& after, Handler<StoreListing> done) = 0;

    /// \brief Waits for changes after a revision. Answers without changes when \p wait is over.
    virtual void watch(Collection collection, std::uint64_t revision, Duration wait, Handler<StoreChanges> done) = 0;

    /// \brief Gives up the reads of a collection that are under way, with their connection: it may be dead.
    /// Their handlers are called with Unknown.
    virtual void abandonReads(Collection collection) = 0;

    /// \brief Creates an object, or replaces it if its revision is still the given one.
    /// \param revision 0 to create
    /// \returns the new revision
    virtual void write(Collection collection, const StoreObject& object, Handler<ObjectVersion> done) = 0;

    /// \brief Removes an object if its revision is still the given one.
    virtual void remove(
        Collection collection, const std::string& name, ObjectVersion revision, Handler<ObjectVersion> done)
        = 0;
};

/// \brief Decodes what operators and targets write. Each error names the field, the limit and what was found.
class StoreDecoder {
public:
    virtual ~StoreDecoder() = default;
    [[nodiscard]] virtual Result<entry::TrafficPolicy> decodePolicy(const StoreObject& object) const = 0;
    [[nodiscard]] virtual Result<entry::TargetRecord> decodeTarget(const StoreObject& object) const = 0;
};

/// \brief Names of the headers on the wire between callers, this VM and targets.
struct HeaderNames {
    std::string requestId; ///< id of a caller's attempt; targets echo it
    std::string timeLeftMs; ///< how long the caller waits, in milliseconds
    std::string affinity; ///< requests about the same object carry equal values
    std::string key; ///< the caller's key; never passed on
    std::string account; ///< account that holds the key, told to targets
    std::string expectedTarget; ///< id of the target that is meant
    std::string signature; ///< target's proof that an answer is its own
    std::string notRun; ///< target's word that it did not run the request
    std::string load; ///< "running,waiting,slots"
};

/// \brief Paths and texts of what this VM serves besides requests.
struct ServedPaths {
    std::string readiness;
    std::string lookup;
};

/// \brief A look-up as a caller sent it.
struct LookupQuery {
    std::string host;
    std::string region;
    std::string failureDomain;
};

/// \brief Everything that translates between the entry and the platform.
struct PlatformBinding {
    HeaderNames headers;
    ServedPaths paths;
    std::function<LookupQuery(std::string_view target)> decodeLookup;
    std::function<std::string(const entry::LookupAnswer&)> encodeLookup;
    std::shared_ptr<ObjectStore> store;
    std::shared_ptr<StoreDecoder> decoder;
};

} // namespace arbutuscrank::node
