#include "node/feed_cache.hpp"

#include <algorithm>
#include <set>
#include <string_view>

namespace arbutuscrank::node {

namespace {

    /// Limit on the removals kept for readers that are behind. A reader that is further behind lists the collection.
    constexpr std::size_t maxKeptRemovals = 1024;

} // namespace

void FeedCache::applyListing(const StoreListing& listing)
{
    std::set<std::string_view> listedNames;
    for (const auto& object : listing.objects)
        listedNames.insert(object.name);
    if (!m_isLoaded)
        m_removalsKeptSince = listing.revision;
    std::vector<std::string> removedNames;
    for (const auto& [name, entry] : m_objects) {
        if (listing.isComplete() && !listedNames.contains(name))
            removedNames.push_back(name);
    }
    for (const auto& name : removedNames)
        remove(name, listing.revision);
    for (const auto& object : listing.objects) {
        auto& entry = m_objects[object.name];
        if (entry.object.revision != object.revision || entry.changedAtRevision == 0)
            entry = { object, listing.revision };
    }
    m_gaps = listing.gaps;
    m_revision = std::max(m_revision, listing.revision);
    m_isLoaded = true;
    m_isCurrent = true;
}

void FeedCache::applyChanges(const StoreChanges& changes)
{
    for (const auto& change : changes.changes) {
        if (change.isDeleted)
            remove(change.object.name, changes.revision);
        else
            m_objects[change.object.name] = { change.object, changes.revision };
    }
    m_revision = std::max(m_revision, changes.revision);
    m_isCurrent = m_isLoaded;
}

void FeedCache::remove(const std::string& name, std::uint64_t revision)
{
    m_objects.erase(name);
    m_removals.push_back({ name, revision });
    if (m_removals.size() > maxKeptRemovals) {
        m_removalsKeptSince = std::max(m_removalsKeptSince, m_removals.front().revision);
        m_removals.pop_front();
    }
}

StoreListing FeedCache::listing() const
{
    StoreListing out { .revision = m_revision, .gaps = m_gaps };
    for (const auto& [name, entry] : m_objects)
        out.objects.push_back(entry.object);
    return out;
}

Result<StoreChanges> FeedCache::changesAfter(std::uint64_t revision) const
{
    if (revision < m_removalsKeptSince)
        return Error { ErrorCode::NotFound, "feed.watch", {},
            "the removals since the requested revision are not kept" };
    StoreChanges out { .revision = std::max(revision, m_revision) };
    for (const auto& removal : m_removals) {
        if (removal.revision > revision && !m_objects.contains(removal.name))
            out.changes.push_back({ { .name = removal.name, .revision = removal.revision }, true });
    }
    for (const auto& [name, entry] : m_objects) {
        if (entry.changedAtRevision > revision)
            out.changes.push_back({ entry.object, false });
    }
    return out;
}

} // namespace arbutuscrank::node
