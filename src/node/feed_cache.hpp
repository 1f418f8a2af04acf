#pragma once

#include "node/object_store.hpp"

#include <deque>
#include <map>

/// \file
/// \brief Copy of a collection of the store, from which a VM serves the other VMs of its failure domain.

namespace arbutuscrank::node {

/// \brief Objects of one collection, each with the revision of its last change, and the most recent removals.
class FeedCache {
public:
    /// \brief Applies a list of the whole collection. Objects that a complete list lacks are removed.
    void applyListing(const StoreListing& listing);
    /// \brief Applies the answer of a watch.
    void applyChanges(const StoreChanges& changes);

    /// \brief Marks the copy as possibly outdated until the next whole list or the next answer of a watch.
    void markOutdated() noexcept { m_isCurrent = false; }
    /// \brief Whether the copy was read, and not marked as outdated since.
    [[nodiscard]] bool isCurrent() const noexcept { return m_isCurrent; }
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }

    /// \brief All objects of the collection as one page.
    [[nodiscard]] StoreListing listing() const;
    /// \brief Changes after a revision. \returns NotFound if the removals since then are not kept
    [[nodiscard]] Result<StoreChanges> changesAfter(std::uint64_t revision) const;

private:
    struct Removal {
        std::string name;
        std::uint64_t revision = 0;
    };
    struct Entry {
        StoreObject object;
        std::uint64_t changedAtRevision = 0; ///< store revision of the read that found the object changed
    };

    void remove(const std::string& name, std::uint64_t revision);

    std::map<std::string, Entry> m_objects;
    std::deque<Removal> m_removals; ///< the most recent ones, oldest first
    std::vector<ListGap> m_gaps; ///< of the newest list
    std::uint64_t m_revision = 0;
    std::uint64_t m_removalsKeptSince = 0; ///< removals after this revision are all kept
    bool m_isLoaded = false;
    bool m_isCurrent = false;
};

} // namespace arbutuscrank::node
