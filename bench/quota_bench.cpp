#include "fakes/network.hpp"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

/// \file
/// \brief Cost of a quota decision, and a table that compares refusals of requests within their rates with two simpler
/// designs.
///
/// Usage: quota_bench [--benchmark_filter=REGEX]. The program prints the table first; its seed is fixed, so that every
/// run prints the same table.

using namespace arbutuscrank;
using namespace arbutuscrank::fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr double offeredFraction = 0.8; ///< rate of the requests sent, as a fraction of each account's rate
constexpr Duration warmUp = 20s;

const std::vector<TestAccount> testAccounts { { "a1", 100, 50 }, { "a2", 100, 50 }, { "a3", 60, 30 }, { "a4", 60, 30 },
    { "a5", 40, 20 }, { "a6", 40, 20 }, { "a7", 30, 15 }, { "small", 20, 5 } };

// --- Load ------------------------------------------------------------------------------------------------------------

struct Arrival {
    TimePoint time;
    std::size_t node = 0;
    std::size_t account = 0;
};

enum class Placement {
    Uniform, ///< sends each request to a random entry
    Holders, ///< as look-ups direct callers: 95% of the requests to a holder of the account in the caller's region,
             ///< or to a random entry if the region has none; the others to random entries
    Moving, ///< sends all requests of an account to one entry, and changes the entry every 5 s
};

struct Scenario {
    const char* name;
    Placement placement;
    Duration simulatedTime;
    bool losesEntry = false;
    bool isStoreDown = false;
    bool isolatesRegion = false;
};

constexpr std::size_t lostEntryNode = 0; ///< also the entry that holds the shared counter
constexpr const char* isolatedRegionName = "bangor";

std::vector<Arrival> makeArrivals(const Scenario& scenario, Network& net, Random& random)
{
    std::vector<Arrival> load;
    const auto nodesPerRegion = net.size() / 3;
    for (std::size_t n = 0; n < testAccounts.size(); ++n) {
        const auto& account = testAccounts[n];
        std::vector<std::size_t> holders;
        for (const auto& vm : quota::holders(net.state(1), quota::accountKey(account.name)))
            holders.push_back(net.nodeOf(vm));
        std::size_t currentNode = 0;
        std::int64_t currentPeriod = -1;
        const auto start = net.now();
        for (auto t = start;;) {
            const auto gapSeconds = -std::log(1 - random.unit()) / (account.rate * offeredFraction);
            t += Duration(static_cast<std::int64_t>(gapSeconds * 1e6));
            if (t >= start + scenario.simulatedTime)
                break;
            std::size_t node = random.below(net.size());
            if (scenario.placement == Placement::Moving) {
                const auto period = (t - start) / 5s;
                if (period != std::exchange(currentPeriod, period))
                    currentNode = node;
                node = currentNode;
            } else if (scenario.placement == Placement::Holders && random.unit() < 0.95) {
                std::vector<std::size_t> sameRegionHolders;
                for (const auto it : holders) {
                    if (it / nodesPerRegion == node / nodesPerRegion)
                        sameRegionHolders.push_back(it);
                }
                node = sameRegionHolders.empty() ? node : sameRegionHolders[random.below(sameRegionHolders.size())];
            }
            if (scenario.losesEntry && node == lostEntryNode) // callers connect to another entry
                node = 1 + random.below(net.size() - 1);
            load.push_back({ t, node, n });
        }
    }
    std::sort(load.begin(), load.end(), [](auto& a, auto& b) { return a.time < b.time; });
    return load;
}

// --- Simpler designs -------------------------------------------------------------------------------------------------

using OutcomesByAccount = std::vector<std::vector<Outcome>>; // indexed by account

/// Gives each entry an equal and fixed share of each quota.
OutcomesByAccount runStaticSplit(const std::vector<Arrival>& load, std::size_t size)
{
    OutcomesByAccount outcomes(testAccounts.size());
    std::vector<std::vector<TokenBucket>> buckets(size, std::vector<TokenBucket>(testAccounts.size()));
    const auto entryCount = static_cast<MicroTokens>(size);
    for (auto& entry : buckets) {
        for (std::size_t n = 0; n < testAccounts.size(); ++n) {
            entry[n].setShare(static_cast<MicroTokens>(testAccounts[n].rate) * oneToken / entryCount,
                static_cast<MicroTokens>(testAccounts[n].burst) * oneToken / entryCount, TimePoint {});
        }
    }
    for (const auto& it : load)
        outcomes[it.account].push_back(
            { it.time, it.time, buckets[it.node][it.account].trySpend(oneToken, it.time), {} });
    return outcomes;
}

