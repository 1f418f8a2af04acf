#include "../harness.hpp"

#include <set>

/// \file
/// \brief A client that pipelines requests on an open connection while its VM shuts down.

namespace {

using namespace review;

constexpr double workSeconds = 0.4;
constexpr double sendInterval = 0.1;
constexpr int clientCount = 12;
/// Time between the starts of clients, so that their look-ups lie at different times before the stop.
constexpr double startInterval = 0.25;
constexpr double graceSeconds = 6;
/// Clients keep the answer of a look-up for its time to live, some of them three times as long.
constexpr double ttlFactor = 3;
constexpr double ttlSeconds = 1;
const std::string query = "name=shop.example&region=dk-east&zone=dk-east-a";

struct Client {
    std::set<std::string> answered;
    std::string end;
};

/// Decides whether a client may still use its open connection: until a new answer of a look-up lacks the address.
class Addresses {
public:
    Addresses(const Vm& first, const Vm& second)
        : m_directories { &first, &second }
        , m_address(first.ip() + ':' + std::to_string(first.front()))
    {
    }

    bool mayUseConnection()
    {
        if (now() < m_heldUntil)
            return true;
        for (const auto* vm : m_directories) {
            const auto addresses = vm->lookUp(query);
            if (addresses.empty())
                continue;
            m_heldUntil = now() + ttlFactor * ttlSeconds;
            return std::find(addresses.begin(), addresses.end(), m_address) != addresses.end();
        }
        m_heldUntil = now() + 0.5; // no new answer can be had, so the old one is kept
        record("look-up failed at both directories");
        return true;
    }

private:
    std::vector<const Vm*> m_directories;
    std::string m_address;
    double m_heldUntil = 0;
};

bool run(const std::string& folder)
{
    auto& store = makeStandIn<Store>(loopback(1));
    store.put("config", "main", makeConfiguration("idempotent", 4, 2));
    std::mutex mutex;
    std::set<std::string> running;
    for (int i = 0; i < 12; ++i) {
        auto& target = makeStandIn<Target>(loopback(20 + i), concat("i-", i), "s-1", "dk-east-a", 6);
        target.work = [](const Message&) { return Target::Work { .seconds = workSeconds, .headers = {} }; };
        target.onRun = [&, id = target.id()](const std::string& attempt, const std::string&) {
            record("run target=", id, " attempt=", attempt);
            const std::lock_guard lock(mutex);
            running.insert(attempt);
        };
        target.onDropped = [](const std::string& attempt) { record("dropped attempt=", attempt); };
        store.put("servers", target.id(), target.entry());
    }
    Vm first("edge-dk-east-a-1", loopback(10), store.address(), folder, {});
    Vm second("edge-dk-east-a-2", loopback(11), store.address(), folder, {});
    first.start();
    second.start();
    waitUntil("the VMs are ready", 10, [&] { return first.isReady() && second.isReady(); });
    sleepFor(2);

    std::atomic<bool> isOver = false;
    std::vector<Client> clients(clientCount);
    std::vector<std::thread> threads;
    threads.reserve(clientCount);
    for (int c = 0; c < clientCount; ++c) {
        threads.emplace_back([&, c] {
            auto& client = clients[static_cast<std::size_t>(c)];
            sleepFor(c * startInterval);
            const int fd = connectTo(first.ip(), first.front());
            if (fd < 0)
                return;
            std::atomic<bool> mustStop = false;
            std::atomic<int> sent = 0;
            std::thread sender([&] {
                Addresses addresses(first, second);
                for (int i = 0; !mustStop && !isOver && addresses.mayUseConnection(); ++i) {
                    const auto attempt = concat("c", c, "-", i);
                    if (!sendAll(fd, makeRequest(attempt, attempt)))
                        break;
                    ++sent;
                    record("sent attempt=", attempt);
                    sleepFor(sendInterval);
                }
            });
            Reader reader(fd);
            Message answer;
            ReadEnd end = ReadEnd::Complete;
            int next = 0;
            while (!(isOver && next == sent) && (end = reader.read(answer, 5)) == ReadEnd::Complete) {
                const auto attempt = concat("c", c, "-", next++);
                client.answered.insert(attempt);
                record("answered attempt=", attempt, " status=", answer.status(),
                    " connection=", answer.header("Connection"));
                if (answer.header("Connection") == "close") {
                    client.end = "answer with Connection: close";
                    break;
                }
            }
            if (client.end.empty())
                client.end = end == ReadEnd::Complete ? "client"
                    : end == ReadEnd::TimedOut        ? "silence"
                                                      : "closed by the VM";
            mustStop = true;
            sender.join();
            record("connection c", c, " ended by: ", client.end);
            close(fd);
        });
    }
    sleepFor(clientCount * startInterval);
    const double stoppedAt = now();
    if (hasTrouble()) {
        first.signal(SIGTERM);
        sleepFor(1);
        second.signal(SIGTERM);
    }
    sleepUntil(stoppedAt + graceSeconds);
    isOver = true;
    for (auto& it : threads)
        it.join();
    sleepFor(0.5);
    (void)first.hasEnded();
    (void)second.hasEnded();
    const std::lock_guard lock(mutex);
    int lost = 0;
    for (const auto& attempt : running) {
        const auto& client = clients[static_cast<std::size_t>(std::atoi(attempt.c_str() + 1))];
        // A request that was sent behind an answer that closes the connection counts as not read.
        if (client.end == "closed by the VM" && !client.answered.contains(attempt)) {
            ++lost;
            record("lost attempt=", attempt);
        }
    }
    record("run=", running.size(), " lost=", lost);
    // LOST: around a SIGTERM, a connection ends without the answer to a request that was passed on.
    return lost > 0;
}

} // namespace

int main(int argc, char** argv) { std::_Exit(review::runCase(argc, argv, run)); }
