#include <arbutuscrank/core/lookup_table.hpp>
#include <arbutuscrank/core/random.hpp>

#include <array>
#include <memory>
#include <string>

#include <benchmark/benchmark.h>

/// \file
/// \brief Memory of the client map, time of a look-up, and time of a rebuild. Arguments: address blocks and sites.

namespace arbutuscrank {

namespace {

    constexpr std::size_t regionCount = 20;
    constexpr std::size_t entriesPerRegion = 90; // 1,800 daemons in 20 regions
    constexpr std::size_t groupCount = 500;
    constexpr std::size_t accountCount = 1000;

    std::string makeRegionName(std::size_t n) { return "r" + std::to_string(n % regionCount); }

    std::string formatAddress(std::uint32_t address)
    {
        return std::to_string(address >> 24U) + "." + std::to_string(address >> 16U & 255U) + "."
            + std::to_string(address >> 8U & 255U) + "." + std::to_string(address & 255U);
    }

    /// Creates blocks of 512 addresses, with a gap after every eighth. 4.4 million blocks cover just over half of IPv4.
    Steering makeSteering(std::size_t blocks, std::size_t sites)
    {
        Random random(20261204);
        Steering steering;
        for (std::size_t n = 0; n < sites; ++n)
            steering.sites.push_back({ "site-" + std::to_string(n), makeRegionName(n) });
        for (std::size_t n = 0; n < groupCount; ++n) {
            ClientGroup group { "group-" + std::to_string(n), {} };
            const auto first = random.below(sites);
            for (std::size_t m = 0; m < sites; ++m)
                group.rankedSites.push_back(steering.sites[(first + m) % sites].name);
            steering.groups.push_back(std::move(group));
        }
        steering.blocks.reserve(blocks);
        for (std::size_t n = 0; n < blocks; ++n) {
            const auto address = static_cast<std::uint32_t>((n + n / 8) * 512);
            steering.blocks.push_back(
                { formatAddress(address) + "/23", steering.groups[random.below(groupCount)].name });
        }
        return steering;
    }

    LookupTable::Content makeContent(const Steering& steering, std::shared_ptr<const ClientMap> clients)
    {
        LookupTable::Content content;
        for (std::size_t n = 0; n < regionCount * entriesPerRegion; ++n) {
            const auto number = std::to_string(n);
            content.entries.push_back({ "10.0.0.1:" + number, makeRegionName(n / entriesPerRegion), "vm-" + number });
        }
        for (const auto& it : steering.sites)
            content.siteRegions.push_back(it.region);
        std::vector<HolderIndex::AccountHolders> holders;
        for (std::size_t n = 0; n < accountCount; ++n) {
            HolderIndex::AccountHolders account { HolderIndex::hashOf("account-" + std::to_string(n)), {} };
            for (std::size_t m = 0; m < 8; ++m)
                account.vms.push_back(
                    HolderIndex::hashOf("vm-" + std::to_string((n + m * 225) % content.entries.size())));
            holders.push_back(std::move(account));
        }
        content.holders = std::make_shared<HolderIndex>(std::move(holders));
        content.clients = std::move(clients);
        return content;
    }

    void runLookUps(benchmark::State& state, std::string_view account)
    {
        const auto blocks = static_cast<std::size_t>(state.range(0));
        auto steering = makeSteering(blocks, static_cast<std::size_t>(state.range(1)));
        const auto clients = std::make_shared<ClientMap>(steering);
        steering.blocks = {};
        const LookupTable table(makeContent(steering, clients));
        Random random(20261204);
        std::array<const LookupEntry*, 3> found {};
        const auto addresses = static_cast<std::uint64_t>(blocks + blocks / 8) * 512;
        while (state.KeepRunning())
            benchmark::DoNotOptimize(table.lookup(static_cast<std::uint32_t>(random.below(addresses)), account, found));
        state.counters["bytesPerBlock"] = static_cast<double>(clients->memoryBytes()) / static_cast<double>(blocks);
        state.counters["MB"] = static_cast<double>(clients->memoryBytes()) / 1e6;
    }

    void lookUpClient(benchmark::State& state) { runLookUps(state, {}); }
    void lookUpClientOfAccount(benchmark::State& state) { runLookUps(state, "account-7"); }

    void groupOfClient(benchmark::State& state)
    {
        const auto blocks = static_cast<std::size_t>(state.range(0));
        const ClientMap clients(makeSteering(blocks, static_cast<std::size_t>(state.range(1))));
        Random random(20261204);
        const auto addresses = static_cast<std::uint64_t>(blocks + blocks / 8) * 512;
        while (state.KeepRunning())
            benchmark::DoNotOptimize(clients.groupOf(static_cast<std::uint32_t>(random.below(addresses))));
    }

    /// Drains a site: the new look-up table shares the client map and rebuilds everything else.
    void rebuildAfterDrain(benchmark::State& state)
    {
        const auto steering
            = makeSteering(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
        auto content = makeContent(steering, std::make_shared<ClientMap>(steering));
        while (state.KeepRunning()) {
            content.siteRegions[0] = content.siteRegions[0].empty() ? "r0" : "";
            benchmark::DoNotOptimize(LookupTable(content));
        }
    }

    /// Changes one block: computes the fingerprint of all blocks and builds a new client map.
    void rebuildAfterBlockChange(benchmark::State& state)
    {
        auto steering
            = makeSteering(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
        while (state.KeepRunning()) {
            auto& group = steering.blocks[steering.blocks.size() / 2].group;
            group = group == "group-1" ? "group-2" : "group-1";
            benchmark::DoNotOptimize(ClientMap::fingerprint(steering));
            benchmark::DoNotOptimize(ClientMap(steering));
        }
    }

    /// Applies a document with unchanged blocks: computes their fingerprint only.
    void compareUnchanged(benchmark::State& state)
    {
        const auto steering
            = makeSteering(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
        while (state.KeepRunning())
            benchmark::DoNotOptimize(ClientMap::fingerprint(steering));
    }

    void setSizes(benchmark::internal::Benchmark* it)
    {
        it->ArgsProduct({ { 10'000, 440'000, 4'400'000 }, { 10, 100, 250 } })->ArgNames({ "blocks", "sites" });
    }

    BENCHMARK(lookUpClient)->Apply(setSizes);
    BENCHMARK(lookUpClientOfAccount)->Apply(setSizes);
    BENCHMARK(groupOfClient)->Apply(setSizes);
    BENCHMARK(rebuildAfterDrain)->Apply(setSizes)->Unit(benchmark::kMicrosecond);
    BENCHMARK(rebuildAfterBlockChange)->Apply(setSizes)->Unit(benchmark::kMillisecond);
    BENCHMARK(compareUnchanged)->Apply(setSizes)->Unit(benchmark::kMillisecond);

} // namespace

} // namespace arbutuscrank

BENCHMARK_MAIN();
