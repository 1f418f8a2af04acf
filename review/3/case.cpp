#include "../harness.hpp"

#include <set>

/// \file
/// \brief Idle connections to the store go silent, and then targets drain and leave.

namespace {

using namespace review;

constexpr double contactSeconds = 3;
constexpr double drainSeconds = 2.5;
/// Time for which a target serves after the store has accepted that it drains, before it exits.
constexpr double leaveSeconds = 5.5;
/// Mean work of a command in the site file.
constexpr double workSeconds = 1.16;
constexpr double requestsPerSecond = 40;
constexpr int targetCount = 40;
/// The site file empties a share of 0.13.
constexpr int drainingCount = 5;
constexpr int vmCount = 4;
constexpr int clientCount = 80;

struct Run {
    std::string attempt;
    std::string target;
    double sentAt = 0; ///< when the client sent the request
    double at = 0; ///< when it reached the target
};

bool run(const std::string& folder)
{
    auto& store = makeStandIn<Store>(loopback(1));
    store.put("config", "main", makeConfiguration("non_idempotent", 4, 2));
    std::mutex mutex;
    std::map<std::string, double> sentAt;
    std::vector<Run> runs;
    std::vector<Target*> targets;
    for (int i = 0; i < targetCount; ++i) {
        const std::string zone = i % 2 == 0 ? "dk-east-a" : "dk-east-b";
        auto& target = makeStandIn<Target>(loopback(20 + i), concat("i-", i), "s-1", zone, 6);
        target.work = [](const Message&) { return Target::Work { .seconds = workSeconds, .headers = {} }; };
        target.onRun = [&, id = target.id()](const std::string& attempt, const std::string&) {
            record("run target=", id, " attempt=", attempt);
            const std::lock_guard lock(mutex);
            runs.push_back({ attempt, id, sentAt[attempt], now() });
        };
        store.put("servers", target.id(), target.entry());
        targets.push_back(&target);
    }
    std::vector<std::unique_ptr<Vm>> vms;
    for (int i = 0; i < vmCount; ++i) {
        const VmOptions options { .zone = i % 2 == 0 ? "dk-east-a" : "dk-east-b" };
        vms.push_back(std::make_unique<Vm>(
            concat("edge-", options.zone, "-", i / 2 + 1), loopback(10 + i), store.address(), folder, options));
        vms.back()->start();
    }
    waitUntil("the VMs are ready", 10,
        [&] { return std::all_of(vms.begin(), vms.end(), [](const auto& it) { return it->isReady(); }); });
    sleepFor(3);

    std::atomic<bool> isOver = false;
    std::set<std::string> unanswered; // requests that were answered without success
    std::vector<std::thread> threads;
    threads.reserve(clientCount);
    for (int c = 0; c < clientCount; ++c) {
        threads.emplace_back([&, c] {
            const auto& vm = *vms[static_cast<std::size_t>(c) % vms.size()];
            int fd = -1;
            double next = now() + c / requestsPerSecond;
            for (int i = 0; !isOver; ++i) {
                sleepUntil(next);
                next += clientCount / requestsPerSecond;
                if (fd < 0)
                    fd = connectTo(vm.ip(), vm.front());
                const auto attempt = concat("c", c, "-", i);
                {
                    const std::lock_guard lock(mutex);
                    sentAt[attempt] = now();
                }
                record("sent attempt=", attempt, " vm=", vm.id());
                Reader reader(fd);
                Message answer;
                const bool isAnswered
                    = sendAll(fd, makeRequest(attempt, attempt)) && reader.read(answer, 4) == ReadEnd::Complete;
                record("answered attempt=", attempt, " status=", answer.status(),
                    " reason=", answer.header("X-Refusal-Reason"));
                if (answer.status() != 200) {
                    const std::lock_guard lock(mutex);
                    unanswered.insert(attempt);
                }
                if (!isAnswered || answer.header("Connection") == "close") {
                    close(fd);
                    fd = -1;
                }
            }
            close(fd);
        });
    }
    sleepFor(5);
    if (hasTrouble()) {
        store.silenceLongWatches();
        record("connections to the store that were idle go silent");
    }
    sleepFor(contactSeconds + 2);
    std::map<std::string, double> drainedAt;
    for (int i = 0; i < drainingCount; ++i) {
        auto& target = *targets[static_cast<std::size_t>(i)];
        target.setLeaving();
        drainedAt[target.id()] = store.put("servers", target.id(), target.entry("draining"));
        record("the store has accepted that target=", target.id(), " drains");
    }
    sleepFor(leaveSeconds);
    for (int i = 0; i < drainingCount; ++i) {
        auto& target = *targets[static_cast<std::size_t>(i)];
        target.exit();
        store.erase("servers", target.id());
        record("exit target=", target.id());
    }
    sleepFor(2);
    isOver = true;
    for (auto& it : threads)
        it.join();

    const std::lock_guard lock(mutex);
    int late = 0;
    int lost = 0;
    for (const auto& it : runs) {
        const auto drained = drainedAt.find(it.target);
        if (drained == drainedAt.end() || it.at <= drained->second + drainSeconds)
            continue;
        ++late;
        const bool isLost = unanswered.contains(it.attempt);
        lost += isLost ? 1 : 0;
        record("late attempt=", it.attempt, " target=", it.target, " sent after ", it.sentAt - drained->second,
            " s, reached it after ", it.at - drained->second, " s", isLost ? ", LOST" : "");
    }
    record("requests that reached a draining target later than ", drainSeconds, " s: ", late,
        ", of which ran and were lost when it exited: ", lost);
    // DRAIN: a request reaches a target later than drainS after the store has accepted that it drains.
    return late > 0;
}

} // namespace

int main(int argc, char** argv) { std::_Exit(review::runCase(argc, argv, run)); }