/// Keeps one token bucket of each account at one entry; entries that cannot reach it refuse requests.
OutcomesByAccount runSharedCounter(const std::vector<Arrival>& load, const Scenario& scenario, const Network& net)
{
    OutcomesByAccount outcomes(testAccounts.size());
    std::vector<TokenBucket> buckets(testAccounts.size());
    for (std::size_t n = 0; n < testAccounts.size(); ++n) {
        buckets[n].setShare(static_cast<MicroTokens>(testAccounts[n].rate) * oneToken,
            static_cast<MicroTokens>(testAccounts[n].burst) * oneToken, TimePoint {});
    }
    const auto nodesPerRegion = net.size() / 3;
    const NetworkOptions latencies;
    for (const auto& it : load) {
        const bool isUnreachable = scenario.isolatesRegion && it.node / nodesPerRegion == 1;
        const bool admitted = !isUnreachable && !scenario.losesEntry && buckets[it.account].trySpend(oneToken, it.time);
        const auto latency
            = it.node / nodesPerRegion == 0 ? latencies.intraRegionLatency : latencies.interRegionLatency;
        outcomes[it.account].push_back(
            { it.time, it.time + (it.node == lostEntryNode ? 0us : 2 * latency), admitted, {} });
    }
    return outcomes;
}

// --- Table -----------------------------------------------------------------------------------------------------------

struct Result {
    double refusedPercent = 0; ///< refused requests, in percent of the requests within the rate
    double refusedSmallPercent = 0; ///< as above, for the account "small" only
    double extraSmallPercent = 0; ///< refusals of "small" beyond those of one exact bucket, in % of its requests
    double p99Ms = 0; ///< time from arrival to admission
};

Result evaluate(const OutcomesByAccount& outcomes)
{
    std::size_t refused = 0;
    std::size_t withinRate = 0;
    Result result;
    std::vector<double> waitsMs;
    for (std::size_t n = 0; n < testAccounts.size(); ++n) {
        auto allRefused = outcomes[n];
        for (auto& it : allRefused) {
            if (it.admitted)
                waitsMs.push_back(std::chrono::duration<double, std::milli>(it.resolvedAt - it.arrivedAt).count());
            it.admitted = false;
        }
        const auto totalWithinRate = countRefusalsWithinRate(allRefused, testAccounts[n].rate, testAccounts[n].burst);
        const auto refusedWithinRate
            = countRefusalsWithinRate(outcomes[n], testAccounts[n].rate, testAccounts[n].burst);
        withinRate += totalWithinRate;
        refused += refusedWithinRate;
        const auto refusedInAll = static_cast<double>(
            std::count_if(outcomes[n].begin(), outcomes[n].end(), [](auto& it) { return !it.admitted; }));
        const auto arrivals = static_cast<double>(outcomes[n].size());
        result.extraSmallPercent
            = 100.0 * (refusedInAll - (arrivals - static_cast<double>(totalWithinRate))) / arrivals;
        result.refusedSmallPercent = 100.0 * static_cast<double>(refusedWithinRate)
            / static_cast<double>(std::max<std::size_t>(1, totalWithinRate));
    }
    result.refusedPercent
        = 100.0 * static_cast<double>(refused) / static_cast<double>(std::max<std::size_t>(1, withinRate));
    const auto p99Position = waitsMs.begin() + static_cast<std::ptrdiff_t>(waitsMs.size() * 99 / 100);
    if (p99Position != waitsMs.end()) {
        std::nth_element(waitsMs.begin(), p99Position, waitsMs.end());
        result.p99Ms = *p99Position;
    }
    return result;
}

void runScenario(const Scenario& scenario)
{
    Network net(NetworkOptions { .seed = seed }, makeDocument(testAccounts));
    Random random(seed);
    net.runFor(warmUp);
    const auto load = makeArrivals(scenario, net, random);
    for (const auto& it : load)
        net.scheduleAt(it.time, [&net, it] { net.request(it.node, testAccounts[it.account].name); });
    if (scenario.losesEntry)
        net.crash(lostEntryNode);
    net.store().isDown = scenario.isStoreDown;
    if (scenario.isolatesRegion)
        net.setRegionIsolated(isolatedRegionName, true);
    const auto before = net.counters();
    net.runFor(scenario.simulatedTime + 1s);
    const auto after = net.counters();

    OutcomesByAccount actual;
    actual.reserve(testAccounts.size());
    bool hasExcess = false;
    for (const auto& it : testAccounts) {
        actual.push_back(net.outcomes(it.name));
        hasExcess = hasExcess || findExcess(net.admissions(it.name), it.rate, it.burst) != nullptr;
    }
    const auto arbutuscrankResult = evaluate(actual);
    const auto staticSplitResult = evaluate(runStaticSplit(load, net.size()));
    const auto sharedCounterResult = evaluate(runSharedCounter(load, scenario, net));
    const auto seconds = std::chrono::duration<double>(scenario.simulatedTime + 1s).count();
    const auto calls = static_cast<double>(
        after.reads + after.writes + after.watches - before.reads - before.writes - before.watches);
    std::printf("%-26s|%7.3f %6.2f %6.2f %5.0f |%7.3f %6.2f %5.0f |%7.3f %6.2f %5.0f |%6.2f %6.1f %7.0f%s\n",
        scenario.name, arbutuscrankResult.refusedPercent, arbutuscrankResult.refusedSmallPercent,
        arbutuscrankResult.extraSmallPercent, arbutuscrankResult.p99Ms, staticSplitResult.refusedPercent,
        staticSplitResult.refusedSmallPercent, staticSplitResult.p99Ms, sharedCounterResult.refusedPercent,
        sharedCounterResult.refusedSmallPercent, sharedCounterResult.p99Ms, calls / seconds,
        static_cast<double>(after.messages - before.messages) / seconds,
        static_cast<double>(after.bytes - before.bytes) / seconds, hasExcess ? "  EXCESS" : "");
}

