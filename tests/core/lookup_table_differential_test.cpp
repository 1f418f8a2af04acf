#include <arbutuscrank/core/lookup_table.hpp>
#include <arbutuscrank/core/random.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>

#include <gtest/gtest.h>

namespace arbutuscrank::test {

namespace {

    constexpr std::uint64_t seed = 20261204;

    struct Range {
        std::uint32_t first;
        std::uint32_t last;
        std::size_t group;
    };

    std::string addressText(std::uint32_t address)
    {
        return std::to_string(address >> 24U) + "." + std::to_string(address >> 16U & 255U) + "."
            + std::to_string(address >> 8U & 255U) + "." + std::to_string(address & 255U);
    }

    /// Random blocks that do not overlap, in random order, with gaps; the last address of IPv4 is in a block.
    std::vector<Range> randomBlocks(Random& random, Steering& steering, std::size_t count)
    {
        std::map<std::uint32_t, Range> blocks;
        blocks[0xffffff00U] = { 0xffffff00U, 0xffffffffU, 0 };
        for (std::size_t n = 0; n < count; ++n) {
            const auto length = 8 + random.below(25);
            const auto hostBits = length == 32 ? 0U : (1U << (32U - length)) - 1U;
            const auto first = static_cast<std::uint32_t>(random.next()) & ~hostBits;
            const auto after = blocks.upper_bound(first | hostBits);
            if (after != blocks.begin() && std::prev(after)->second.last >= first)
                continue;
            blocks[first] = { first, first | hostBits, random.below(steering.groups.size()) };
        }
        std::vector<Range> ranges;
        ranges.reserve(blocks.size());
        for (const auto& [first, it] : blocks)
            ranges.push_back(it);
        for (auto n = ranges.size(); n > 1; --n)
            std::swap(ranges[n - 1], ranges[random.below(n)]);
        for (const auto& it : ranges) {
            unsigned length = 32;
            for (auto size = it.last - it.first; size != 0; size >>= 1U)
                --length;
            steering.blocks.push_back(
                { addressText(it.first) + "/" + std::to_string(length), steering.groups[it.group].name });
        }
        return ranges;
    }

} // namespace

// Guards against a wrong group at block boundaries, in gaps and at the ends of the index.
TEST(LookupTableDifferential, GroupsAgreeWithALinearScan)
{
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    Random random(seed);
    for (int round = 0; round < 20; ++round) {
        Steering steering;
        for (int n = 0; n < 7; ++n)
            steering.groups.push_back({ "g" + std::to_string(n), {} });
        const auto ranges = randomBlocks(random, steering, 300);
        const ClientMap map(steering);
        const auto naive = [&ranges](std::uint32_t client) {
            for (const auto& it : ranges) {
                if (it.first <= client && client <= it.last)
                    return static_cast<std::uint16_t>(it.group);
            }
            return ClientMap::noGroup;
        };
        std::vector<std::uint32_t> clients { 0, 1, 0xffffffffU, 0xfffffeffU, 0xffff0000U, 0xfffeffffU };
        for (const auto& it : ranges)
            clients.insert(clients.end(), { it.first - 1, it.first, it.last, it.last + 1 });
        for (int n = 0; n < 2000; ++n)
            clients.push_back(static_cast<std::uint32_t>(random.next()));
        for (const auto client : clients)
            ASSERT_EQ(map.groupOf(client), naive(client)) << addressText(client) << " round " << round;
    }
}

// Guards against a wrong order of regions and entries, by comparison with a plain ordering of all entries.
TEST(LookupTableDifferential, AnswersAreOrderedBySiteThenHolder)
{
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    Random random(seed);
    for (int round = 0; round < 200; ++round) {
        Steering steering;
        LookupTable::Content content;
        for (int n = 0; n < 8; ++n) {
            steering.sites.push_back({ "s" + std::to_string(n), "r" + std::to_string(random.below(4)) });
            const bool drained = random.below(3) == 0;
            content.siteRegions.push_back(drained ? std::string() : steering.sites.back().region);
        }
        ClientGroup group { "g", {} };
        for (const auto& it : steering.sites)
            group.rankedSites.insert(
                group.rankedSites.begin() + static_cast<std::ptrdiff_t>(random.below(group.rankedSites.size() + 1)),
                it.name);
        steering.groups = { group };
        steering.blocks = { { "0.0.0.0/0", "g" } };
        for (std::size_t n = 0; n < 12; ++n)
            content.entries.push_back(
                { "a" + std::to_string(n), "r" + std::to_string(random.below(4)), "v" + std::to_string(n) });
        std::vector<std::uint64_t> holders;
        holders.reserve(3);
        for (int n = 0; n < 3; ++n)
            holders.push_back(HolderIndex::hashOf("v" + std::to_string(random.below(12))));
        content.clients = std::make_shared<ClientMap>(steering);
        content.holders = std::make_shared<HolderIndex>(
            std::vector<HolderIndex::AccountHolders> { { HolderIndex::hashOf("acme"), holders } });
        const LookupTable table(content);
        const auto found = table.lookup(static_cast<std::uint32_t>(random.next()), "acme", 12);
        ASSERT_EQ(found.size(), 12U);

        std::vector<std::string> regions; // expected order of regions
        const auto prefer = [&regions](const std::string& region) {
            if (!region.empty() && std::find(regions.begin(), regions.end(), region) == regions.end())
                regions.push_back(region);
        };
        for (const auto& name : group.rankedSites)
            prefer(content.siteRegions[static_cast<std::size_t>(std::stoi(name.substr(1)))]);
        for (const auto& it : content.entries)
            prefer(it.region);
        const auto rank = [&](const LookupEntry* it) {
            const auto region = std::find(regions.begin(), regions.end(), it->region) - regions.begin();
            const bool isHolder
                = std::find(holders.begin(), holders.end(), HolderIndex::hashOf(it->vm)) != holders.end();
            return std::make_pair(region, !isHolder);
        };
        EXPECT_TRUE(
            std::is_sorted(found.begin(), found.end(), [&](const auto* a, const auto* b) { return rank(a) < rank(b); }))
            << "round " << round;
    }
}

// Guards against clients that concentrate on few entries, and against clients that change their entry when another one
// leaves.
TEST(LookupTableDifferential, ClientsSpreadEvenlyAndKeepTheirEntryWhenAnotherLeaves)
{
    LookupTable::Content content;
    for (int n = 0; n < 20; ++n)
        content.entries.push_back({ "a" + std::to_string(n), "r", "v" + std::to_string(n) });
    const LookupTable before(content);
    content.entries.erase(content.entries.begin() + 7);
    const LookupTable after(content);
    std::map<std::string, int> counts;
    for (std::uint32_t client = 0x0a000000; client < 0x0a000000 + 20'000; ++client) {
        std::array<const LookupEntry*, 1> entryBefore {};
        std::array<const LookupEntry*, 1> entryAfter {};
        ASSERT_EQ(before.lookup(client, {}, entryBefore), 1U);
        ASSERT_EQ(after.lookup(client, {}, entryAfter), 1U);
        ++counts[entryBefore[0]->vm];
        if (entryBefore[0]->vm != "v7") {
            ASSERT_EQ(entryBefore[0]->vm, entryAfter[0]->vm);
        }
    }
    // 1,000 clients are expected per entry; the tolerance is 6 standard deviations.
    for (const auto& [vm, count] : counts)
        EXPECT_NEAR(count, 1000, 185) << vm;
}

} // namespace arbutuscrank::test
