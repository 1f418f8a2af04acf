#include "system/cluster.hpp"

#include <arbutuscrank/config/codec.hpp>

#include <civetweb.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <functional>
#include <thread>

/// \file
/// \brief Real daemons on loopback: latency added by one and two hops, throughput of look-ups compared with a plain
/// CivetWeb handler, and the highest p99 latency of an account while another account sends five times its rate.

using namespace arbutuscrank;
using namespace arbutuscrank::tests;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::chrono::seconds callTimeout { 20 };
const std::vector<std::string> keyHeader { std::string("Authorization: Bearer ") + Cluster::callerKey };

double toMicroseconds(Clock::duration duration) { return std::chrono::duration<double, std::micro>(duration).count(); }

double quantile(std::vector<double>& samples, double q)
{
    if (samples.empty())
        return 0;
    std::sort(samples.begin(), samples.end());
    return samples[std::min(samples.size() - 1, static_cast<std::size_t>(q * static_cast<double>(samples.size())))];
}

// --- Hops ------------------------------------------------------------------------------------------------------------

std::vector<double> measureLatencies(const std::string& address, int count)
{
    HttpClient client(address);
    std::vector<double> samples;
    for (int n = 0; n < count; ++n) {
        const auto begin = Clock::now();
        const auto answer = client.request("GET", "/kitty/x", keyHeader, {}, callTimeout);
        if (answer && answer.value().status == 200)
            samples.push_back(toMicroseconds(Clock::now() - begin));
    }
    return samples;
}

void measureHops()
{
    Cluster cluster({ { "caerdydd" }, 2, 1, 1e6, 1e6 });
    if (!cluster.start())
        return;
    const auto tree = cluster.dumpState(0);
    const bool isFirstOwner = tree.at("targets").at(0).at("ownedHere");
    const std::size_t owner = isFirstOwner ? 0 : 1;
    constexpr int warmUp = 500;
    constexpr int count = 5000;
    const std::array<std::pair<const char*, std::string>, 3> paths { { { "direct", cluster.targetAddress(0) },
        { "one hop", cluster.callerAddress(owner) }, { "two hops", cluster.callerAddress(1 - owner) } } };
    std::printf("\nRequest latency, one caller, %d requests each (microseconds)\n", count);
    std::printf("%-10s %10s %10s %8s\n", "path", "median", "p99", "answers");
    for (const auto& [name, address] : paths) {
        (void)measureLatencies(address, warmUp);
        auto samples = measureLatencies(address, count);
        std::printf(
            "%-10s %10.0f %10.0f %8zu\n", name, quantile(samples, 0.5), quantile(samples, 0.99), samples.size());
    }
}

// --- Look-ups --------------------------------------------------------------------------------------------------------

int answerWithoutDaemon(mg_connection* connection, void* /*unused*/)
{
    constexpr std::string_view answer = "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\n{}";
    mg_write(connection, answer.data(), answer.size());
    return 1;
}

double measureRequestsPerSecond(const std::string& address, const std::string& path)
{
    constexpr int connections = 16;
    constexpr int requestsPerConnection = 10'000;
    std::atomic<int> answered { 0 };
    std::vector<std::thread> threads;
    threads.reserve(connections);
    const auto begin = Clock::now();
    for (int n = 0; n < connections; ++n) {
        threads.emplace_back([&] {
            HttpClient client(address);
            for (int k = 0; k < requestsPerConnection; ++k) {
                const auto answer = client.request("GET", path, {}, {}, callTimeout);
                answered += answer && answer.value().status == 200 ? 1 : 0;
            }
        });
    }
    for (auto& it : threads)
        it.join();
    return answered / std::chrono::duration<double>(Clock::now() - begin).count();
}

void measureLookups()
{
    Cluster cluster({ { "caerdydd", "bangor", "aberyst" }, 2, 1 });
    if (!cluster.start())
        return;
    const std::array options { "listening_ports", "127.0.0.1:0", "num_threads", "32", "enable_keep_alive", "yes",
        "tcp_nodelay", "1", static_cast<const char*>(nullptr) };
    mg_callbacks callbacks {};
    auto* context = mg_start(&callbacks, nullptr, const_cast<const char**>(options.data()));
    mg_set_request_handler(context, "/", &answerWithoutDaemon, nullptr);
    mg_server_port port {};
    mg_get_server_ports(context, 1, &port);
    const auto bareAddress = "127.0.0.1:" + std::to_string(port.port);
    (void)measureRequestsPerSecond(bareAddress, "/x");
    const double bareRate = measureRequestsPerSecond(bareAddress, "/x");
    const double lookupRate
        = measureRequestsPerSecond(cluster.callerAddress(0), "/v1/lookup?service=kitty&client=10.1.2.3");
    mg_stop(context);
    std::printf("\nLook-ups over 16 connections: %.0f/s; bare CivetWeb handler in the same run: %.0f/s; ratio %.2f\n",
        lookupRate, bareRate, lookupRate / bareRate);
}

