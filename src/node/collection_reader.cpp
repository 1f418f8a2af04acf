#include "node/collection_reader.hpp"

#include "node/clock.hpp"

#include <algorithm>

namespace arbutuscrank::node {

namespace {

    /// First wait after a failed call; it doubles up to the longest. Each call is paid for, refused ones included.
    constexpr Duration firstBackoff = std::chrono::milliseconds(60);
    constexpr Duration longestBackoff = std::chrono::milliseconds(480);

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

CollectionReader::CollectionReader(
    asio::io_context& context, std::shared_ptr<ObjectStore> store, Collection collection, Pace pace, Handlers handlers)
    : m_store(std::move(store))
    , m_timer(context)
    , m_collection(collection)
    , m_pace(pace)
    , m_handlers(std::move(handlers))
{
}

void CollectionReader::stop()
{
    ++m_generation;
    m_timer.cancel();
    m_pages.clear();
    m_store->abandonReads(m_collection);
}

void CollectionReader::restart()
{
    stop();
    list({});
}

void CollectionReader::list(const std::string& after)
{
    const auto sentAt = currentTime();
    m_store->list(m_collection, after,
        [self = shared_from_this(), generation = m_generation, sentAt](Result<StoreListing> result) {
            if (generation != self->m_generation)
                return;
            if (!result) {
                self->retryLater(result.error());
                return;
            }
            auto& page = result.value();
            const bool hasMore = page.hasMore && !page.objects.empty();
            const auto last = hasMore ? page.objects.back().name : std::string();
            // A change between two pages is reported by a watch that starts at the first page.
            if (self->m_pages.empty())
                self->m_revision = page.revision;
            std::ranges::move(page.objects, std::back_inserter(self->m_pages));
            if (hasMore) {
                self->list(last);
                return;
            }
            self->m_failures = 0;
            self->m_handlers.listed(std::exchange(self->m_pages, {}));
            self->m_handlers.confirmed(page.confirmedAt.value_or(sentAt));
            self->watch();
        });
}

void CollectionReader::watch()
{
    const auto sentAt = currentTime();
    m_store->watch(m_collection, m_revision, m_pace.wait,
        [self = shared_from_this(), generation = m_generation, sentAt](Result<StoreChanges> result) {
            if (generation != self->m_generation)
                return;
            if (!result) {
                self->retryLater(result.error());
                return;
            }
            self->m_failures = 0;
            self->m_revision = std::max(self->m_revision, result.value().revision);
            for (const auto& change : result.value().changes)
                self->m_handlers.changed(change);
            self->m_handlers.confirmed(result.value().confirmedAt.value_or(sentAt));
            if (result.value().changes.empty())
                self->watch();
            else
                self->watchAfterPause();
        });
}

void CollectionReader::watchAfterPause()
{
    m_timer.expires_after(m_pace.pause);
    m_timer.async_wait([self = shared_from_this(), generation = m_generation](SystemError ec) {
        if (!ec && generation == self->m_generation)
            self->watch();
    });
}

void CollectionReader::retryLater(const Error& error)
{
    scheduleList();
    m_handlers.failed(error);
}

void CollectionReader::retry() { scheduleList(); }

void CollectionReader::scheduleList()
{
    ++m_generation;
    m_pages.clear();
    const auto wait = std::min<Duration>(firstBackoff * (1 << std::min(m_failures, 4U)), longestBackoff);
    ++m_failures;
    m_timer.expires_after(wait);
    m_timer.async_wait([self = shared_from_this(), generation = m_generation](SystemError ec) {
        if (!ec && generation == self->m_generation)
            self->list({});
    });
}

} // namespace arbutuscrank::node
