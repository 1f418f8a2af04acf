#include "../harness.hpp"

#include <set>

/// \file
/// \brief Requests that arrive late in a planned stop and need longer than is left of the grace.

namespace {

using namespace review;

constexpr double graceSeconds = 6;
/// The rule excuses requests that were sent no later than this after the stop.
constexpr double excusedSeconds = 3;
/// Usual work of a command whose object the target has, and work of one whose object it has to load. The site file has
/// a mean of 1.16 s, of which an object at hand saves 0.7, and a maximum of 3.48 s.
constexpr double usualWorkSeconds = 0.4;
constexpr double longWorkSeconds = 3;
constexpr double timeoutSeconds = 4;
constexpr int clientCount = 10;
/// Clients keep the answer of a look-up for its time to live, some of them three times as long.
constexpr double heldSeconds = 3;
const std::string query = "name=shop.example&region=dk-east&zone=dk-east-a";

struct Outcome {
    double sentAt = 0;
    double endedAt = 0;
    int status = 0; ///< 0 if the connection closed without an answer
    bool isSent = false;
};

/// Whether a client may still use its open connection: a new answer of a look-up names the VM, or none can be had.
bool mayUseConnection(const Vm& first, const Vm& second)
{
    const auto address = concat(first.ip(), ':', first.front());
    for (const auto* vm : { &first, &second }) {
        const auto addresses = vm->lookUp(query);
        if (!addresses.empty())
            return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
    }
    record("no new answer of a look-up can be had");
    return true;
}

bool run(const std::string& folder)
{
    auto& store = makeStandIn<Store>(loopback(1));
    store.put("config", "main", makeConfiguration("non_idempotent", timeoutSeconds, 2));
    std::mutex mutex;
    std::set<std::string> running;
    std::set<std::string> dropped;
    for (int i = 0; i < 12; ++i) {
        auto& target = makeStandIn<Target>(loopback(20 + i), concat("i-", i), "s-1", "dk-east-a", 6);
        target.work = [](const Message& request) {
            const bool isLong = request.header("Attempt-Id").starts_with("long");
            return Target::Work { .seconds = isLong ? longWorkSeconds : usualWorkSeconds, .headers = {} };
        };
        target.onRun = [&, id = target.id()](const std::string& attempt, const std::string&) {
            record("run target=", id, " attempt=", attempt);
            const std::lock_guard lock(mutex);
            running.insert(attempt);
        };
        target.onDropped = [&](const std::string& attempt) {
            record("its run is broken off, attempt=", attempt);
            const std::lock_guard lock(mutex);
            dropped.insert(attempt);
        };
        store.put("servers", target.id(), target.entry());
    }
    Vm first("edge-dk-east-a-1", loopback(10), store.address(), folder, {});
    Vm second("edge-dk-east-a-2", loopback(11), store.address(), folder, {});
    first.start();
    second.start();
    waitUntil("the VMs are ready", 10, [&] { return first.isReady() && second.isReady(); });
    sleepFor(2);

    const double stoppedAt = now() + 4;
    std::vector<Outcome> outcomes(clientCount);
    std::vector<std::thread> threads;
    threads.reserve(clientCount);
    for (int c = 0; c < clientCount; ++c) {
        threads.emplace_back([&, c] {
            auto& outcome = outcomes[static_cast<std::size_t>(c)];
            const int fd = connectTo(first.ip(), first.front());
            Reader reader(fd);
            Message answer;
            for (int i = 0; i < 5; ++i) {
                sleepUntil(stoppedAt - 3.6 + 0.6 * i + 0.03 * c);
                const auto attempt = concat("usual-", c, "-", i);
                record("sent attempt=", attempt);
                sendAll(fd, makeRequest(attempt, attempt));
                const auto end = reader.read(answer, timeoutSeconds);
                record("answered attempt=", attempt, " status=", end == ReadEnd::Complete ? answer.status() : 0);
            }
            // The client looks up the address once more shortly before the stop, and uses the answer while it is held.
            sleepUntil(stoppedAt - 0.2 + 0.02 * c);
            const double resolvedAt = now();
            bool mayUse = mayUseConnection(first, second);
            sleepUntil(stoppedAt + excusedSeconds + 0.02 + 0.03 * c);
            if (now() > resolvedAt + heldSeconds)
                mayUse = mayUseConnection(first, second);
            if (!mayUse) {
                record("client ", c, " uses its connection no more");
                close(fd);
                return;
            }
            const auto attempt = concat("long-", c);
            outcome.sentAt = now();
            outcome.isSent = sendAll(fd, makeRequest(attempt, attempt));
            record("sent attempt=", attempt, " after the stop by ", outcome.sentAt - stoppedAt, " s");
            if (reader.read(answer, timeoutSeconds + 1) == ReadEnd::Complete)
                outcome.status = answer.status();
            outcome.endedAt = now();
            record("answered attempt=", attempt, " status=", outcome.status,
                " reason=", outcome.status == 200 ? "" : answer.header("X-Refusal-Reason"), " after ",
                outcome.endedAt - outcome.sentAt, " s");
            close(fd);
        });
    }
    sleepUntil(stoppedAt);
    if (hasTrouble()) {
        first.signal(SIGTERM);
        sleepFor(1);
        second.signal(SIGTERM);
    }
    for (auto& it : threads)
        it.join();
    sleepUntil(stoppedAt + graceSeconds + 1);
    (void)first.hasEnded();
    (void)second.hasEnded();
    const std::lock_guard lock(mutex);
    int lost = 0;
    for (int c = 0; c < clientCount; ++c) {
        const auto attempt = concat("long-", c);
        const auto& outcome = outcomes[static_cast<std::size_t>(c)];
        const bool isInTime = outcome.endedAt - outcome.sentAt < timeoutSeconds - 0.1;
        if (running.contains(attempt) && dropped.contains(attempt) && outcome.status != 200 && isInTime
            && outcome.sentAt > stoppedAt + excusedSeconds)
            ++lost;
    }
    record("requests that were passed on and broken off before their timeout: ", lost);
    // LOST: after a SIGTERM, a request at which its target is at work is broken off, and gets an answer of the VM's
    // own.
    return lost > 0;
}

} // namespace

int main(int argc, char** argv) { std::_Exit(review::runCase(argc, argv, run)); }
