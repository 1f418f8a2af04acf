#include "node/paged_listing.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace arbutuscrank::node {

void PagedListing::read(const std::string& after)
{
    m_readPage(after, [self = shared_from_this(), after](Result<StoreListing> page) {
        if (page)
            self->addPage(after, std::move(page.value()));
        else
            self->m_done(page.error());
    });
}

void PagedListing::addPage(const std::string& after, StoreListing page)
{
    // A watch that starts at the first page's revision reports the changes made between two pages.
    if (!std::exchange(m_hasPage, true)) {
        m_listing.revision = page.revision;
        m_listing.era = page.era;
    }
    std::ranges::move(page.objects, std::back_inserter(m_listing.objects));
    if (page.hasMore && !page.continuation.empty() && m_continuations.insert(page.continuation).second) {
        read(page.continuation);
        return;
    }
    if (page.hasMore)
        m_listing.gaps.push_back({ after });
    m_done(std::move(m_listing));
}

} // namespace arbutuscrank::node
