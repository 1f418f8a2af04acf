#pragma once

#include "node/object_store.hpp"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

/// \file
/// \brief Where a list goes on if no name on one of its pages can be used to ask for the next one.

namespace arbutuscrank::node {

/// \brief Searches for the least text after which the store returns a page that leads on.
///
/// A list can be continued after a text that is no object's name. The names on the page are unknown, so the search
/// narrows an interval of texts: pages after its lower end do not lead on, the page after its upper end does. It first
/// tries texts that known names suggest, because names in one collection often begin alike, and then halves the
/// interval. It ends once the page after the upper end begins with an object whose name cannot be used, since its text
/// is then among the names that cannot be used. Objects between the last page that does not lead on and the one that is
/// found may be missed.
class ListGapSearch {
public:
    /// \brief A page that leads on, and the text after which it begins.
    struct Found {
        std::string after;
        StoreListing page;
    };

    /// \param after text after which the page begins that does not lead on
    ListGapSearch(std::string after, const StoreListing& page);

    /// \brief Text after which the next page is to be read; empty if the search has ended.
    [[nodiscard]] std::string nextText() const;

    /// \brief Takes in the page after a text of \ref nextText.
    void recordPage(const std::string& after, StoreListing page);

    /// \brief The page after the least text that led on; std::nullopt if none did.
    [[nodiscard]] std::optional<Found> takeFound() { return std::exchange(m_found, std::nullopt); }

private:
    void addCandidates(std::string_view name);
    [[nodiscard]] bool isInside(std::string_view text) const;

    std::string m_lowerEnd;
    std::optional<Found> m_found; ///< its text is the upper end
    std::set<std::string> m_candidates; ///< texts inside the interval that known names suggest
};

/// \brief A printable ASCII text between two others in the order of bytes.
/// \param upper unbounded if not set
/// \returns empty if there is none that is at most one character longer than \p lower
[[nodiscard]] std::string textBetween(std::string_view lower, std::optional<std::string_view> upper);

} // namespace arbutuscrank::node
