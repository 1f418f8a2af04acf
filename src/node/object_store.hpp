#pragma once

#include <arbutuscrank/core/error.hpp>
#include <arbutuscrank/entry.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief Interfaces that the entry needs from the platform: a store of objects, and decoders for objects that
/// operators and targets write.

namespace arbutuscrank::node {

/// \brief Collections of objects that the entry reads.
enum class Collection { Policy, Targets, Evacuations, Members };

[[nodiscard]] std::string_view toString(Collection collection) noexcept;

/// \brief One object of a collection.
struct StoreObject {
    std::string name; ///< empty if it cannot be read
    ObjectVersion revision = 0;
    std::string body; ///< JSON text
};

/// \brief A part of a collection that a list of it does not show.
struct ListGap {
    std::string after; ///< name after which the page begins that the list shows last; empty for the first page
    std::string until; ///< text after which the list goes on; empty if it ends
};

/// \brief A page of a collection, or the whole collection as one page.
struct StoreListing {
    std::vector<StoreObject> objects;
    std::uint64_t revision = 0; ///< store revision as of the read
    bool hasMore = false; ///< whether the collection has further objects
    std::string continuation; ///< name after which the next page begins; empty if none of the page can be sent
    bool beginsWithUnusableName = false; ///< whether no page can begin after the name of the first object
    /// Time as of which the store has confirmed the policy, if another VM read the page. It says nothing about the age
    /// of other collections. Without it, the page is confirmed as of the time at which the call was sent.
    std::optional<TimePoint> confirmedAt;
    StoreEra era = 0; ///< of the answer; 0 if it names none
    std::vector<ListGap> gaps {}; ///< of a whole collection that could not be read to its end

    /// \brief Whether a page is the last one, or names where the next one begins.
    [[nodiscard]] bool leadsOn() const noexcept { return !hasMore || !continuation.empty(); }

    /// \brief Whether the collection holds no other objects. An object that an incomplete list lacks may still exist.
    [[nodiscard]] bool isComplete() const noexcept { return gaps.empty(); }
};

/// \brief One change that a watch reports.
struct StoreChange {
    StoreObject object;
    bool isDeleted = false;
};

/// \brief Changes after a revision. The platform's store reports them in its order; a feed reports removals first and
/// then the latest state of each changed object.
struct StoreChanges {
    std::vector<StoreChange> changes;
    std::uint64_t revision = 0; ///< revision after which the next watch starts
    std::optional<TimePoint> confirmedAt; ///< as in \ref StoreListing
    StoreEra era = 0; ///< as in \ref StoreListing
};

/// \brief Asynchronous calls to the store. Each handler is called once, from the event loop.
///
/// Errors: Unavailable (the call had no effect), Unknown and Timeout (the call may have taken effect), Conflict (the
/// object has another revision), NotFound (no such object, or the store no longer keeps the changes after a revision),
/// Protocol (unreadable answer or unexpected status; the call may have taken effect).
class ObjectStore {
public:
    template <typename T> using Handler = std::function<void(Result<T>)>;
    using EraHandler = std::function<void(StoreEra)>;

    virtual ~ObjectStore() = default;

    /// \brief Reads a page of a collection. \param after name after which it begins; empty for the first page
    virtual void list(Collection collection, const std::string& after, Handler<StoreListing> done) = 0;

    /// \brief Waits for changes after a revision (long poll). The answer is empty if there are no changes within
    /// \p wait.
    virtual void watch(Collection collection, std::uint64_t revision, Duration wait, Handler<StoreChanges> done) = 0;

    /// \brief Abandons the reads of a collection that are in progress and closes their connection, which may be dead.
    /// Their handlers are called with Unknown.
    virtual void abandonReads(Collection collection) = 0;

    /// \brief Sets the handler that gets the era of each answer that names one, failures included, before the handler
    /// of the call gets the answer.
    virtual void setEraHandler(EraHandler handler) = 0;

    /// \brief Abandons the writes that are in progress or wait to be sent. Their handlers are called with Unknown.
    virtual void abandonWrites() = 0;

    /// \brief Creates an object, or replaces it if the store still holds the expected revision (compare-and-set).
    /// \param object its revision is the expected one; 0 to create
    /// \param done gets the new revision, or 0 if the store's answer contains none
    virtual void write(Collection collection, const StoreObject& object, Handler<ObjectVersion> done) = 0;

    /// \brief Removes an object if its revision is still the given one.
    /// \param done gets a revision without meaning, or the error
    virtual void remove(
        Collection collection, const std::string& name, ObjectVersion revision, Handler<ObjectVersion> done)
        = 0;
};

/// \brief Decodes objects that operators and targets write. The error of an invalid value names the field, the limit
/// and what was found.
class StoreDecoder {
public:
    virtual ~StoreDecoder() = default;
    [[nodiscard]] virtual Result<entry::TrafficPolicy> decodePolicy(const StoreObject& object) const = 0;
    [[nodiscard]] virtual Result<entry::TargetRecord> decodeTarget(const StoreObject& object) const = 0;
};

/// \brief Names of the HTTP headers between callers, this VM and targets.
struct HeaderNames {
    std::string requestId; ///< id of the caller's attempt at a request; targets repeat it in their answer
    std::string timeLeftMs; ///< time until the deadline of the request, in milliseconds
    std::string affinity; ///< affinity key: equal for requests about the same object
    std::string key; ///< the caller's API key; never passed on to targets
    std::string account; ///< account that owns the key; sent to targets
    std::string expectedTarget; ///< id of the target to which a request is sent
    std::string signature; ///< signature of the target on its answer; only its presence is checked
    std::string notRun; ///< set by a target that did not run the request
    std::string load; ///< load of the target: "running,waiting,slots"
    std::string rateLimit; ///< requests per second that the target takes from all VMs together, while it is limited
    std::string leaving; ///< "1" in the answers of a target that is about to stop
};

/// \brief HTTP paths that this VM serves besides callers' requests.
struct ServedPaths {
    std::string readiness;
    std::string lookup;
};

/// \brief Parameters of a caller's look-up; empty if the caller sent none.
struct LookupQuery {
    std::string host;
    std::string region;
    std::string failureDomain;
};

/// \brief Names, codecs and the store through which the entry talks to the platform.
struct PlatformBinding {
    HeaderNames headers;
    ServedPaths paths;
    std::function<LookupQuery(std::string_view target)> decodeLookup;
    std::function<std::string(const entry::LookupAnswer&)> encodeLookup;
    std::shared_ptr<ObjectStore> store;
    std::shared_ptr<StoreDecoder> decoder;
};

} // namespace arbutuscrank::node
