#include "fakes/network.hpp"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

/// \file
/// \brief Cost of a decision of the topic "quota", and a table of refusals inside the rate beside two naive versions.
///
/// usage: quota_bench [--benchmark_filter=REGEX]; the table comes first and is the same in every run.

using namespace arbutuscrank;
using namespace arbutuscrank::fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr double offeredShare = 0.8; ///< of each account's rate
constexpr Duration warmUp = 20s;

const std::vector<TestAccount> accounts { { "a1", 100, 50 }, { "a2", 100, 50 }, { "a3", 60, 30 }, { "a4", 60, 30 },
    { "a5", 40, 20 }, { "a6", 40, 20 }, { "a7", 30, 15 }, { "small", 20, 5 } };

// --- Load ------------------------------------------------------------------------------------------------------------

struct Arrival {
    TimePoint time;
    std::size_t node = 0;
    std::size_t account = 0;
};

enum class Placement {
    Uniform, ///< each request at a random entry
    Holders, ///< as look-ups steer: 95% at a holder of the account in the caller's region, or anywhere in it
    Moving, ///< all requests of an account at one entry, another one every 5 s
};

struct Scenario {
    const char* name;
    Placement placement;
    Duration length;
    bool loseEntry = false;
    bool storeDown = false;
    bool cutRegion = false;
};

constexpr std::size_t lostEntry = 0; ///< also the shared counter's place
constexpr const char* cutRegionName = "bangor";

std::vector<Arrival> makeLoad(const Scenario& scenario, Network& net, Random& random)
{
    std::vector<Arrival> load;
    const auto perRegion = net.size() / 3;
    for (std::size_t n = 0; n < accounts.size(); ++n) {
        const auto& account = accounts[n];
        std::vector<std::size_t> holders;
        for (const auto& vm : quota::holders(net.state(1), quota::accountKey(account.name)))
            holders.push_back(net.nodeOf(vm));
        std::size_t place = 0;
        std::int64_t placeNumber = -1;
        const auto start = net.now();
        for (auto t = start;;) {
            const auto gap = -std::log(1 - random.unit()) / (account.rate * offeredShare);
            t += Duration(static_cast<std::int64_t>(gap * 1e6));
            if (t >= start + scenario.length)
                break;
            std::size_t node = random.below(net.size());
            if (scenario.placement == Placement::Moving) {
                const auto number = (t - start) / 5s;
                if (number != std::exchange(placeNumber, number))
                    place = node;
                node = place;
            } else if (scenario.placement == Placement::Holders && random.unit() < 0.95) {
                std::vector<std::size_t> near;
                for (const auto it : holders) {
                    if (it / perRegion == node / perRegion)
                        near.push_back(it);
                }
                node = near.empty() ? node : near[random.below(near.size())];
            }
            if (scenario.loseEntry && node == lostEntry) // callers go to another entry
                node = 1 + random.below(net.size() - 1);
            load.push_back({ t, node, n });
        }
    }
    std::sort(load.begin(), load.end(), [](auto& a, auto& b) { return a.time < b.time; });
    return load;
}

// --- Naive versions --------------------------------------------------------------------------------------------------

using Outcomes = std::vector<std::vector<Outcome>>; // by account

/// Equal static split over all entries.
Outcomes runStaticSplit(const std::vector<Arrival>& load, std::size_t size)
{
    Outcomes outcomes(accounts.size());
    std::vector<std::vector<TokenBucket>> buckets(size, std::vector<TokenBucket>(accounts.size()));
    const auto parts = static_cast<MicroTokens>(size);
    for (auto& entry : buckets) {
        for (std::size_t n = 0; n < accounts.size(); ++n) {
            entry[n].setShare(static_cast<MicroTokens>(accounts[n].rate) * oneToken / parts,
                static_cast<MicroTokens>(accounts[n].burst) * oneToken / parts, TimePoint {});
        }
    }
    for (const auto& it : load)
        outcomes[it.account].push_back(
            { it.time, it.time, buckets[it.node][it.account].trySpend(oneToken, it.time), {} });
    return outcomes;
}

/// One shared counter at one entry; refuses when it cannot be reached.
Outcomes runSharedCounter(const std::vector<Arrival>& load, const Scenario& scenario, const Network& net)
{
    Outcomes outcomes(accounts.size());
    std::vector<TokenBucket> buckets(accounts.size());
    for (std::size_t n = 0; n < accounts.size(); ++n) {
        buckets[n].setShare(static_cast<MicroTokens>(accounts[n].rate) * oneToken,
            static_cast<MicroTokens>(accounts[n].burst) * oneToken, TimePoint {});
    }
    const auto perRegion = net.size() / 3;
    const NetworkOptions latencies;
    for (const auto& it : load) {
        const bool cut = scenario.cutRegion && it.node / perRegion == 1;
        const bool admitted = !cut && !scenario.loseEntry && buckets[it.account].trySpend(oneToken, it.time);
        const auto latency = it.node / perRegion == 0 ? latencies.intraRegionLatency : latencies.interRegionLatency;
        outcomes[it.account].push_back({ it.time, it.time + (it.node == lostEntry ? 0us : 2 * latency), admitted, {} });
    }
    return outcomes;
}

// --- Table -----------------------------------------------------------------------------------------------------------

struct Result {
    double refused = 0; ///< percent of the requests inside the rate
    double refusedSmall = 0; ///< the same of the account "small"
    double extraSmall = 0; ///< refusals of "small" beyond those of one exact bucket, in percent of its requests
    double p99 = 0; ///< milliseconds until admission
};

