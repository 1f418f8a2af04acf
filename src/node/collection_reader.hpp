#pragma once

#include "node/network.hpp"
#include "node/object_store.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

/// \file
/// \brief Follows one collection of the store: lists it, then watches it, and lists it again after a failure.

namespace arbutuscrank::node {

/// \brief Lists one collection and then watches it with long polls.
///
/// Within an era of the store, the reported states never go back: a list that lacks a change which was reported before
/// fails with Unavailable. A feed may serve such a list after this reader has read the store, or the feed of another
/// VM.
///
/// The connection on which a watch waits may go silent without a reset. Nothing tells this watch from one that has
/// nothing to report, except that the store's revision moves on: see \ref noteStoreRevision.
class CollectionReader : public std::enable_shared_from_this<CollectionReader> {
public:
    /// \brief Callbacks from the reader to its owner.
    struct Handlers {
        /// Gets the whole collection. An incomplete list says nothing about the objects that it lacks.
        std::function<void(const StoreListing&)> onListed;
        std::function<void(const StoreChange&)> onChanged; ///< gets one change
        std::function<void(TimePoint confirmedAt)> onConfirmed; ///< gets the time as of which a read is confirmed
        std::function<void(const Error&)> onFailed; ///< a call failed; the reader retries by itself
    };

    /// \brief Timing of the watches of a collection.
    struct WatchTiming {
        Duration wait {}; ///< time after which the store answers a watch even without changes
        Duration pause {}; ///< delay from a change to the next watch, which then reports all changes since
        Duration maxSilence {}; ///< age from which a watch that may have missed a change is sent again
        /// Time after which a collection is listed again whose list was incomplete. No watch reports what such a list
        /// lacks once it can be read.
        Duration incompleteListLifetime = std::chrono::seconds(15);
    };

    /// \param store its lists must be whole collections, as those of \ref SharedStore are
    CollectionReader(asio::io_context& context, std::shared_ptr<ObjectStore> store, Collection collection,
        WatchTiming timing, Handlers handlers);

    void start() { list(); }

    /// \brief Abandons calls in progress. No handler is called until the collection is listed again.
    void stop();

    /// \brief Abandons calls in progress and lists the collection again, for example because the connection of a
    /// waiting watch may be dead.
    void restart();

    /// \brief Does the same, and forgets the revisions that have been read, because the store's era has risen. The next
    /// list may lack what was reported before.
    void restartInNewEra();

    /// \brief Lists the collection again after the backoff, also if the reader is stopped. A call in progress is not
    /// abandoned: its answer is ignored, and a store that sends one call at a time sends the list after it.
    void restartAfterBackoff();

    /// \brief Abandons calls in progress and reads on after the newest complete read, from a feed that may be another
    /// one than before. Unlike \ref restart, this does not transfer the whole collection again.
    void resume();

    /// \brief Does the same after the backoff, instead of the list that follows a failure. To be called from
    /// \ref Handlers::onFailed.
    void resumeAfterBackoff();

    /// \brief Tells the revision of the store as of which another collection has been read. A watch that has waited for
    /// \ref WatchTiming::maxSilence and was sent as of an earlier revision may have missed a change, so it is sent
    /// again on a new connection, once for each revision. \returns whether the watch was sent again
    bool noteStoreRevision(std::uint64_t storeRevision);

    /// \brief Revision of the store as of which the objects have been read; 0 before the first read.
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }

private:
    void list();
    void listOrWatch();
    /// Sends a watch, or lists the collection again if its incomplete list has become too old.
    void readOn();
    void readOnAfterPause();
    void watch(Duration wait);
    void handleFailure(const Error& error);
    /// Records a whole list, unless it lacks a change that an earlier read contained. Returns whether it was recorded.
    [[nodiscard]] bool recordListing(const StoreListing& listing);
    void recordChange(const StoreChange& change, std::uint64_t readRevision);
    void listAfterBackoff();

    std::shared_ptr<ObjectStore> m_store;
    asio::steady_timer m_timer;
    Collection m_collection;
    WatchTiming m_timing;
    Handlers m_handlers;
    std::uint64_t m_revision = 0;
    /// Revision of the newest list or answered watch, also of a list with gaps; 0 before the first list
    std::uint64_t m_completeRevision = 0;
    std::set<std::string> m_names; ///< of the objects that the collection holds
    std::uint64_t m_lastChange = 0; ///< revision that a read must have to contain all changes reported so far
    std::uint64_t m_generation = 0; ///< changes with each restart, so that answers to earlier calls are ignored
    std::optional<TimePoint> m_incompleteSince; ///< when the newest list was read, if it was incomplete
    std::optional<TimePoint> m_watchSentAt; ///< set while a watch waits for its answer
    std::uint64_t m_checkedRevision = 0; ///< newest revision for which a watch was sent again
    std::uint32_t m_consecutiveFailures = 0;
};

} // namespace arbutuscrank::node
