#include "node/list_gap_search.hpp"

#include <algorithm>
#include <iterator>

namespace arbutuscrank::node {

namespace {

    constexpr char firstPrintable = ' ';
    constexpr char lastPrintable = '~';
    /// Longest part of a name that suggests texts. Longer texts could exceed what a request line may hold.
    constexpr std::size_t maxSuggestionBytes = 256;

    bool isPrintable(char it) noexcept { return it >= firstPrintable && it <= lastPrintable; }

    /// Place of a byte among the printable characters, counted from 1. Other bytes count as the nearest one.
    int placeOf(char it) noexcept
    {
        const auto byte = std::clamp<int>(static_cast<unsigned char>(it), firstPrintable, lastPrintable);
        return byte - firstPrintable + 1;
    }

    constexpr int placesEnd = lastPrintable - firstPrintable + 2;

} // namespace

std::string textBetween(std::string_view lower, std::optional<std::string_view> upper)
{
    std::string out;
    bool isBelowUpper = !upper;
    for (std::size_t i = 0; i <= lower.size(); ++i) {
        const int low = i < lower.size() ? placeOf(lower[i]) : 0;
        const int high = isBelowUpper ? placesEnd : i < upper->size() ? placeOf((*upper)[i]) : 0;
        if (high - low >= 2) {
            out += static_cast<char>(firstPrintable + (low + high) / 2 - 1);
            return out;
        }
        if (i < lower.size())
            out += lower[i];
        isBelowUpper = isBelowUpper || low < high;
    }
    return {};
}

ListGapSearch::ListGapSearch(std::string after, const StoreListing& page)
    : m_lowerEnd(std::move(after))
{
    addCandidates(m_lowerEnd);
    for (const auto& object : page.objects)
        addCandidates(object.name);
}

std::string ListGapSearch::nextText() const
{
    if (m_found && m_found->page.beginsWithUnusableName)
        return {};
    if (!m_candidates.empty())
        return *std::next(m_candidates.begin(), static_cast<std::ptrdiff_t>(m_candidates.size() / 2));
    return textBetween(m_lowerEnd, m_found ? std::optional<std::string_view>(m_found->after) : std::nullopt);
}

void ListGapSearch::recordPage(const std::string& after, StoreListing page)
{
    if (page.leadsOn()) {
        m_found = Found { after, std::move(page) };
        const auto& objects = m_found->page.objects;
        const auto named = std::ranges::find_if(objects, [](const auto& it) { return !it.name.empty(); });
        if (named != objects.end())
            addCandidates(named->name);
    } else {
        m_lowerEnd = after;
    }
    std::erase_if(m_candidates, [&](const auto& it) { return !isInside(it); });
}

bool ListGapSearch::isInside(std::string_view text) const
{
    return text > m_lowerEnd && (!m_found || text < m_found->after);
}

void ListGapSearch::addCandidates(std::string_view name)
{
    for (std::size_t n = 1; n <= std::min(name.size(), maxSuggestionBytes); ++n) {
        // Parts that end within a character of several bytes are no valid text.
        if (!isPrintable(name[n - 1]))
            continue;
        std::string text(name.substr(0, n));
        if (isInside(text))
            m_candidates.insert(text); // before all names that begin so
        if (text.back() == lastPrintable)
            continue;
        ++text.back();
        if (isInside(text))
            m_candidates.insert(text); // after all of them
    }
}

} // namespace arbutuscrank::node
