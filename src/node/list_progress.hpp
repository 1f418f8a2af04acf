#pragma once

#include "node/object_store.hpp"

#include <set>
#include <string>

/// \file
/// \brief How far a list that is read page by page has come.

namespace arbutuscrank::node {

/// \brief Names after which the pages of one list began. Ends a list that would not advance, which would never end
/// otherwise.
class ListProgress {
public:
    /// \brief Begins a new list.
    void restart() { m_positions.clear(); }

    /// \brief Takes in the next page.
    /// \returns name after which the page that follows begins; empty if the list has ended: the page is the last one,
    /// the store cannot be asked for the next one, or the list has been continued after that name before
    [[nodiscard]] std::string advance(const StoreListing& page);

private:
    std::set<std::string> m_positions;
};

} // namespace arbutuscrank::node