void printTable()
{
    std::printf(
        "seed %llu; 21 entries, 3 regions, 8 accounts at %.0f%% of their rates\n"
        "all: percent of the requests inside the rate that were refused; small: the same for the account with\n"
        "burst 5; extra: all refusals of that account beyond those of one exact bucket, percent of requests\n"
        "(a waiting request may take a token that the exact bucket gives to a later one); p99: ms to admission\n",
        static_cast<unsigned long long>(seed), offeredFraction * 100);
    std::printf("%-26s|%-28s |%-21s |%-21s |%-21s\n", "", " arbutuscrank", " static split", " shared counter",
        " fleet, per second");
    std::printf("%-26s|%7s %6s %6s %5s |%7s %6s %5s |%7s %6s %5s |%6s %6s %7s\n", "scenario", "all", "small", "extra",
        "p99", "all", "small", "p99", "all", "small", "p99", "calls", "msgs", "bytes");
    for (const auto& it : { Scenario { "steady, at holders", Placement::Holders, 120s },
             Scenario { "steady, at random entries", Placement::Uniform, 120s },
             Scenario { "moving between entries", Placement::Moving, 120s },
             Scenario { "one entry lost", Placement::Holders, 120s, true },
             Scenario { "store down 10 minutes", Placement::Holders, 600s, false, true },
             Scenario { "region cut off 5 minutes", Placement::Holders, 300s, false, false, true } })
        runScenario(it);
    std::printf("\n");
}

// --- Cost ------------------------------------------------------------------------------------------------------------

/// Returns a network with one account whose quota the benchmarks cannot exhaust.
Network& largeNetwork()
{
    static Network net = [] {
        Network network(NetworkOptions { .seed = seed }, makeDocument({ { "big", 1e9, 1e9 } }));
        network.runFor(warmUp);
        return network;
    }();
    return net;
}

void acquireOnHolder(benchmark::State& run)
{
    auto& net = largeNetwork();
    const auto key = quota::accountKey("big");
    auto& state = net.state(net.nodeOf(quota::holders(net.state(0), key).front()));
    Outbox outbox;
    static auto now = net.now() + std::chrono::hours(1000); // kept between runs, because time must not decrease
    Context context { now, outbox };
    RequestId id = 0;
    for (auto _ : run) { // NOLINT(clang-analyzer-deadcode.DeadStores): the idiom of Google Benchmark
        context.now = now += 1us;
        benchmark::DoNotOptimize(quota::acquire(state, key, ++id, oneToken, context.now, context));
    }
}
BENCHMARK(acquireOnHolder);

/// Runs one loan through the reducers of borrower and lender: request, grant, reply, spending and report.
void loan(benchmark::State& run)
{
    auto& net = largeNetwork();
    const auto key = quota::accountKey("big");
    const auto holders = quota::holders(net.state(0), key);
    std::size_t node = 0;
    while (std::find(holders.begin(), holders.end(), net.state(node).self.process.vm) != holders.end())
        ++node;
    auto& borrower = net.state(node);
    static auto now = net.now() + std::chrono::hours(2000);
    RequestId id = 1'000'000'000;
    std::size_t granted = 0;
    for (auto _ : run) { // NOLINT(clang-analyzer-deadcode.DeadStores): the idiom of Google Benchmark
        now += 1s; // at this rate no loan is prefetched, so that each request needs one
        Outbox outbox;
        Context context { now, outbox };
        benchmark::DoNotOptimize(quota::acquire(borrower, key, ++id, oneToken, now + 250ms, context));
        VmId lender;
        for (std::size_t n = 0; n < outbox.effects.size(); ++n) {
            const auto* effect = std::get_if<SendMessage>(&outbox.effects[n]);
            if (effect == nullptr)
                continue;
            const auto message = *effect; // copied, because the loop appends to the list
            if (const auto* reply = std::get_if<LoanReply>(&message.message)) {
                quota::onLoanReply(borrower, { lender, 0 }, *reply, context);
            } else {
                lender = message.to;
                quota::onLoanRequest(net.state(net.nodeOf(lender)), borrower.self.process,
                    std::get<LoanRequest>(message.message), context);
            }
        }
        granted += outbox.followUps.size();
    }
    run.counters["granted"] = benchmark::Counter(static_cast<double>(granted), benchmark::Counter::kAvgIterations);
}
BENCHMARK(loan);

} // namespace

int main(int argc, char** argv)
{
    benchmark::Initialize(&argc, argv);
    printTable();
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
