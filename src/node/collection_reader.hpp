#pragma once

#include "node/network.hpp"
#include "node/object_store.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

/// \file
/// \brief Keeps up with one collection of the store: reads it, then watches it, and starts anew after a failure.

namespace arbutuscrank::node {

/// \brief Reads and watches one collection.
class CollectionReader : public std::enable_shared_from_this<CollectionReader> {
public:
    /// \brief What the reader tells its owner.
    struct Handlers {
        std::function<void(std::vector<StoreObject>)> listed; ///< the whole collection
        std::function<void(const StoreChange&)> changed; ///< one change
        std::function<void(TimePoint sentAt)> confirmed; ///< a call sent at a time was answered
        std::function<void(const Error&)> failed; ///< a call was not answered
    };

    /// \brief How a collection is watched.
    struct Pace {
        Duration wait {}; ///< longest time that a watch waits; an answer is due at its end
        Duration pause {}; ///< time between a change and the next watch, which then reports all changes since
    };

    CollectionReader(asio::io_context& context, std::shared_ptr<ObjectStore> store, Collection collection, Pace pace,
        Handlers handlers);

    void start() { list({}); }

    /// \brief Gives up what is under way. Nothing is told until \ref restart.
    void stop();

    /// \brief Reads the collection anew: the connection of the waiting watch may be dead.
    void restart();

    /// \brief Reads the collection anew after the wait that follows a failure.
    void retry();

private:
    void list(const std::string& after);
    void watch();
    void watchAfterPause();
    void retryLater(const Error& error);
    void scheduleList();

    std::shared_ptr<ObjectStore> m_store;
    asio::steady_timer m_timer;
    Collection m_collection;
    Pace m_pace;
    Handlers m_handlers;
    std::vector<StoreObject> m_pages;
    std::uint64_t m_revision = 0;
    std::uint64_t m_generation = 0; ///< answers of earlier runs are ignored
    std::uint32_t m_failures = 0; ///< in a row
};

} // namespace arbutuscrank::node
