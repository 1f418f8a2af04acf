#pragma once

#include "node/object_store.hpp"

#include <deque>
#include <map>

/// \file
/// \brief What a VM has read of the store, kept so that the other VMs of its failure domain can read it from here.

namespace arbutuscrank::node {

/// \brief Objects of one collection with the changes since the first complete read.
class FeedCache {
public:
    /// \brief Takes in a page of a list. A list is complete with its last page.
    void applyPage(const StoreListing& page, bool isFirst);
    void applyChanges(const StoreChanges& changes);

    [[nodiscard]] bool isLoaded() const noexcept { return m_loaded; }
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }

    /// \brief The whole collection.
    [[nodiscard]] StoreListing listing() const;
    /// \brief Changes after a revision. \returns NotFound if they are not kept
    [[nodiscard]] Result<StoreChanges> changesAfter(std::uint64_t revision) const;

private:
    struct Removal {
        std::string name;
        std::uint64_t revision = 0;
    };
    struct Entry {
        StoreObject object;
        std::uint64_t changedAt = 0; ///< revision of the store as of the read that brought it
    };

    void remove(const std::string& name, std::uint64_t revision);

    std::map<std::string, Entry> m_objects;
    std::deque<Removal> m_removals; ///< the newest, in order
    std::map<std::string, StoreObject> m_pages; ///< of a list that is not complete
    std::uint64_t m_pagesRevision = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_completeSince = 0; ///< removals after this revision are all kept
    bool m_loaded = false;
};

} // namespace arbutuscrank::node
