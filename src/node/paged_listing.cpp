#include "node/paged_listing.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace arbutuscrank::node {

void PagedListing::read(const std::string& after)
{
    m_readPage(after,
        [self = shared_from_this(), after](Result<StoreListing> page) { self->handlePage(after, std::move(page)); });
}

void PagedListing::handlePage(const std::string& after, Result<StoreListing> page)
{
    // A store may refuse to continue a list after a text that is no object's name.
    const bool isRefusedText
        = m_search && !page && (page.error().code == ErrorCode::Protocol || page.error().code == ErrorCode::NotFound);
    if (isRefusedText) {
        endSearch();
    } else if (!page) {
        m_done(page.error());
    } else if (m_search) {
        m_search->recordPage(after, std::move(page.value()));
        continueSearch();
    } else {
        addPage(after, std::move(page.value()));
    }
}

void PagedListing::addPage(const std::string& after, StoreListing page)
{
    // A watch that starts at the first page's revision reports the changes made between two pages.
    if (!std::exchange(m_hasPage, true)) {
        m_listing.revision = page.revision;
        m_listing.era = page.era;
    }
    if (!page.leadsOn())
        m_search.emplace(after, page);
    std::ranges::move(page.objects, std::back_inserter(m_listing.objects));
    if (m_search) {
        m_listing.gaps.push_back({ after, {} });
        continueSearch();
    } else if (!page.hasMore) {
        finish();
    } else if (m_continuations.insert(page.continuation).second) {
        read(page.continuation);
    } else {
        m_listing.gaps.push_back({ after, {} });
        finish();
    }
}

void PagedListing::continueSearch()
{
    const auto text = m_searchedPages < maxSearchedPages ? m_search->nextText() : std::string();
    if (text.empty()) {
        endSearch();
        return;
    }
    ++m_searchedPages;
    read(text);
}

void PagedListing::endSearch()
{
    auto found = m_search->takeFound();
    m_search.reset();
    if (!found) {
        finish();
        return;
    }
    m_listing.gaps.back().until = found->after;
    addPage(found->after, std::move(found->page));
}

void PagedListing::finish() { m_done(std::move(m_listing)); }

} // namespace arbutuscrank::node