// --- Accounts --------------------------------------------------------------------------------------------------------

constexpr int steadyAccountCount = 7;
constexpr double accountRatePerSecond = 60;

std::string makeAccountKey(int n) { return "q" + std::to_string(n) + ".secret"; }

/// Sends requests at a constant rate over several connections. Latency counts from the scheduled time of a request, so
/// that a slow answer does not hide the delay of the requests behind it. Returns the latencies in microseconds.
std::vector<double> sendPaced(const Cluster& cluster, int account, double perSecond, std::chrono::seconds length)
{
    constexpr int connections = 4;
    std::vector<std::vector<double>> samples(connections);
    std::vector<std::thread> threads;
    threads.reserve(connections);
    const auto begin = Clock::now();
    const std::vector<std::string> headers { "Authorization: Bearer " + makeAccountKey(account) };
    for (int n = 0; n < connections; ++n) {
        threads.emplace_back([&, n] {
            HttpClient client(cluster.callerAddress(static_cast<std::size_t>(account + n) % cluster.daemonCount()));
            const auto period
                = std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(connections / perSecond));
            auto next = begin + period * n / connections;
            for (; next < begin + length; next += period) {
                std::this_thread::sleep_until(next);
                const auto answer = client.request("GET", "/kitty/x", headers, {}, callTimeout);
                if (answer && answer.value().status == 200)
                    samples[static_cast<std::size_t>(n)].push_back(toMicroseconds(Clock::now() - next));
            }
        });
    }
    for (auto& it : threads)
        it.join();
    std::vector<double> all;
    for (const auto& it : samples)
        all.insert(all.end(), it.begin(), it.end());
    return all;
}

/// Returns the highest p99 latency of the accounts that send at 0.8 of their rate, in microseconds.
double measureWorstSteadyP99(const Cluster& cluster, double lastAccountFactor, std::size_t& answered)
{
    constexpr std::chrono::seconds length { 8 };
    std::array<std::vector<double>, steadyAccountCount + 1> samples;
    std::vector<std::thread> threads;
    threads.reserve(steadyAccountCount + 1);
    for (int n = 0; n <= steadyAccountCount; ++n) {
        threads.emplace_back([&, n] {
            const double factor = n == steadyAccountCount ? lastAccountFactor : 0.8;
            samples[static_cast<std::size_t>(n)] = sendPaced(cluster, n, accountRatePerSecond * factor, length);
        });
    }
    for (auto& it : threads)
        it.join();
    double worst = 0;
    answered = 0;
    for (int n = 0; n < steadyAccountCount; ++n) {
        auto& it = samples[static_cast<std::size_t>(n)];
        worst = std::max(worst, quantile(it, 0.99));
        answered += it.size();
    }
    return worst;
}

void measureAccounts()
{
    Cluster cluster({ { "caerdydd" }, 4, 4 });
    for (int n = 0; n <= steadyAccountCount; ++n) {
        const auto name = "q" + std::to_string(n);
        cluster.document["accounts"].push_back(
            { { "name", name }, { "keys", { { { "id", name }, { "digest", sha256Hex(makeAccountKey(n)) } } } },
                { "ratePerSecond", accountRatePerSecond }, { "burst", accountRatePerSecond / 2 },
                { "services", { "kitty" } }, { "regions", { "caerdydd" } } });
    }
    if (!cluster.start())
        return;
    for (std::size_t n = 0; n < cluster.targetCount(); ++n)
        cluster.setTargetBehaviour(n, { { "delayMs", 20 } });
    std::size_t answeredBefore = 0;
    std::size_t answeredDuring = 0;
    (void)measureWorstSteadyP99(cluster, 0.8, answeredBefore);
    const double steadyP99 = measureWorstSteadyP99(cluster, 0.8, answeredBefore);
    const double overloadP99 = measureWorstSteadyP99(cluster, 5, answeredDuring);
    std::printf("\nWorst of %d accounts at 0.8 of their rate, targets take 20 ms: p99 %.1f ms (%zu answers); with one "
                "account at 5 times its rate %.1f ms (%zu answers); ratio %.2f\n",
        steadyAccountCount, steadyP99 / 1000, answeredBefore, overloadP99 / 1000, answeredDuring,
        overloadP99 / steadyP99);
}

} // namespace

int main()
{
    mg_init_library(MG_FEATURES_DEFAULT);
    measureHops();
    measureLookups();
    measureAccounts();
    return 0;
}
