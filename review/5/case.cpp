#include "../harness.hpp"

/// \file
/// \brief The coordinator of a failure domain restarts, and the store goes down before it has read the configuration.

namespace {

using namespace review;

constexpr double ratePerSecond = 20;
constexpr double burst = 20;
/// Usual traffic of the tenant, and the factor of a hot tenant in the site file.
constexpr double usualPerSecond = 18;
constexpr double hotFactor = 7.5;
/// Time for which the site file's store is silent, and for which a killed process is down.
constexpr double silentSeconds = 4.5;
constexpr double downSeconds = 1;
/// Answer time of a store in another region: 4 ms, and 55 ms each way.
constexpr double storeAnswerSeconds = 0.114;
/// Time from the answer to the list of VMs to the outage. The configuration is answered after storeAnswerSeconds.
constexpr double silentAfterSeconds = 0.05;
// Limits of the rule.
constexpr double windowSeconds = 5;
constexpr double overage = 0.1;
constexpr double slack = 20;

const std::string key = "xd9dnn2ctnfzs989anu6";

bool run(const std::string& folder)
{
    auto& store = makeStandIn<Store>(loopback(1));
    store.answerSeconds = storeAnswerSeconds;
    store.put("config", "main",
        makeConfiguration("idempotent", 1.5, 1,
            { { { "name", "t-hot" }, { "apiKeys", { key } }, { "priority", 1 }, { "ratePerS", ratePerSecond },
                { "burst", burst }, { "allowedRegions", Json::array() } } }));
    std::mutex mutex;
    std::map<std::string, double> sentAt;
    std::vector<std::pair<double, double>> runs; // when a request was sent and when it arrived at a target
    for (int i = 0; i < 12; ++i) {
        auto& target = makeStandIn<Target>(loopback(20 + i), concat("i-", i), "s-1", "dk-east-a", 6);
        target.work = [](const Message&) { return Target::Work { .seconds = 0.1, .headers = {} }; };
        target.onRun = [&, id = target.id()](const std::string& attempt, const std::string& tenant) {
            record("run target=", id, " attempt=", attempt, " tenant=", tenant);
            const std::lock_guard lock(mutex);
            runs.emplace_back(sentAt[attempt], now());
        };
        store.put("servers", target.id(), target.entry());
    }
    // The only list of VMs that is read while the trigger is armed is that of the VM that starts again.
    std::atomic<bool> isArmed = false;
    store.onAnswered = [&](const std::string& method, const std::string& target) {
        if (method != "GET" || !target.starts_with("/v1/objects/entry-members")
            || target.find("watch=") != std::string::npos || !isArmed.exchange(false))
            return;
        std::thread([&store] {
            sleepFor(silentAfterSeconds);
            store.setSilent(true);
            record("the store is silent");
        }).detach();
    };
    Vm first("edge-dk-east-a-1", loopback(10), store.address(), folder, {});
    Vm second("edge-dk-east-a-2", loopback(11), store.address(), folder, {});
    first.start();
    second.start();
    waitUntil("the VMs are ready", 10, [&] { return first.isReady() && second.isReady(); });
    sleepFor(3);

    std::atomic<bool> isOver = false;
    std::atomic<bool> isHot = false;
    std::vector<std::thread> threads;
    constexpr int clientCount = 30;
    threads.reserve(clientCount);
    for (int c = 0; c < clientCount; ++c) {
        threads.emplace_back([&, c] {
            int fd = -1;
            double next = now() + c * 0.01;
            for (int i = 0; !isOver; ++i) {
                sleepUntil(next);
                next += clientCount / (usualPerSecond * (isHot ? hotFactor : 1));
                if (fd < 0)
                    fd = connectTo(second.ip(), second.front());
                const auto attempt = concat("c", c, "-", i);
                {
                    const std::lock_guard lock(mutex);
                    sentAt[attempt] = now();
                }
                record("sent attempt=", attempt);
                Reader reader(fd);
                Message answer;
                const bool isAnswered
                    = sendAll(fd, makeRequest(attempt, std::to_string(i % 50), concat("X-Api-Key: ", key, "\r\n")))
                    && reader.read(answer, 4) == ReadEnd::Complete;
                record("answered attempt=", attempt, " status=", answer.status(),
                    " reason=", answer.header("X-Refusal-Reason"));
                if (!isAnswered || answer.header("Connection") == "close") {
                    close(fd);
                    fd = -1;
                }
            }
            close(fd);
        });
    }
    sleepFor(4);
    isHot = true;
    record("the tenant turns hot");
    sleepFor(3);
    first.signal(SIGKILL);
    sleepFor(downSeconds);
    (void)first.hasEnded();
    isArmed = hasTrouble();
    first.start();
    sleepFor(silentSeconds);
    store.setSilent(false);
    record("the store answers again");
    sleepFor(2);
    isOver = true;
    for (auto& it : threads)
        it.join();
    const std::lock_guard lock(mutex);
    // QUOTA: requests that are both sent and arrive in a window.
    std::size_t most = 0;
    double mostFrom = 0;
    for (const auto& [windowStart, arrived] : runs) {
        std::size_t n = 0;
        for (const auto& [sent, at] : runs)
            n += sent >= windowStart && at <= windowStart + windowSeconds;
        if (n > most) {
            most = n;
            mostFrom = windowStart;
        }
    }
    const double limit = (ratePerSecond * windowSeconds + burst) * (1 + overage) + slack;
    record("most runs in ", windowSeconds, " s: ", most, " from ", mostFrom, ", allowed ", limit);
    return static_cast<double>(most) > limit;
}

} // namespace

int main(int argc, char** argv) { std::_Exit(review::runCase(argc, argv, run)); }
