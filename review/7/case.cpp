#include "../standins-2.hpp"

/// \file
/// \brief All daemons are killed and start again while an entry of another writer, whose name has a space, is the last
/// one on a page of the list of upstreams.

namespace {

using namespace review;

const std::string key = "key-of-tenant-1";
constexpr std::size_t pageSize = 50;
constexpr int upstreamCount = 60;
constexpr double recoverySeconds = 15;
constexpr int requestCount = 40;

std::string upstreamId(int i) { return (i < 10 ? "upstream-0" : "upstream-") + std::to_string(i); }

/// \returns the number of requests that were answered with success
int serve(Record& record, const std::vector<std::unique_ptr<Machine>>& machines, const std::string& phase)
{
    int served = 0;
    std::map<std::string, int> answers;
    for (int i = 0; i < requestCount; ++i) {
        const auto id = phase + '-' + std::to_string(i);
        const auto& machine = *machines[static_cast<std::size_t>(i) % machines.size()];
        const auto answer
            = call(machine.front(), "GET /read/" + id + " HTTP/1.1\r\n" + clientHeaders(id, key) + "\r\n");
        served += answer && answer->status() == 200 ? 1 : 0;
        ++answers[answer ? std::to_string(answer->status()) + ' ' + answer->header("x-refusal-reason") : "none"];
        sleepFor(0.1);
    }
    for (const auto& [answer, n] : answers) {
        std::ostringstream text;
        text << phase << ": " << n << " of " << requestCount << " requests answered " << answer;
        record.line(text.str());
    }
    return served;
}

int run(Record& record, const std::string& folder)
{
    const auto ports = Ports::findFree();
    Store store({ "127.0.0.2", ports.store }, pageSize);
    store.put("config", "main", makeConfiguration(7, { key }));
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (int i = 0; i < upstreamCount; ++i) {
        upstreams.push_back(
            std::make_unique<Upstream>(record, Address { "127.0.1." + std::to_string(i + 1), ports.upstream },
                upstreamId(i), "kitty", i % 2 == 0 ? "zone-a" : "zone-b"));
        store.put("servers", upstreams.back()->id(), upstreams.back()->entry());
    }
    std::vector<std::unique_ptr<Machine>> machines;
    machines.push_back(std::make_unique<Machine>("edge-zone-a-1", "127.0.0.11", "zone-a", "region-a", ports, folder));
    machines.push_back(std::make_unique<Machine>("edge-zone-b-1", "127.0.0.12", "zone-b", "region-a", ports, folder));
    for (const auto& it : machines)
        it->start();
    for (const auto& it : machines) {
        if (!it->waitUntilReady(10))
            return couldNotRun;
    }
    sleepFor(2);
    const int before = serve(record, machines, "before");
    if (!isWithoutTrouble()) {
        // 49 names come before it, so it is the last one of the first page.
        const auto name = upstreamId(static_cast<int>(pageSize) - 2) + " (copy)";
        store.put("servers", name, { { "service", 5 }, { "state", "parked" } });
        record.line("another writer has written the entry \"" + name + "\", which names no upstream");
    }
    sleepFor(1);
    for (const auto& it : machines)
        it->kill();
    record.line("all daemons are killed");
    sleepFor(0.5);
    for (const auto& it : machines)
        it->start();
    record.line("all daemons are started again");
    sleepFor(recoverySeconds + 0.5);
    for (const auto& it : machines)
        record.line(
            it->name() + (it->isRunning() ? " runs" : " has ended") + (it->isReady() ? ", ready" : ", not ready"));
    const int after = serve(record, machines, "after");
    record.line("served before the fault: " + std::to_string(before)
        + ", later than recoveryS after it: " + std::to_string(after) + " of " + std::to_string(requestCount));
    if (4 * before < requestCount)
        return couldNotRun;
    return 4 * after < requestCount ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char** argv) { return runCase(argc, argv, run); }
