#include "../standins-3.hpp"

/// \file
/// \brief Two of four upstreams are faulty for some seconds and spoil a few of their answers.

using namespace review;

namespace {

constexpr std::size_t fieldBytes = 70000;
constexpr int clientCount = 32;
constexpr int faultyUpstreams = 2; ///< a share of 0.5
constexpr int answersForOneFaulty = 40; ///< a part of 0.025
constexpr double faultSeconds = 5;

struct Sent {
    bool isAnswered = false;
    bool isOnKeptConnection = false;
};

std::mutex mutex;
std::map<std::string, Sent> sentRequests;

void runClient(const Vm& vm, double until)
{
    std::unique_ptr<Connection> connection;
    bool isKept = false;
    while (now() < until) {
        if (!connection) {
            isKept = false;
            if (!(connection = Connection::open(vm.front()))) {
                sleepFor(0.1); // the VM does not run
                continue;
            }
        }
        const auto id = makeId();
        {
            const std::lock_guard lock(mutex);
            sentRequests[id] = { false, isKept };
        }
        note("sent " + id + " to " + vm.name() + (isKept ? " on a kept connection" : ""));
        std::optional<Message> reply;
        if (connection->send(requestHead("POST", "/pay/1", id, "key-one", 6000, "Content-Length: 0\r\n")))
            reply = readMessage(*connection, 6);
        note("answered " + id + ' ' + (reply ? reply->word(1) : "connection " + connection->end()));
        isKept = true;
        if (reply) {
            const std::lock_guard lock(mutex);
            sentRequests[id].isAnswered = true;
        }
        if (!reply || reply->field("Connection") == "close")
            connection.reset();
        sleepFor(0.02);
    }
}

} // namespace

int main(int, char** arguments)
{
    Record file(arguments[1]);
    record = &file;
    std::signal(SIGPIPE, SIG_IGN);
    const Folder folder;
    const Addresses addresses;
    const std::vector<std::pair<std::string, std::string>> zones { { "dk-east-a", "dk-east" } };
    const auto storeAddress = addresses.address(1, 0);
    Store store(storeAddress);
    Runs runs;
    std::atomic<bool> isFaulty { false };
    std::atomic<int> answers { 0 }; ///< of the faulty upstreams during the fault
    std::atomic<int> faultyAnswers { 0 };
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (int i = 0; i < 4; ++i) {
        const auto id = "i-" + std::to_string(i);
        const Upstream::Work work = [&, id, isOdd = i < faultyUpstreams](Connection& from, Message& request) {
            if (!readBody(from, request))
                return false;
            const auto attempt = request.field("Attempt-Id");
            runs.add(attempt, id);
            sleepFor(0.2 + 0.3 * static_cast<double>(std::hash<std::string> {}(attempt) % 100) / 100);
            std::string fields = "Attempt-Id: ";
            fields += attempt;
            fields += "\r\nResponse-Signature: s\r\n";
            if (!isOdd || !isFaulty || ++answers % answersForOneFaulty != 0)
                return answer(from, 200, fields, "done");
            ++faultyAnswers;
            note(std::string(id).append(" sends a faulty answer to ").append(attempt));
            std::string spoiled = "HTTP/1.1 200 x\r\n";
            spoiled += fields;
            spoiled += "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX: ";
            spoiled.append(fieldBytes, 'x');
            spoiled += "\r\n\r\n";
            return from.send(spoiled);
        };
        upstreams.push_back(std::make_unique<Upstream>(id, addresses.address(50 + i, 30), "dk-east-a", runs, 0, work));
        store.put("servers", id, upstreams.back()->entry("svc", 16));
    }
    store.put("config", "main",
        makeConfiguration(7, Json::array({ makeRoute("pay", "/pay/", "non_idempotent", 6) }),
            Json::array({ makeTenant("one", Json::array({ "key-one" })) })));
    std::vector<std::unique_ptr<Vm>> vms;
    for (const auto* name : { "edge-dk-east-a-1", "edge-dk-east-a-2" }) {
        vms.push_back(std::make_unique<Vm>(
            addresses, 10 + static_cast<int>(vms.size()), name, "dk-east-a", zones, storeAddress, folder.path()));
        vms.back()->start();
    }
    waitUntilReady(vms);
    sleepFor(4);

    const auto begin = now();
    std::vector<std::thread> clients;
    clients.reserve(32);
    for (int i = 0; i < clientCount; ++i)
        clients.emplace_back(runClient, std::cref(*vms[static_cast<std::size_t>(i) % 2]), begin + 14);
    std::thread fault([&] {
        sleepUntil(begin + 3);
        isFaulty = hasTrouble();
        sleepUntil(begin + 3 + faultSeconds);
        isFaulty = false;
    });
    keepRunning(vms, begin + 14);
    for (auto& it : clients)
        it.join();
    fault.join();

    // Requests on kept connections that a sound upstream ran and that got no answer.
    int lost = 0;
    for (const auto& run : runs.all()) {
        const std::lock_guard lock(mutex);
        const auto& sent = sentRequests[run.id];
        if (run.upstream >= "i-" + std::to_string(faultyUpstreams) && sent.isOnKeptConnection && !sent.isAnswered)
            ++lost;
    }
    char text[240];
    std::snprintf(text, sizeof text,
        "LOST: %d requests on kept connections that sound upstreams ran got no answer; processes ended by themselves "
        "%d times, after %d faulty answers: %s",
        lost, vms[0]->ends() + vms[1]->ends(), faultyAnswers.load(), lost > 3 ? "broken" : "kept");
    finish(folder, vms, text, lost > 3);
}