Result evaluate(const Outcomes& outcomes)
{
    std::size_t refused = 0;
    std::size_t inside = 0;
    Result result;
    std::vector<double> waits;
    for (std::size_t n = 0; n < accounts.size(); ++n) {
        auto none = outcomes[n];
        for (auto& it : none) {
            if (it.admitted)
                waits.push_back(std::chrono::duration<double, std::milli>(it.resolvedAt - it.arrivedAt).count());
            it.admitted = false;
        }
        const auto all = countRefusalsWithinRate(none, accounts[n].rate, accounts[n].burst);
        const auto bad = countRefusalsWithinRate(outcomes[n], accounts[n].rate, accounts[n].burst);
        inside += all;
        refused += bad;
        const auto refusedInAll = static_cast<double>(
            std::count_if(outcomes[n].begin(), outcomes[n].end(), [](auto& it) { return !it.admitted; }));
        const auto arrivals = static_cast<double>(outcomes[n].size());
        result.extraSmall = 100.0 * (refusedInAll - (arrivals - static_cast<double>(all))) / arrivals;
        result.refusedSmall = 100.0 * static_cast<double>(bad) / static_cast<double>(std::max<std::size_t>(1, all));
    }
    result.refused = 100.0 * static_cast<double>(refused) / static_cast<double>(std::max<std::size_t>(1, inside));
    const auto rank = waits.begin() + static_cast<std::ptrdiff_t>(waits.size() * 99 / 100);
    if (rank != waits.end()) {
        std::nth_element(waits.begin(), rank, waits.end());
        result.p99 = *rank;
    }
    return result;
}

void runScenario(const Scenario& scenario)
{
    Network net(NetworkOptions { .seed = seed }, makeDocument(accounts));
    Random random(seed);
    net.runFor(warmUp);
    const auto load = makeLoad(scenario, net, random);
    for (const auto& it : load)
        net.scheduleAt(it.time, [&net, it] { net.request(it.node, accounts[it.account].name); });
    if (scenario.loseEntry)
        net.crash(lostEntry);
    net.store().isDown = scenario.storeDown;
    if (scenario.cutRegion)
        net.setRegionIsolated(cutRegionName, true);
    const auto before = net.counters();
    net.runFor(scenario.length + 1s);
    const auto after = net.counters();

    Outcomes own;
    own.reserve(accounts.size());
    bool excess = false;
    for (const auto& it : accounts) {
        own.push_back(net.outcomes(it.name));
        excess = excess || findExcess(net.admissions(it.name), it.rate, it.burst) != nullptr;
    }
    const auto a = evaluate(own);
    const auto b = evaluate(runStaticSplit(load, net.size()));
    const auto c = evaluate(runSharedCounter(load, scenario, net));
    const auto seconds = std::chrono::duration<double>(scenario.length + 1s).count();
    const auto calls = static_cast<double>(
        after.reads + after.writes + after.watches - before.reads - before.writes - before.watches);
    std::printf("%-26s|%7.3f %6.2f %6.2f %5.0f |%7.3f %6.2f %5.0f |%7.3f %6.2f %5.0f |%6.2f %6.1f %7.0f%s\n",
        scenario.name, a.refused, a.refusedSmall, a.extraSmall, a.p99, b.refused, b.refusedSmall, b.p99, c.refused,
        c.refusedSmall, c.p99, calls / seconds, static_cast<double>(after.messages - before.messages) / seconds,
        static_cast<double>(after.bytes - before.bytes) / seconds, excess ? "  EXCESS" : "");
}

void printTable()
{
    std::printf(
        "seed %llu; 21 entries, 3 regions, 8 accounts at %.0f%% of their rates\n"
        "all: percent of the requests inside the rate that were refused; small: the same for the account with\n"
        "burst 5; extra: all refusals of that account beyond those of one exact bucket, percent of requests\n"
        "(a waiting request may take a token that the exact bucket gives to a later one); p99: ms to admission\n",
        static_cast<unsigned long long>(seed), offeredShare * 100);
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

/// Network with one account whose rate no loop exhausts.
Network& bigNetwork()
{
    static Network net = [] {
        Network made(NetworkOptions { .seed = seed }, makeDocument({ { "big", 1e9, 1e9 } }));
        made.runFor(warmUp);
        return made;
    }();
    return net;
}

void acquireOnHolder(benchmark::State& run)
{
    auto& net = bigNetwork();
    const auto key = quota::accountKey("big");
    auto& state = net.state(net.nodeOf(quota::holders(net.state(0), key).front()));
    Outbox outbox;
    static auto now = net.now() + std::chrono::hours(1000); // goes on in the next run: time never turns back
    Context context { now, outbox };
    RequestId id = 0;
    for (auto _ : run) { // NOLINT(clang-analyzer-deadcode.DeadStores): the idiom of Google Benchmark
        context.now = now += 1us;
        benchmark::DoNotOptimize(quota::acquire(state, key, ++id, oneToken, context.now, context));
    }
}
BENCHMARK(acquireOnHolder);

/// Request, grant, reply, spending and report of one loan, reducers only.
void loan(benchmark::State& run)
{
    auto& net = bigNetwork();
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
        now += 1s; // no prefetch at this rate: each request needs one loan
        Outbox outbox;
        Context context { now, outbox };
        benchmark::DoNotOptimize(quota::acquire(borrower, key, ++id, oneToken, now + 250ms, context));
        VmId lender;
        for (std::size_t n = 0; n < outbox.effects.size(); ++n) {
            const auto* effect = std::get_if<SendMessage>(&outbox.effects[n]);
            if (effect == nullptr)
                continue;
            const auto message = *effect; // a copy, because the list grows
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
