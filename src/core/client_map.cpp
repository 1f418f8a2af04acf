#include <arbutuscrank/core/lookup_table.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <unordered_map>

#include <xxhash.h>

namespace arbutuscrank {

namespace {

    constexpr unsigned indexShift = 16;
    constexpr std::size_t indexSize = 1UL << 16U;

    /// A block of addresses. \ref last is inclusive, because an exclusive end of 2^32 does not fit its type.
    struct Range {
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        std::uint16_t group = 0;
    };

    std::optional<std::uint32_t> takeNumber(std::string_view& text, std::uint32_t maxValue)
    {
        std::uint32_t n = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
        if (ec != std::errc {} || n > maxValue)
            return std::nullopt;
        text.remove_prefix(static_cast<std::size_t>(end - text.data()));
        return n;
    }

    bool takeCharacter(std::string_view& text, char expected)
    {
        if (text.empty() || text.front() != expected)
            return false;
        text.remove_prefix(1);
        return true;
    }

    std::optional<Range> parseCidr(std::string_view text, std::uint16_t group)
    {
        std::uint32_t address = 0;
        for (int n = 0; n < 4; ++n) {
            const auto octet = n == 0 || takeCharacter(text, '.') ? takeNumber(text, 255) : std::nullopt;
            if (!octet)
                return std::nullopt;
            address = address << 8U | *octet;
        }
        const auto length = takeCharacter(text, '/') ? takeNumber(text, 32) : std::nullopt;
        if (!length || !text.empty())
            return std::nullopt;
        const std::uint32_t hostBits = *length == 0 ? 0xffffffffU : (1U << (32U - *length)) - 1U;
        return Range { address & ~hostBits, address | hostBits, group };
    }

    /// Adds a text to a running hash, so that the texts need not be concatenated.
    std::uint64_t addText(std::uint64_t hash, std::string_view text)
    {
        return XXH3_64bits_withSeed(text.data(), text.size(), hash);
    }

} // namespace

ClientMap::ClientMap(const Steering& steering)
{
    std::unordered_map<std::string_view, std::uint16_t> siteNumbers;
    for (const auto& it : steering.sites)
        siteNumbers.emplace(it.name, static_cast<std::uint16_t>(siteNumbers.size()));
    std::unordered_map<std::string_view, std::uint16_t> groupNumbers;
    m_rankOffsets.push_back(0);
    for (const auto& group : steering.groups) {
        if (groupNumbers.size() == noGroup
            || !groupNumbers.emplace(group.name, static_cast<std::uint16_t>(groupNumbers.size())).second)
            continue;
        for (const auto& name : group.rankedSites) {
            if (const auto site = siteNumbers.find(name); site != siteNumbers.end())
                m_ranks.push_back(site->second);
        }
        m_rankOffsets.push_back(static_cast<std::uint32_t>(m_ranks.size()));
    }

    std::vector<Range> ranges;
    ranges.reserve(steering.blocks.size());
    for (const auto& block : steering.blocks) {
        const auto group = groupNumbers.find(block.group);
        if (group == groupNumbers.end())
            continue;
        if (const auto range = parseCidr(block.cidr, group->second))
            ranges.push_back(*range);
    }
    const auto byFirst = [](const Range& a, const Range& b) { return a.first < b.first; };
    if (!std::is_sorted(ranges.begin(), ranges.end(), byFirst))
        std::stable_sort(ranges.begin(), ranges.end(), byFirst);

    m_starts.reserve(ranges.size() + 1);
    m_groups.reserve(ranges.size() + 1);
    const auto add = [this](std::uint32_t start, std::uint16_t group) {
        if (!m_groups.empty() && m_groups.back() == group)
            return;
        m_starts.push_back(start);
        m_groups.push_back(group);
    };
    std::uint64_t next = 0; // first address not covered yet; 64 bits wide, because it can reach 2^32
    for (const auto& it : ranges) {
        if (it.first < next)
            continue;
        if (it.first > next)
            add(static_cast<std::uint32_t>(next), noGroup);
        add(it.first, it.group);
        next = std::uint64_t { it.last } + 1;
    }
    if (next <= 0xffffffffU)
        add(static_cast<std::uint32_t>(next), noGroup);
    m_starts.shrink_to_fit();
    m_groups.shrink_to_fit();

    m_index.resize(indexSize);
    std::uint32_t range = 0;
    for (std::size_t n = 0; n < indexSize; ++n) {
        const auto lowest = static_cast<std::uint32_t>(n << indexShift);
        while (range + 1 < m_starts.size() && m_starts[range + 1] <= lowest)
            ++range;
        m_index[n] = range;
    }
}

std::uint16_t ClientMap::groupOf(std::uint32_t client) const noexcept
{
    const std::size_t top = client >> indexShift;
    const auto begin = m_starts.begin() + m_index[top];
    const auto end = top + 1 < indexSize ? m_starts.begin() + m_index[top + 1] + 1 : m_starts.end();
    const auto after = std::upper_bound(begin, end, client);
    return m_groups[static_cast<std::size_t>(after - m_starts.begin()) - 1];
}

std::span<const std::uint16_t> ClientMap::rankedSites(std::uint16_t group) const noexcept
{
    if (std::size_t { group } + 1 >= m_rankOffsets.size())
        return {};
    return std::span(m_ranks).subspan(m_rankOffsets[group], m_rankOffsets[group + 1] - m_rankOffsets[group]);
}

std::size_t ClientMap::memoryBytes() const noexcept
{
    return sizeof *this + m_starts.capacity() * sizeof(m_starts[0]) + m_groups.capacity() * sizeof(m_groups[0])
        + m_index.capacity() * sizeof(m_index[0]) + m_rankOffsets.capacity() * sizeof(m_rankOffsets[0])
        + m_ranks.capacity() * sizeof(m_ranks[0]);
}

std::uint64_t ClientMap::fingerprint(const Steering& steering)
{
    std::uint64_t hash = 0;
    for (const auto& it : steering.sites)
        hash = addText(hash, it.name);
    hash = addText(hash, "groups");
    for (const auto& it : steering.groups) {
        hash = addText(hash, it.name);
        for (const auto& site : it.rankedSites)
            hash = addText(hash, site);
        hash = addText(hash, {}); // marks the end of the group's sites
    }
    hash = addText(hash, "blocks");
    for (const auto& it : steering.blocks) {
        hash = addText(hash, it.cidr);
        hash = addText(hash, it.group);
    }
    return hash;
}

} // namespace arbutuscrank
