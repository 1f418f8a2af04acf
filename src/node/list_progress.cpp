#include "node/list_progress.hpp"

namespace arbutuscrank::node {

std::string ListProgress::advance(const StoreListing& page)
{
    const bool advances = page.hasMore && !page.continuation.empty() && m_positions.insert(page.continuation).second;
    return advances ? page.continuation : std::string();
}

} // namespace arbutuscrank::node
