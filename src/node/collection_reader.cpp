#include "node/collection_reader.hpp"

#include "node/clock.hpp"

#include <algorithm>

namespace arbutuscrank::node {

namespace {

    /// Delay after the first failed call; it doubles with each further failure up to \ref maxBackoff. The backoff
    /// limits cost, because the store charges for each call, also for a refused one.
    constexpr Duration initialBackoff = std::chrono::milliseconds(60);
    constexpr Duration maxBackoff = std::chrono::milliseconds(480);
    /// Shortest wait of a watch, because stores count it in whole milliseconds.
    constexpr Duration shortestWait = std::chrono::milliseconds(1);

} // namespace

std::string_view toString(Collection collection) noexcept
{
    switch (collection) {
    case Collection::Policy:
        return "policy";
    case Collection::Targets:
        return "targets";
    case Collection::Evacuations:
        return "evacuations";
    case Collection::Members:
        return "members";
    }
    return "unknown";
}

CollectionReader::CollectionReader(asio::io_context& context, std::shared_ptr<ObjectStore> store, Collection collection,
    WatchTiming timing, Handlers handlers)
    : m_store(std::move(store))
    , m_timer(context)
    , m_collection(collection)
    , m_timing(timing)
    , m_handlers(std::move(handlers))
{
}

void CollectionReader::stop()
{
    ++m_generation;
    m_timer.cancel();
    m_watchSentAt.reset();
    m_store->abandonReads(m_collection);
}

void CollectionReader::restart()
{
    stop();
    list();
}

void CollectionReader::restartInNewEra()
{
    m_revision = 0;
    m_completeRevision = 0;
    m_lastChange = 0;
    m_checkedRevision = 0;
    m_names.clear();
    restart();
}

void CollectionReader::resume()
{
    stop();
    listOrWatch();
}

bool CollectionReader::noteStoreRevision(std::uint64_t storeRevision)
{
    const bool mayMissChange = storeRevision > std::max(m_revision, m_checkedRevision);
    if (!m_watchSentAt || !mayMissChange || currentTime() - *m_watchSentAt < m_timing.maxSilence)
        return false;
    m_checkedRevision = storeRevision;
    resume();
    return true;
}

void CollectionReader::resumeAfterBackoff()
{
    ++m_generation;
    m_watchSentAt.reset();
    m_timer.expires_after(initialBackoff * (1U << (std::min(m_consecutiveFailures, 4U) - 1)));
    m_timer.async_wait([self = shared_from_this(), generation = m_generation](SystemError ec) {
        if (!ec && generation == self->m_generation)
            self->listOrWatch();
    });
}

void CollectionReader::listOrWatch()
{
    if (m_completeRevision == 0) {
        list();
        return;
    }
    m_revision = m_completeRevision;
    readOn();
}

void CollectionReader::list()
{
    const auto sentAt = currentTime();
    m_store->list(
        m_collection, {}, [self = shared_from_this(), generation = m_generation, sentAt](Result<StoreListing> result) {
            if (generation != self->m_generation)
                return;
            if (!result) {
                self->handleFailure(result.error());
                return;
            }
            const auto& listing = result.value();
            self->m_revision = listing.revision;
            if (!self->recordListing(listing)) {
                self->handleFailure({ ErrorCode::Unavailable, "store.list", std::string(toString(self->m_collection)),
                    "revision " + std::to_string(self->m_revision) + " is older than "
                        + std::to_string(self->m_lastChange) });
                return;
            }
            self->m_consecutiveFailures = 0;
            self->m_completeRevision = self->m_revision;
            self->m_incompleteSince = listing.isComplete() ? std::nullopt : std::optional(currentTime());
            self->m_handlers.onListed(listing);
            self->m_handlers.onConfirmed(listing.confirmedAt.value_or(sentAt));
            self->readOn();
        });
}

void CollectionReader::readOn()
{
    if (!m_incompleteSince) {
        watch(m_timing.wait);
        return;
    }
    const auto untilList = *m_incompleteSince + m_timing.incompleteListLifetime - currentTime();
    if (untilList <= Duration::zero())
        list();
    else
        watch(std::min(m_timing.wait, std::max(untilList, shortestWait)));
}

void CollectionReader::watch(Duration wait)
{
    const auto sentAt = currentTime();
    m_watchSentAt = sentAt;
    m_store->watch(m_collection, m_revision, wait,
        [self = shared_from_this(), generation = m_generation, sentAt](Result<StoreChanges> result) {
            if (generation != self->m_generation)
                return;
            self->m_watchSentAt.reset();
            if (!result) {
                self->handleFailure(result.error());
                return;
            }
            self->m_consecutiveFailures = 0;
            self->m_revision = std::max(self->m_revision, result.value().revision);
            self->m_completeRevision = self->m_revision;
            for (const auto& change : result.value().changes) {
                self->recordChange(change, result.value().revision);
                self->m_handlers.onChanged(change);
            }
            self->m_handlers.onConfirmed(result.value().confirmedAt.value_or(sentAt));
            if (result.value().changes.empty())
                self->readOn();
            else
                self->readOnAfterPause();
        });
}

void CollectionReader::readOnAfterPause()
{
    m_timer.expires_after(m_timing.pause);
    m_timer.async_wait([self = shared_from_this(), generation = m_generation](SystemError ec) {
        if (!ec && generation == self->m_generation)
            self->readOn();
    });
}

bool CollectionReader::recordListing(const StoreListing& listing)
{
    if (m_revision < m_lastChange)
        return false;
    std::set<std::string> names;
    for (const auto& object : listing.objects) {
        names.insert(object.name);
        m_lastChange = std::max(m_lastChange, object.revision);
    }
    if (!listing.isComplete())
        names.insert(m_names.begin(), m_names.end());
    // A list does not say when an object was removed.
    if (!std::ranges::includes(names, m_names))
        m_lastChange = std::max(m_lastChange, m_revision);
    m_names = std::move(names);
    return true;
}

void CollectionReader::recordChange(const StoreChange& change, std::uint64_t readRevision)
{
    if (change.isDeleted) {
        m_names.erase(change.object.name);
        m_lastChange = std::max(m_lastChange, readRevision);
    } else {
        m_names.insert(change.object.name);
        m_lastChange = std::max(m_lastChange, change.object.revision);
    }
}

void CollectionReader::handleFailure(const Error& error)
{
    listAfterBackoff();
    m_handlers.onFailed(error);
}

void CollectionReader::restartAfterBackoff() { listAfterBackoff(); }

void CollectionReader::listAfterBackoff()
{
    ++m_generation;
    m_watchSentAt.reset();
    const auto wait = std::min<Duration>(initialBackoff * (1 << std::min(m_consecutiveFailures, 4U)), maxBackoff);
    ++m_consecutiveFailures;
    m_timer.expires_after(wait);
    m_timer.async_wait([self = shared_from_this(), generation = m_generation](SystemError ec) {
        if (!ec && generation == self->m_generation)
            self->list();
    });
}

} // namespace arbutuscrank::node
