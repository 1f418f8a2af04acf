#include <arbutuscrank/core/lookup_table.hpp>

#include <algorithm>

namespace arbutuscrank {

LookupTable::LookupTable(Content content)
    : m_content(std::move(content))
{
}

std::vector<const LookupEntry*> LookupTable::lookup(
    std::uint32_t /*client*/, std::string_view /*account*/, std::size_t limit) const
{
    std::vector<const LookupEntry*> found;
    for (std::size_t n = 0; n < std::min(limit, m_content.entries.size()); ++n)
        found.push_back(&m_content.entries[n]);
    return found;
}

} // namespace arbutuscrank
