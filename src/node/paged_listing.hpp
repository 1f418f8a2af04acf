#pragma once

#include "node/list_gap_search.hpp"
#include "node/object_store.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

/// \file
/// \brief Reads a collection of the store page by page.

namespace arbutuscrank::node {

/// \brief Reads all pages of a list and reports them as one. Keeps itself alive until then.
///
/// If the store cannot be asked for what follows a page, because no name on it can be read or sent, the list goes on
/// after a text that \ref ListGapSearch finds within \ref maxSearchedPages. Its result then has a gap. So has that of a
/// list that ends early, because no such text was found, or because it has been continued after the same name before
/// and would never end.
class PagedListing : public std::enable_shared_from_this<PagedListing> {
public:
    /// Limit on the pages of one list that are read in searches. Their number in a list is bounded, because each page
    /// is a call to the store, and a VM is not ready before its first lists have ended.
    static constexpr int maxSearchedPages = 64;

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
    void handlePage(const std::string& after, Result<StoreListing> page);
    void addPage(const std::string& after, StoreListing page);
    void continueSearch();
    void endSearch();
    void finish();

    ReadPage m_readPage;
    ObjectStore::Handler<StoreListing> m_done;
    StoreListing m_listing;
    std::set<std::string> m_continuations; ///< names after which the list was continued
    std::optional<ListGapSearch> m_search; ///< set while the end of the newest gap is searched for
    int m_searchedPages = 0;
    bool m_hasPage = false;
};

} // namespace arbutuscrank::node
