#include "../harness.hpp"

/// \file
/// \brief Downloads whose answers are being written when their VM has finished its last request of a shutdown.

namespace {

using namespace review;

constexpr double workSeconds = 0.72;
/// Largest answer of a download in the site file.
constexpr std::size_t answerBytes = 540000;
constexpr int clientCount = 2;
/// Requests that a client sends before the first one is answered.
constexpr int pipelinedCount = 16;
/// Link of a VM in Mbit/s, and its delay to clients. The VMs of the grown deployments have 10 to 200 Mbit/s.
constexpr double linkMbps = 50;
constexpr double delaySeconds = 0.008;
constexpr int windowBytes = 16384;
constexpr double sentAfterStop = 2;

/// The link between the VM and its clients: delays bytes, and passes at most linkMbps from the VM to all clients.
class Link {
public:
    Link(std::string ip, const Vm& vm)
        : m_ip(std::move(ip))
        , m_vm(&vm)
    {
        const int listener = listenAt(m_ip, m_port);
        serveForever(listener, [this](int fd) { serve(fd); });
    }

    [[nodiscard]] int port() const { return m_port; }

private:
    void serve(int client)
    {
        const int vm = connectTo(m_vm->ip(), m_vm->front(), windowBytes, 1460);
        if (vm < 0)
            return;
        std::thread up([client, vm] {
            char bytes[4096];
            for (ssize_t n = 0; (n = recv(client, bytes, sizeof bytes, 0)) > 0;) {
                sleepFor(delaySeconds);
                if (!sendAll(vm, { bytes, static_cast<std::size_t>(n) }))
                    break;
            }
            shutdown(vm, SHUT_RDWR);
        });
        char bytes[16384];
        ssize_t n = 0;
        while ((n = recv(vm, bytes, sizeof bytes, 0)) > 0) {
            sleepUntil(reserve(static_cast<double>(n) * 8 / (linkMbps * 1e6)));
            if (!sendAll(client, { bytes, static_cast<std::size_t>(n) }))
                break;
        }
        record(n == 0 ? "link: the VM closed a connection" : "link: a connection was reset");
        shutdown(client, SHUT_RDWR);
        up.join();
        close(vm);
    }

    /// Reserves the link for some seconds. \returns the time at which they begin
    double reserve(double seconds)
    {
        const std::lock_guard lock(m_mutex);
        const double begin = std::max(now(), m_busyUntil);
        m_busyUntil = begin + seconds;
        return begin;
    }

    std::string m_ip;
    const Vm* m_vm;
    int m_port = 0;
    std::mutex m_mutex;
    double m_busyUntil = 0;
};

bool run(const std::string& folder)
{
    auto& store = makeStandIn<Store>(loopback(1));
    store.put("config", "main", makeConfiguration("download", 4, 2));
    for (int i = 0; i < 12; ++i) {
        auto& target = makeStandIn<Target>(loopback(20 + i), concat("i-", i), "s-1", "dk-east-a", 3);
        target.work = [](const Message&) {
            return Target::Work { .seconds = workSeconds, .bytes = answerBytes, .headers = {} };
        };
        target.onRun = [id = target.id()](const std::string& attempt, const std::string&) {
            record("run target=", id, " attempt=", attempt);
        };
        target.onDropped = [](const std::string& attempt) { record("dropped attempt=", attempt); };
        store.put("servers", target.id(), target.entry());
    }
    const VmOptions options { .linkMbps = linkMbps, .cpuShare = 0.07, .memoryMb = 112 };
    Vm first("edge-dk-east-a-1", loopback(10), store.address(), folder, options);
    Vm second("edge-dk-east-a-2", loopback(11), store.address(), folder, options);
    first.start();
    second.start();
    waitUntil("the VMs are ready", 10, [&] { return first.isReady() && second.isReady(); });
    sleepFor(2);

    auto& link = makeStandIn<Link>(loopback(12), first);
    const double stoppedAt = now() + 2;
    std::atomic<int> cutCount = 0;
    std::vector<std::thread> threads;
    threads.reserve(clientCount);
    for (int c = 0; c < clientCount; ++c) {
        threads.emplace_back([&, c] {
            const int fd = connectTo(loopback(12), link.port());
            Reader reader(fd);
            const auto sendRequest = [&](int i) {
                const auto attempt = concat("c", c, "-", i);
                record("sent attempt=", attempt);
                return sendAll(fd, makeRequest(attempt, attempt));
            };
            const auto readAnswer = [&](int i) {
                Message answer;
                const auto end = reader.read(answer, 4);
                record("answered attempt=c", c, "-", i, " status=", answer.status(), " bytes=", answer.body.size(),
                    " of ", answer.header("Content-Length"),
                    end == ReadEnd::Complete           ? " complete"
                        : end == ReadEnd::ClosedInside ? " CUT inside the answer"
                        : end == ReadEnd::Closed       ? " CLOSED before the answer"
                                                       : " not complete at its deadline");
                if (end == ReadEnd::Closed || end == ReadEnd::ClosedInside)
                    ++cutCount;
                return end == ReadEnd::Complete && answer.header("Connection") != "close";
            };
            sleepUntil(stoppedAt - 1.9);
            sendRequest(0);
            if (readAnswer(0)) {
                // Sent on the kept connection, after the VM was told to stop.
                sleepUntil(stoppedAt + sentAfterStop);
                for (int i = 1; i <= pipelinedCount; ++i)
                    sendRequest(i);
                for (int i = 1; i <= pipelinedCount && readAnswer(i); ++i)
                    ;
            }
            close(fd);
        });
    }
    sleepUntil(stoppedAt);
    if (hasTrouble())
        first.signal(SIGTERM);
    bool hasEnded = false;
    while (now() < stoppedAt + 7) {
        if (!hasEnded && hasTrouble() && first.hasEnded()) {
            hasEnded = true;
            record("the VM ended after ", now() - stoppedAt, " s of its 6 s of grace");
        }
        sleepFor(0.02);
    }
    for (auto& it : threads)
        it.join();
    record("answers cut: ", cutCount.load());
    // LOST: around a SIGTERM, a connection ends without the complete answer to a request that was passed on.
    return cutCount > 0;
}

} // namespace

int main(int argc, char** argv) { std::_Exit(review::runCase(argc, argv, run)); }
