#include <arbutuscrank/core/lookup_table.hpp>

#include <algorithm>
#include <array>
#include <bitset>
#include <unordered_map>

#include <xxhash.h>

namespace arbutuscrank {

namespace {

    /// Maximum regions of a table. limits::maxRegions is 100; the rest is for regions that left the document.
    constexpr std::size_t maxTableRegions = 128;
    /// Maximum entries of one region in an answer; callers request only a few.
    constexpr std::size_t maxEntriesPerRegion = 16;
    /// Set in the weight of an entry that holds the account's quota, so that it sorts before the region's other
    /// entries.
    constexpr std::uint64_t holderBit = 1ULL << 63U;

    /// Finalizer of SplitMix64. It spreads clients evenly over entries and takes a few nanoseconds per entry.
    std::uint64_t mix(std::uint64_t value) noexcept
    {
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31U);
    }

} // namespace

// --- Holders of account quotas ---------------------------------------------------------------------------------------

HolderIndex::HolderIndex(std::vector<AccountHolders> accounts)
{
    std::sort(accounts.begin(), accounts.end(), [](const auto& a, const auto& b) { return a.account < b.account; });
    m_offsets.push_back(0);
    for (const auto& it : accounts) {
        m_accounts.push_back(it.account);
        m_vms.insert(m_vms.end(), it.vms.begin(), it.vms.end());
        m_offsets.push_back(static_cast<std::uint32_t>(m_vms.size()));
    }
}

std::uint64_t HolderIndex::hashOf(std::string_view name) noexcept { return XXH3_64bits(name.data(), name.size()); }

std::span<const std::uint64_t> HolderIndex::find(std::string_view account) const noexcept
{
    const auto hash = hashOf(account);
    const auto it = std::lower_bound(m_accounts.begin(), m_accounts.end(), hash);
    if (it == m_accounts.end() || *it != hash)
        return {};
    const auto n = static_cast<std::size_t>(it - m_accounts.begin());
    return std::span(m_vms).subspan(m_offsets[n], m_offsets[n + 1] - m_offsets[n]);
}

// --- The table -------------------------------------------------------------------------------------------------------

LookupTable::LookupTable(Content content)
    : m_content(std::move(content))
{
    auto& entries = m_content.entries;
    std::unordered_map<std::string, std::uint16_t> numbers;
    for (const auto& it : entries)
        numbers.emplace(it.region, static_cast<std::uint16_t>(std::min(numbers.size(), maxTableRegions - 1)));
    std::stable_sort(entries.begin(), entries.end(),
        [&numbers](const LookupEntry& a, const LookupEntry& b) { return numbers.at(a.region) < numbers.at(b.region); });
    m_regions.resize(std::min(numbers.size(), maxTableRegions));
    m_entryHashes.reserve(entries.size());
    for (std::uint32_t n = 0; n < entries.size(); ++n) {
        auto& range = m_regions[numbers.at(entries[n].region)];
        if (range.begin == range.end)
            range.begin = n;
        range.end = n + 1;
        m_entryHashes.push_back(HolderIndex::hashOf(entries[n].vm.empty() ? entries[n].address : entries[n].vm));
    }
    m_siteRegions.reserve(m_content.siteRegions.size());
    for (const auto& it : m_content.siteRegions) {
        const auto number = numbers.find(it);
        m_siteRegions.push_back(number == numbers.end() ? noRegion : number->second);
    }
}

std::size_t LookupTable::fillFromRegion(const RegionRange& region, std::uint64_t seed,
    std::span<const std::uint64_t> holders, std::span<const LookupEntry*> found) const noexcept
{
    const auto maxFound = std::min({ found.size(), maxEntriesPerRegion, std::size_t { region.end - region.begin } });
    std::array<std::uint64_t, maxEntriesPerRegion> weights {};
    std::size_t n = 0;
    for (auto entry = region.begin; entry < region.end && maxFound > 0; ++entry) {
        const auto hash = m_entryHashes[entry];
        auto weight = mix(seed ^ hash) & ~holderBit;
        if (std::find(holders.begin(), holders.end(), hash) != holders.end())
            weight |= holderBit;
        if (n == maxFound && weight <= weights[n - 1])
            continue;
        auto place = n < maxFound ? n++ : n - 1;
        for (; place > 0 && weights[place - 1] < weight; --place) {
            weights[place] = weights[place - 1];
            found[place] = found[place - 1];
        }
        weights[place] = weight;
        found[place] = &m_content.entries[entry];
    }
    return n;
}

std::size_t LookupTable::lookup(
    std::uint32_t client, std::string_view account, std::span<const LookupEntry*> found) const noexcept
{
    const auto holders
        = m_content.holders && !account.empty() ? m_content.holders->find(account) : std::span<const std::uint64_t> {};
    const auto seed = mix(client + 0x9e3779b97f4a7c15ULL);
    std::bitset<maxTableRegions> usedRegions;
    std::size_t n = 0;
    const auto addRegion = [&](std::size_t region) {
        if (usedRegions.test(region))
            return;
        usedRegions.set(region);
        n += fillFromRegion(m_regions[region], seed, holders, found.subspan(n));
    };
    if (m_content.clients) {
        for (const auto site : m_content.clients->rankedSites(m_content.clients->groupOf(client))) {
            if (n == found.size())
                return n;
            if (site < m_siteRegions.size() && m_siteRegions[site] != noRegion)
                addRegion(m_siteRegions[site]);
        }
    }
    for (std::size_t region = 0; region < m_regions.size() && n < found.size(); ++region)
        addRegion(region);
    return n;
}

std::vector<const LookupEntry*> LookupTable::lookup(
    std::uint32_t client, std::string_view account, std::size_t limit) const
{
    std::vector<const LookupEntry*> found(std::min(limit, m_content.entries.size()));
    found.resize(lookup(client, account, std::span(found)));
    return found;
}

} // namespace arbutuscrank
