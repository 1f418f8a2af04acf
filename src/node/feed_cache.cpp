#include "node/feed_cache.hpp"

#include <algorithm>
#include <utility>

namespace arbutuscrank::node {

namespace {

    /// Removals that are kept for readers that lag. One that lags further reads the whole collection.
    constexpr std::size_t maxRemovals = 1024;

} // namespace

void FeedCache::applyPage(const StoreListing& page, bool isFirst)
{
    if (isFirst) {
        m_pages.clear();
        m_pagesRevision = page.revision;
    }
    for (const auto& object : page.objects)
        m_pages[object.name] = object;
    if (page.hasMore && !page.objects.empty())
        return;
    const auto pages = std::exchange(m_pages, {});
    if (!m_loaded)
        m_completeSince = m_pagesRevision;
    std::vector<std::string> missing;
    for (const auto& [name, entry] : m_objects) {
        if (!pages.contains(name))
            missing.push_back(name);
    }
    for (const auto& name : missing)
        remove(name, m_pagesRevision);
    for (const auto& [name, object] : pages) {
        auto& entry = m_objects[name];
        if (entry.object.revision != object.revision || entry.changedAt == 0)
            entry = { object, m_pagesRevision };
    }
    m_revision = std::max(m_revision, m_pagesRevision);
    m_loaded = true;
}

void FeedCache::applyChanges(const StoreChanges& changes)
{
    for (const auto& change : changes.changes) {
        if (change.deleted)
            remove(change.object.name, changes.revision);
        else
            m_objects[change.object.name] = { change.object, changes.revision };
    }
    m_revision = std::max(m_revision, changes.revision);
}

void FeedCache::remove(const std::string& name, std::uint64_t revision)
{
    m_objects.erase(name);
    m_removals.push_back({ name, revision });
    if (m_removals.size() > maxRemovals) {
        m_completeSince = std::max(m_completeSince, m_removals.front().revision);
        m_removals.pop_front();
    }
}

StoreListing FeedCache::listing() const
{
    StoreListing out { .revision = m_revision };
    for (const auto& [name, entry] : m_objects)
        out.objects.push_back(entry.object);
    return out;
}

Result<StoreChanges> FeedCache::changesAfter(std::uint64_t revision) const
{
    if (revision < m_completeSince)
        return Error { ErrorCode::NotFound, "feed.watch", {}, "removals before the first read are not kept" };
    StoreChanges out { .revision = std::max(revision, m_revision) };
    for (const auto& removal : m_removals) {
        if (removal.revision > revision && !m_objects.contains(removal.name))
            out.changes.push_back({ { .name = removal.name, .revision = removal.revision }, true });
    }
    for (const auto& [name, entry] : m_objects) {
        if (entry.changedAt > revision)
            out.changes.push_back({ entry.object, false });
    }
    return out;
}

} // namespace arbutuscrank::node
