#pragma once

#include "node/object_store.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>

/// \file
/// \brief Reads a collection of the store page by page.

namespace arbutuscrank::node {

/// \brief Reads all pages of a list and reports them as one. Keeps itself alive until then.
///
/// A list that would not advance ends, because it would never end otherwise: the store cannot be asked for the next
/// page, or the list has been continued after the same name before. Its result then has a gap.
class PagedListing : public std::enable_shared_from_this<PagedListing> {
public:
    using ReadPage = std::function<void(const std::string& after, ObjectStore::Handler<StoreListing>)>;

    /// \param readPage reads the page that begins after a name; the first page if the name is empty
    /// \param done gets the whole collection as of the revision of its first page, or the error of the first page that
    /// could not be read
    PagedListing(ReadPage readPage, ObjectStore::Handler<StoreListing> done)
        : m_readPage(std::move(readPage))
        , m_done(std::move(done))
    {
    }

    void start() { read({}); }

private:
    void read(const std::string& after);
    void addPage(const std::string& after, StoreListing page);

    ReadPage m_readPage;
    ObjectStore::Handler<StoreListing> m_done;
    StoreListing m_listing;
    std::set<std::string> m_continuations; ///< names after which the list was continued
    bool m_hasPage = false;
};

} // namespace arbutuscrank::node
